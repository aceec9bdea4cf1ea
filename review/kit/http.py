"""Small HTTP/1.1 client and server for the stand-ins."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

Handler = Callable[
    [str, str, dict[str, str], bytes], Awaitable[tuple[int, Any]]
]


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes | None = None,
    *,
    timeout_s: float = 1.0,
) -> tuple[int, bytes] | None:
    """Send one request; return status and body, None without an answer."""
    try:
        return await asyncio.wait_for(
            _call(address, method, path, body or b''), timeout_s
        )
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return None


async def _call(
    address: tuple[str, int], method: str, path: str, body: bytes
) -> tuple[int, bytes]:
    reader, writer = await asyncio.open_connection(*address)
    try:
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
        )
        writer.write(head.encode() + body)
        await writer.drain()
        status, headers = await _read_head(reader)
        length = int(headers.get('content-length', '0'))
        return int(status.split(' ')[1]), await reader.readexactly(length)
    finally:
        writer.close()


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    first = (await reader.readuntil(b'\r\n')).decode().strip()
    headers: dict[str, str] = {}
    while line := (await reader.readuntil(b'\r\n')).decode().strip():
        name, _, content = line.partition(':')
        headers[name.lower()] = content.strip()
    return first, headers


async def serve(handler: Handler, ip: str, port: int = 0) -> asyncio.Server:
    """Serve requests; the handler returns a status and a JSON body."""

    async def serve_one(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            first, headers = await _read_head(reader)
            method, path, _ = first.split(' ')
            length = int(headers.get('content-length', '0'))
            body = await reader.readexactly(length)
            status, answer = await handler(method, path, headers, body)
            content = json.dumps(answer).encode()
            writer.write(
                f'HTTP/1.1 {status} Answer\r\n'
                'Content-Type: application/json\r\n'
                f'Content-Length: {len(content)}\r\n'
                'Connection: close\r\n\r\n'.encode()
                + content
            )
            await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(serve_one, ip, port)
