"""Switches a caller's connection to TLS."""

import asyncio
import ssl
from asyncio.sslproto import SSLProtocol
from typing import Any


async def upgrade_to_tls(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    context: ssl.SSLContext,
) -> None:
    """Start TLS on the server side of a connection.

    A driver sends its TLS request and the first TLS record without waiting
    for an answer. `loop.start_tls` loses the record if the reader has already
    received it, and the login then fails. This function passes bytes that
    the reader has received on to the TLS protocol.

    Raises
    ------
    ssl.SSLError, ConnectionError
        If the handshake fails.
    """
    loop = asyncio.get_running_loop()
    transport: Any = writer.transport
    transport.pause_reading()
    received = _drain_buffer(reader)
    handshake: asyncio.Future[None] = loop.create_future()
    tls = SSLProtocol(
        loop,
        transport.get_protocol(),
        context,
        handshake,
        server_side=True,
        call_connection_made=False,
    )
    transport.set_protocol(tls)
    tls.connection_made(transport)
    _pass_to_tls(tls, received)
    transport.resume_reading()
    await handshake
    upgraded = tls._app_transport  # noqa: SLF001, WPS437
    _set_transport(writer, upgraded)
    _set_transport(reader, upgraded)


def _set_transport(stream: Any, transport: Any) -> None:
    # Streams have no public method to replace their transport.
    stream._transport = transport  # noqa: SLF001, WPS437


def _drain_buffer(reader: Any) -> bytes:
    buffer = reader._buffer  # noqa: SLF001, WPS437
    received = bytes(buffer)
    buffer.clear()
    return received


def _pass_to_tls(tls: Any, received: bytes) -> None:
    while received:
        target = tls.get_buffer(len(received))
        count = min(len(target), len(received))
        target[:count] = received[:count]  # noqa: WPS362 - a buffer
        tls.buffer_updated(count)
        received = received[count:]
