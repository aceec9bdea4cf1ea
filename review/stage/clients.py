"""Clients of the statement protocol, and the operator."""

import asyncio
import json
import secrets

from stage.fleet import CannotRunError, Fleet, http
from stage.record import Record


class ClosedError(Exception):
    """The session ended without an answer."""


class Session:
    """One session of a client."""

    def __init__(self, record: Record, name: str) -> None:
        self._record = record
        self._name = name
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.state = 'I'
        self.last_request = ''

    async def open(self, address: tuple[str, int], database: str) -> bool:
        """Open a session; return whether it was accepted."""
        try:
            async with asyncio.timeout(2):
                self._reader, self._writer = await asyncio.open_connection(
                    *address, limit=2**21
                )
                self._writer.write(f'START {database} key\r\n'.encode())
                answer = await self._line()
        except (OSError, TimeoutError, ClosedError):
            self.close()
            return False
        return answer.startswith('READY')

    async def ask(self, text: str, limit_s: float = 8.0) -> tuple[str, str]:
        """Send a statement; return its id and the line that ended it.

        Raises
        ------
        ClosedError
            If the session ended, or there was no answer within the limit.
        """
        assert self._writer is not None
        request = secrets.token_hex(8)
        self.last_request = request
        self._record.write(self._name, f'sends {request} {text}')
        outcome = ''
        try:
            async with asyncio.timeout(limit_s):
                self._writer.write(f'QUERY {request} {text}\r\n'.encode())
                while True:
                    line = await self._line()
                    if line.startswith('READY'):
                        self.state = line.split(' ')[1]
                        break
                    if not line.startswith('ROW'):
                        outcome = line
        except (OSError, TimeoutError, ClosedError) as error:
            self._record.write(self._name, f'no answer to {request}')
            raise ClosedError from error
        self._record.write(self._name, f'gets {request} {outcome}')
        return request, outcome

    async def stays_open(self, seconds: float) -> bool:
        """Wait; return whether the session is still open then."""
        assert self._reader is not None
        try:
            async with asyncio.timeout(seconds):
                await self._reader.read(1)
        except TimeoutError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Close the session."""
        if self._writer is not None:
            self._writer.close()

    async def _line(self) -> str:
        assert self._reader is not None
        try:
            return (await self._reader.readuntil(b'\r\n'))[:-2].decode()
        except asyncio.IncompleteReadError as error:
            raise ClosedError from error


def route(
    database: str,
    kind: str,
    timeout_ms: int,
    *,
    service: str = 'ledger',
    staleness_ms: int | None = None,
    latency_ms: int = 1000,
) -> dict[str, object]:
    """Return a route of a configuration."""
    fields: dict[str, object] = {
        'name': f'r-{database}',
        'database': database,
        'pathPrefix': '/',
        'routeType': kind,
        'timeoutMs': timeout_ms,
        'targetLatencyMs': latency_ms,
        'priority': 1,
        'service': service,
        'attempts': 2,
    }
    if staleness_ms is not None:
        fields['maxStalenessMs'] = staleness_ms
    return fields


def configuration(
    version: int,
    routes: list[dict[str, object]],
    *,
    services: tuple[str, ...] = ('ledger',),
    max_conns: int = 16,
    idle_ms: int = 3000,
) -> bytes:
    """Return a complete configuration."""
    return json.dumps(
        {
            'version': version,
            'routes': routes,
            'services': [
                {
                    'name': name,
                    'healthCheck': '/health',
                    'maxConns': max_conns,
                    'protocol': 'h1',
                    'tls': False,
                    'syncReplicas': 1,
                }
                for name in services
            ],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 262144,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
                'txnIdleMs': idle_ms,
            },
        }
    ).encode()


async def publish(fleet: Fleet, content: bytes, limit_s: float = 20) -> None:
    """Send a configuration until it is acknowledged."""
    loop = asyncio.get_running_loop()
    end = loop.time() + limit_s
    turn = 0
    while loop.time() < end:
        turn += 1
        host = fleet.control[turn % len(fleet.control)]
        answer = await http(
            (host.ip, fleet.control_port), 'PUT', '/config', content
        )
        if answer is not None and answer[0] == 200:
            fleet.record.write('operator', 'a configuration is acknowledged')
            return
        await asyncio.sleep(0.2)
    raise CannotRunError('the configuration was not acknowledged')
