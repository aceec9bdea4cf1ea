"""A replicated database group, and the platform that promotes its members.

The members keep to PROTOCOL.md, "Members": a commit is acknowledged once one
replica has received it, a paused replica receives nothing, a promoted member
leads the next term with what it had received.
"""

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass, field

from stage.fleet import Fleet, http
from stage.record import Record

_BEAT_S = 1.2
_RECEIVE_S = 0.001
_CUT_CHECK_S = 0.1


@dataclass(kw_only=True, eq=False)
class Connection:
    """One connection to a member, with its transaction."""

    number: int
    writer: asyncio.StreamWriter
    state: str = 'I'
    can_write: bool = False
    writes: list[tuple[str, str, str]] = field(default_factory=list)
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = field(default_factory=dict)


@dataclass(kw_only=True, eq=False)
class Member:
    """One member of a group."""

    name: str
    zone: str
    address: tuple[str, int]
    born: int = 0
    sequence: int = 0
    log: list[tuple[int, list[tuple[str, str, str]]]] = field(
        default_factory=list
    )
    term: int = 1
    paused: int = 0
    is_primary: bool = False
    is_draining: bool = False
    server: asyncio.Server | None = None
    beat: asyncio.Task[None] | None = None
    # Callers and replicas on the other side of a partition.
    cut: set[str] = field(default_factory=set)
    connections: dict[int, Connection] = field(default_factory=dict)

    @property
    def position(self) -> str:
        """Position of the log as TERM.NUMBER."""
        return f'{self.term}.{len(self.log)}'


