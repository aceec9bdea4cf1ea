"""Stand-ins for the operator and for clients."""

import asyncio
import json
import secrets
from dataclasses import dataclass

from kit import http
from kit.fleet import CannotRunError, Fleet, Record
from kit.members import Service

PROMISES = frozenset(
    ('BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'CONNLIMIT')
)


@dataclass
class Answer:
    """Answer to one statement; `code` is empty after success."""

    code: str
    text: str
    phase: str
    rows: list[str]
    position: str = '-'


class LostError(Exception):
    """The connection broke before the answer was complete."""


class Session:
    """One client's connection."""

    def __init__(self, record: Record, name: str) -> None:
        self._record = record
        self.name = name
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def start(
        self, address: tuple[str, int], database: str, key: str = 'client'
    ) -> None:
        """Connect; raise `LostError` without READY."""
        try:
            self.reader, self.writer = await asyncio.open_connection(*address)
            self.writer.write(f'START {database} {key}\r\n'.encode())
            line = await asyncio.wait_for(self.reader.readuntil(b'\r\n'), 2)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            raise LostError(repr(error)) from error
        if not line.startswith(b'READY '):
            raise LostError(line.decode())

    async def query(
        self, text: str, *, timeout_s: float = 4.0, request: str = ''
    ) -> Answer:
        """Send a statement and return its answer."""
        request = request or secrets.token_hex(8)
        self._record(f'{self.name} sends {request} {text}')
        try:
            self.writer.write(f'QUERY {request} {text}\r\n'.encode())
            answer = await asyncio.wait_for(self._read(), timeout_s)
        except (
            OSError,
            TimeoutError,
            ValueError,
            asyncio.IncompleteReadError,
        ) as error:
            self._record(f'{self.name} gets no answer to {request}: {error!r}')
            raise LostError(repr(error)) from error
        self._record(
            f'{self.name} gets {answer.code or "DONE"} {answer.text} '
            f'{answer.phase} to {request}'
        )
        return answer

    async def _read(self) -> Answer:
        rows: list[str] = []
        code = text = ''
        while True:
            line = (await self.reader.readuntil(b'\r\n'))[:-2].decode()
            word, _, rest = line.partition(' ')
            match word:
                case 'ROW':
                    rows.append(rest)
                case 'DONE':
                    text = rest
                case 'ERR':
                    code, _, text = rest.partition(' ')
                case 'READY':
                    phase, _, position = rest.partition(' ')
                    return Answer(code, text, phase, rows, position)
                case _:
                    raise LostError(line)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


def configuration(
    version: int,
    services: list[Service],
    *,
    timeout_ms: int = 800,
    idle_ms: int = 3000,
) -> bytes:
    """Return a configuration with three routes for each service."""
    routes = [
        {
            'name': f'r-{kind}-{service.name}',
            'database': f'{kind}-{service.name}',
            'pathPrefix': '/',
            'routeType': route_type,
            'timeoutMs': timeout_ms,
            'targetLatencyMs': 1000,
            'priority': 1,
            'service': service.name,
            'attempts': 2,
            'maxStalenessMs': 2500,
        }
        for service in services
        for kind, route_type in (
            ('own', 'read_own_writes'),
            ('first', 'primary'),
            ('stale', 'bounded_staleness'),
        )
    ]
    return json.dumps(
        {
            'version': version,
            'routes': routes,
            'services': [
                {
                    'name': service.name,
                    'healthCheck': '/health',
                    'maxConns': service.max_connections,
                    'protocol': 'h1',
                    'tls': False,
                    'syncReplicas': 1,
                }
                for service in services
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


async def publish(
    fleet: Fleet, content: bytes, *, within_s: float = 20
) -> None:
    """Send a configuration until it is acknowledged."""
    deadline = asyncio.get_running_loop().time() + within_s
    while asyncio.get_running_loop().time() < deadline:
        for host in fleet.control:
            answer = await http.call(host.control, 'PUT', '/config', content)
            if answer is not None and answer[0] == 200:
                fleet.record(f'configuration acknowledged by {host.name}')
                return
            if answer is not None and 400 <= answer[0] < 500:
                raise CannotRunError(f'configuration refused: {answer}')
        await asyncio.sleep(0.2)
    raise CannotRunError('no configuration was acknowledged')


async def wait_until_served(
    fleet: Fleet, databases: list[str], *, within_s: float = 25
) -> None:
    """Wait until each proxy serves a write and a read of each database."""
    deadline = asyncio.get_running_loop().time() + within_s
    missing = [
        (proxy, database) for proxy in fleet.proxies for database in databases
    ]
    while missing:
        if asyncio.get_running_loop().time() > deadline:
            raise CannotRunError(f'not served: {missing[0][1]}')
        proxy, database = missing[0]
        session = Session(lambda text: None, 'warm')  # type: ignore[arg-type]
        try:
            await session.start(proxy.front, database)
            written = await session.query('WRITE warm up')
            read = await session.query('READ warm')
            session.close()
        except LostError:
            await asyncio.sleep(0.2)
            continue
        if written.code or read.code:
            await asyncio.sleep(0.2)
        else:
            missing.pop(0)