class Group:
    """A primary and its replicas."""

    def __init__(
        self,
        record: Record,
        fleet: Fleet,
        ip: str,
        *,
        service: str = 'ledger',
        zones: tuple[str, ...] = ('z1', 'z2', 'z3'),
        slots: int = 4,
        max_conns: int = 16,
        port: int = 7700,
    ) -> None:
        self.record = record
        self.fleet = fleet
        self.service = service
        self.max_conns = max_conns
        self.members = [
            Member(
                name=f'i-{service}-{number + 1}',
                zone=zone,
                address=(ip, port + number),
            )
            for number, zone in enumerate(zones)
        ]
        self.members[0].is_primary = True
        self.work_s = {'READ': 0.005, 'WRITE': 0.004, 'COMMIT': 0.004}
        self.slow_items: dict[str, float] = {}
        self.promote_s = 0.3
        self.fence = 0
        # Set when an order to promote a member has arrived.
        self.ordered = asyncio.Event()
        self.promoted: Member | None = None
        self.stray: list[str] = []
        # The session value `step` with which each statement ran.
        self.values: dict[str, str] = {}
        self._slots = {
            member.name: asyncio.Semaphore(slots) for member in self.members
        }
        self._numbers = 0
        self._signatures = 0
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def primary(self) -> Member:
        """The present primary."""
        return next(known for known in self.members if known.is_primary)

    async def start(self) -> None:
        """Start all members and their heartbeats."""
        for member in self.members:
            await self.start_member(member)

    async def start_member(self, member: Member) -> None:
        """Start a member at its address."""
        member.born = int(time.time() * 1000)
        member.sequence = 0

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(member, reader, writer)

        member.server = await asyncio.start_server(
            serve, *member.address, limit=2**21, backlog=512
        )
        member.beat = asyncio.create_task(self._beat(member))
        self._tasks.append(member.beat)

    def crash(self, member: Member) -> None:
        """End the process of a member; its log stays."""
        self.record.write(member.name, 'crashes')
        if member.server is not None:
            member.server.close()
            member.server = None
        if member.beat is not None:
            member.beat.cancel()
        for connection in list(member.connections.values()):
            connection.writer.transport.abort()

    async def restart(self, member: Member) -> None:
        """Start a crashed member again; it receives from the primary."""
        self.record.write(member.name, 'is back')
        member.paused = 0
        await self.start_member(member)

    async def stop(self) -> None:
        """Stop all members."""
        for task in self._tasks:
            task.cancel()
        for member in self.members:
            if member.server is not None:
                member.server.close()
            for connection in list(member.connections.values()):
                connection.writer.close()

    async def _beat(self, member: Member) -> None:
        turn = 0
        while True:
            member.sequence += 1
            body = json.dumps(
                {
                    'service': self.service,
                    'address': f'{member.address[0]}:{member.address[1]}',
                    'zone': member.zone,
                    'version': 'v1',
                    'capacity': 4,
                    'state': 'draining' if member.is_draining else 'ready',
                    'warmupLeftMs': 0,
                    'dbRole': 'primary' if member.is_primary else 'replica',
                    'sequence': member.sequence,
                    'born': member.born,
                }
            ).encode()
            for _ in self.fleet.control:
                turn += 1
                host = self.fleet.control[turn % len(self.fleet.control)]
                answer = await http(
                    (host.ip, self.fleet.control_port),
                    'PUT',
                    f'/instances/{member.name}',
                    body,
                )
                if answer is not None and answer[0] // 100 == 2:
                    break
            await asyncio.sleep(_BEAT_S)

    async def _serve(
        self,
        member: Member,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._numbers += 1
        connection = Connection(number=self._numbers, writer=writer)
        try:
            words = (await _line(reader)).split(' ')
            if words[1] != self.service or words[3:4] not in (
                [],
                [member.name],
            ):
                writer.write(b'ERR MISROUTED other member\r\n')
                return
            if len(member.connections) >= self.max_conns:
                writer.write(b'ERR CONNLIMIT too many connections\r\n')
                return
            caller = words[2]
            while caller in member.cut:
                await asyncio.sleep(_CUT_CHECK_S)
            member.connections[connection.number] = connection
            writer.write(f'READY I {member.position}\r\n'.encode())
            while True:
                line = await _line(reader)
                while caller in member.cut:
                    await asyncio.sleep(_CUT_CHECK_S)
                _, request, text = line.split(' ', 2)
                answer = await self._answer(member, connection, request, text)
                ready = f'READY {connection.state} {member.position}'
                writer.write(f'{answer}\r\n{ready}\r\n'.encode())
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            member.connections.pop(connection.number, None)
            with contextlib.suppress(OSError):
                writer.close()

    async def _answer(
        self, member: Member, connection: Connection, request: str, text: str
    ) -> str:
        if text.startswith('AFTER '):
            _, position, text = text.split(' ', 2)
            term, number = map(int, position.split('.'))
            if (member.term, len(member.log)) < (term, number):
                return 'ERR LAGGING behind'
        words = text.split(' ')
        if request == '-' and words[0] not in {'BEGIN', 'ROLLBACK'}:
            return self._own_statement(member, connection, words)
        before = connection.state
        self.values[request] = connection.values.get('step', '')
        answer = await self._run(member, connection, request, words)
        self.record.write(
            member.name,
            f'connection {connection.number} state {before}: {request} '
            f'{text} -> {answer.splitlines()[-1]}',
        )
        return answer

    def _own_statement(
        self, member: Member, connection: Connection, words: list[str]
    ) -> str:
        match words:
            case ['STATUS']:
                return self._status(member)
            case ['PAUSE', term]:
                if int(term) > member.term and not member.is_primary:
                    member.paused = int(term)
                self.record.write(member.name, f'PAUSE {term}')
                return self._status(member)
            case ['RESUME']:
                member.paused = 0
                self.record.write(member.name, 'RESUME')
                return self._status(member)
            case ['DEMOTE', _]:
                return self._status(member)
            case ['RESET']:
                connection.values = {}
                connection.prepared = {}
                return 'DONE -'
            case ['SET', name, *value]:
                connection.values[name] = ' '.join(value)
                return 'DONE -'
            case ['PREPARE', name, kind, *shape]:
                connection.prepared[name] = (kind, ' '.join(shape))
                return 'DONE -'
            case _:
                return 'ERR MALFORMED unknown statement'

    def _status(self, member: Member) -> str:
        role = 'primary' if member.is_primary else 'replica'
        row = (
            f'ROW {role} {member.term} {member.position} {member.paused} 0 0 '
            f'{len(member.connections)}'
        )
        return f'{row}\r\nDONE -'

    async def _run(
        self,
        member: Member,
        connection: Connection,
        request: str,
        words: list[str],
    ) -> str:
        kind = words[0]
        if kind == 'ROLLBACK':
            connection.state, connection.writes = 'I', []
            return 'DONE -'
        if connection.state == 'E':
            return 'ERR MALFORMED the transaction failed'
        if kind == 'BEGIN':
            if len(words) == 1 and not member.is_primary:
                return 'ERR READONLY not the primary'
            connection.state = 'T'
            connection.can_write = len(words) == 1
            return 'DONE -'
        if kind == 'EXEC':
            if words[1] not in connection.prepared:
                return 'ERR NOSTMT not prepared'
            access, _ = connection.prepared[words[1]]
            words = [access, *words[2:]]
            kind = access
        if kind == 'COMMIT' and connection.state == 'I':
            self.stray.append(f'{request} on connection {connection.number}')
        async with self._slots[member.name]:
            await asyncio.sleep(
                self.slow_items.get(words[1] if words[1:] else '', 0)
                or self.work_s[kind]
            )
            if kind == 'READ':
                return f'ROW {self._value(member, words[1])}\r\n{self._done()}'
            if not member.is_primary and kind == 'WRITE':
                connection.state = 'E' if connection.state == 'T' else 'I'
                return 'ERR READONLY not the primary'
            if kind == 'WRITE' and connection.state == 'T':
                connection.writes.append((request, words[1], words[2]))
                return self._done()
            writes, connection.writes = connection.writes, []
            if kind == 'WRITE':
                writes = [(request, words[1], words[2])]
            connection.state = 'I'
            if writes and not await self._commit(member, writes):
                return 'ERR READONLY the member has lost the lead'
            return self._done()

    def _value(self, member: Member, item: str) -> str:
        for _, writes in reversed(member.log):
            for _, name, value in reversed(writes):
                if name == item:
                    return value
        return 'none'

    def _done(self) -> str:
        self._signatures += 1
        return f'DONE s{self._signatures:x}'

    async def _commit(
        self, member: Member, writes: list[tuple[str, str, str]]
    ) -> bool:
        if not member.is_primary:
            return False
        member.log.append((member.term, writes))
        length = len(member.log)
        while member.is_primary:
            await asyncio.sleep(_RECEIVE_S)
            received = 0
            for replica in self.members:
                if replica is not member and not replica.paused:
                    if replica.server is None or replica.name in member.cut:
                        continue
                    replica.log.extend(member.log[len(replica.log) :])
                    replica.term = member.term
                    received += len(replica.log) >= length
            if received:
                return True
        return False

    async def serve_platform(self, ip: str, port: int = 7800) -> str:
        """Serve `POST /promote`; return the address."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(
                OSError, asyncio.IncompleteReadError, ValueError
            ):
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                fields = {
                    line.split(':')[0].lower(): line.split(':', 1)[1].strip()
                    for line in head.split('\r\n')[1:]
                    if ':' in line
                }
                body = await reader.readexactly(int(fields['content-length']))
                status = await self._promote(fields, json.loads(body))
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Length: 0\r\n'
                    'Connection: close\r\n\r\n'.encode()
                )
            writer.close()

        server = await asyncio.start_server(serve, ip, port)
        self._platform = server
        return f'{ip}:{port}'

    async def _promote(
        self, fields: dict[str, str], body: dict[str, str]
    ) -> int:
        token = int(fields['x-fencing-token'])
        self.record.write('platform', f'promote {body} token {token}')
        if token < self.fence:
            return 409
        self.fence = token
        named = next(
            (known for known in self.members if known.name == body['id']), None
        )
        if named is None or named.server is None:
            return 409
        if named.is_primary:
            return 200
        self.ordered.set()
        await asyncio.sleep(self.promote_s)
        term = max(known.term for known in self.members) + 1
        for known in self.members:
            known.is_primary = known is named
            known.paused = 0
        named.term = term
        self.promoted = named
        self.record.write(named.name, f'leads term {term}')
        return 200


async def _line(reader: asyncio.StreamReader) -> str:
    return (await reader.readuntil(b'\r\n'))[:-2].decode()
