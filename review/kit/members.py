"""Stand-in for the services, their members and the platform.

A member follows the page of the protocol: one log for each service, commits
that are acknowledged once one replica has received them, replicas that apply
them a little later, and `STATUS`, `PAUSE`, `RESUME` and `DEMOTE`.
"""

import asyncio
import itertools
import json
import random
import secrets
import time
from dataclasses import dataclass, field

from kit import http
from kit.fleet import Fleet, Record

Position = tuple[int, int]
_PROMOTE_S = 0.3


@dataclass
class Commit:
    """An entry of a log."""

    position: Position
    writes: list[tuple[str, str, str]]


@dataclass
class Connection:
    """Session of one connection to a member."""

    who: str
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = field(default_factory=dict)
    phase: str = 'I'
    is_plain: bool = False
    term: int = 0
    writes: list[tuple[str, str, str]] = field(default_factory=list)


class Refusal(Exception):
    """Refusal of a statement with its code."""


class Member:
    """One member of a service."""

    def __init__(self, service: 'Service', ip: str, zone: str) -> None:
        self.service = service
        self.id = f'i-{secrets.token_hex(4)}'
        self.ip = ip
        self.zone = zone
        self.port = 0
        self.born = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        self.state = 'ready'
        self.term = 1
        self.log: list[Commit] = []
        self.applied = 0
        self.paused = 0
        self.is_primary = False
        self.is_up = True
        self.connections = 0
        self.slots = asyncio.Semaphore(service.slots)
        self.received = asyncio.Condition()
        # One way from the primary, in seconds.
        self.distance_s = 0.002
        self.draining_acknowledged_at: float | None = None
        self.unreachable: set[str] = set()
        self.is_deaf = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def position(self) -> Position:
        """Position of the last received commit."""
        return self.log[-1].position if self.log else (1, 0)

    @property
    def applied_position(self) -> Position:
        """Position of the last applied commit."""
        return self.log[self.applied - 1].position if self.applied else (1, 0)

    @property
    def address(self) -> str:
        """Address of the member, ``ip:port``."""
        return f'{self.ip}:{self.port}'

    async def start(self) -> None:
        """Listen for connections."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def crash(self) -> None:
        """Break all connections and stop listening."""
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def come_back(self, *, is_empty: bool = False) -> None:
        """Start again under the same id.

        Parameters
        ----------
        is_empty
            Whether the member holds and knows nothing of before. Otherwise
            it has its log.
        """
        if is_empty:
            self.log = []
            self.applied = 0
            self.born = int(time.time() * 1000)
            self.sequence = itertools.count(1)
            self.state = 'ready'
            self.draining_acknowledged_at = None
        self.paused = 0
        self.is_up = True
        await self.start()
        self.service.catch_up(self)

    async def announce(self, fleet: Fleet) -> bool:
        """Send a heartbeat to the control hosts, one after the other."""
        body = self.heartbeat()
        hosts = [
            host for host in fleet.control if host.name not in self.unreachable
        ]
        random.shuffle(hosts)
        for host in hosts:
            answer = await http.call(
                host.control, 'PUT', f'/instances/{self.id}', body
            )
            if answer is not None and 200 <= answer[0] < 300:
                return True
        return False

    def heartbeat(self) -> bytes:
        """Return the body of the next heartbeat."""
        return json.dumps(
            {
                'service': self.service.name,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'capacity': self.service.slots,
                'state': self.state,
                'warmupLeftMs': 0,
                'dbRole': 'primary' if self.is_primary else 'replica',
                'sequence': next(self.sequence),
                'born': self.born,
            }
        ).encode()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self.connections += 1
        connection = Connection(who='')
        try:
            await self._run(reader, writer, connection)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self.connections -= 1
            self._writers.discard(writer)
            writer.close()

    async def _run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: Connection,
    ) -> None:
        words = (await _read_line(reader)).split(' ')
        if len(words) < 3 or words[:2] != ['START', self.service.name]:
            writer.write(b'ERR MISROUTED wrong service\r\n')
            return
        if len(words) > 3 and words[3] != self.id:
            writer.write(b'ERR MISROUTED wrong member\r\n')
            return
        if self.connections > self.service.max_connections:
            writer.write(b'ERR CONNLIMIT too many connections\r\n')
            return
        connection.who = words[2]
        async with self.slots:
            await asyncio.sleep(self.service.handshake_s)
        writer.write(f'READY I {_text(self.applied_position)}\r\n'.encode())
        while True:
            line = await _read_line(reader)
            if line == 'BYE':
                return
            _, request, text = line.split(' ', 2)
            answer = await self._answer(connection, request, text)
            writer.write(answer.encode())
            await writer.drain()

    async def _answer(
        self, connection: Connection, request: str, text: str
    ) -> str:
        record = self.service.record
        if request != '-':
            self.service.arrivals[request] = time.monotonic()
        try:
            rows = await self._execute(connection, request, text)
            signature = '-' if request == '-' else secrets.token_hex(8)
            lines = [f'ROW {row}' for row in rows] + [f'DONE {signature}']
        except Refusal as refusal:
            lines = [f'ERR {refusal} {self.id}']
            if connection.phase == 'T' and str(refusal) in {
                'READONLY',
                'FAILED',
                'TIMEOUT',
            }:
                connection.phase = 'E'
        if request != '-':
            record(f'{self.id} ran {request} {text} -> {lines[-1]}')
        ready = f'READY {connection.phase} {_text(self.applied_position)}'
        return ''.join(f'{line}\r\n' for line in [*lines, ready])

    async def _execute(  # noqa: C901
        self, connection: Connection, request: str, text: str
    ) -> list[str]:
        word, _, rest = text.partition(' ')
        if word == 'AFTER':
            needed, _, text = rest.partition(' ')
            if self.applied_position < _position(needed):
                raise Refusal('LAGGING')
            word, _, rest = text.partition(' ')
        match word:
            case 'STATUS':
                return [await self._status()]
            case 'PAUSE':
                if int(rest) > self.term:
                    self.paused = int(rest)
                return [await self._status()]
            case 'RESUME':
                self.paused = 0
                self.service.catch_up(self)
                return [await self._status()]
            case 'DEMOTE':
                if self.is_primary and int(rest) > self.term:
                    self.is_primary = False
                return [await self._status()]
            case 'RESET':
                connection.values = {}
                connection.prepared = {}
            case 'SET':
                name, _, content = rest.partition(' ')
                connection.values[name] = content
            case 'PREPARE':
                name, access, shape = rest.split(' ', 2)
                connection.prepared[name] = (access, shape)
            case 'FORGET':
                connection.prepared.pop(rest, None)
            case 'BEGIN':
                if rest != 'READ' and not self.is_primary:
                    raise Refusal('READONLY')
                connection.phase = 'T'
                connection.is_plain = rest != 'READ'
                connection.term = self.term
                connection.writes = []
            case 'ROLLBACK':
                connection.phase = 'I'
                connection.writes = []
            case 'COMMIT':
                await self._commit_transaction(connection, request)
            case 'READ':
                return await self._read(connection, rest)
            case 'WRITE':
                item, _, content = rest.partition(' ')
                await self._write(connection, request, item, content)
            case 'EXEC':
                name, item, *content = rest.split(' ', 2)
                if name not in connection.prepared:
                    raise Refusal('NOSTMT')
                if connection.prepared[name][0] == 'READ':
                    return await self._read(connection, item)
                await self._write(connection, request, item, content[0])
            case _:
                raise Refusal('MALFORMED')
        return []

    async def _status(self) -> str:
        async with self.slots:
            role = 'primary' if self.is_primary else 'replica'
            return (
                f'{role} {self.term} {_text(self.position)} {self.paused} '
                f'0 0 {self.connections}'
            )

    def _check_lead(self, connection: Connection) -> None:
        if connection.phase == 'T' and connection.is_plain:
            if not self.is_primary or self.term != connection.term:
                raise Refusal('READONLY')

    async def _read(self, connection: Connection, item: str) -> list[str]:
        self._check_lead(connection)
        async with self.slots:
            await asyncio.sleep(self.service.work_s())
        self._check_lead(connection)
        for commit in reversed(self.log[: self.applied]):
            for written, content, _ in reversed(commit.writes):
                if written == item:
                    return [content]
        return ['-']

    async def _write(
        self, connection: Connection, request: str, item: str, content: str
    ) -> None:
        self._check_lead(connection)
        if not self.is_primary or (
            connection.phase == 'T' and not connection.is_plain
        ):
            raise Refusal('READONLY')
        async with self.slots:
            await asyncio.sleep(self.service.work_s())
        self._check_lead(connection)
        if connection.phase == 'T':
            connection.writes.append((item, content, request))
            return
        if not self.is_primary:
            raise Refusal('READONLY')
        await self.service.commit(self, [(item, content, request)])

    async def _commit_transaction(
        self, connection: Connection, request: str
    ) -> None:
        writes = connection.writes
        if writes:
            self._check_lead(connection)
        async with self.slots:
            await asyncio.sleep(self.service.work_s() / 2)
        if writes:
            self._check_lead(connection)
            connection.phase = 'I'
            connection.writes = []
            await self.service.commit(self, writes)
        connection.phase = 'I'


class Service:
    """A primary with its replicas.

    Parameters
    ----------
    work_s
        Least and longest time that a statement takes, in seconds.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        *,
        slots: int = 8,
        max_connections: int = 100,
        work_s: tuple[float, float] = (0.004, 0.01),
        lag_s: float = 0.02,
        handshake_s: float = 0.012,
    ) -> None:
        self.record = record
        self.name = name
        self.slots = slots
        self.max_connections = max_connections
        self.handshake_s = handshake_s
        self.lag_s = lag_s
        self.work = work_s
        self.members: list[Member] = []
        self.terms: list[tuple[int, str]] = []
        # When a member got each request of a client.
        self.arrivals: dict[str, float] = {}

    def work_s(self) -> float:
        """Return the time that the next statement takes, in seconds."""
        return random.uniform(*self.work)

    @property
    def primary(self) -> Member:
        """Member that leads the newest term."""
        leading = [member for member in self.members if member.is_primary]
        return max(leading, key=lambda member: member.term)

    def member(self, member_id: str) -> Member | None:
        """Return a member that runs."""
        for member in self.members:
            if member.id == member_id and member.is_up:
                return member
        return None

    async def start(self, fleet: Fleet, count: int = 3) -> None:
        """Start the members; the first one is primary."""
        for number in range(count):
            member = Member(self, fleet.ip(), f'zone-{"abc"[number % 3]}')
            await member.start()
            self.members.append(member)
        self.members[0].is_primary = True

    async def commit(
        self, primary: Member, writes: list[tuple[str, str, str]]
    ) -> None:
        """Append a commit and wait until one replica has received it."""
        number = primary.position[1] + 1
        commit = Commit((primary.term, number), writes)
        primary.log.append(commit)
        primary.applied = len(primary.log)
        others = [member for member in self.members if member is not primary]
        received = asyncio.Event()
        for replica in others:
            asyncio.create_task(self._replicate(primary, replica, received))
        await received.wait()

    def catch_up(self, replica: Member) -> None:
        """Let a replica receive what it lacks."""
        leading = [member for member in self.members if member.is_primary]
        if leading and replica is not self.primary:
            asyncio.create_task(
                self._replicate(self.primary, replica, asyncio.Event())
            )

    async def _replicate(
        self, primary: Member, replica: Member, received: asyncio.Event
    ) -> None:
        """Send the log of a primary, as it is now, to a replica."""
        sent = tuple(primary.log)
        term = primary.term
        born = replica.born
        await asyncio.sleep(replica.distance_s)
        can_receive = (
            replica.is_up
            and replica.born == born
            and not replica.paused
            and not replica.is_deaf
            and not replica.is_primary
            and primary.is_primary
            and primary.term == term
        )
        if not can_receive:
            return
        if len(sent) > len(replica.log) or replica.term < term:
            replica.log = list(sent)
            replica.term = term
            replica.applied = min(replica.applied, len(sent))
        asyncio.get_running_loop().call_later(
            replica.distance_s if primary.is_up else 60, received.set
        )
        await asyncio.sleep(self.lag_s)
        replica.applied = max(replica.applied, min(len(sent), len(replica.log)))

    async def promote(self, member: Member) -> None:
        """Make a member the primary of the next term."""
        await asyncio.sleep(_PROMOTE_S)
        if not member.is_up:
            return
        term = max(other.term for other in self.members) + 1
        for other in self.members:
            other.is_primary = False
        member.is_primary = True
        member.paused = 0
        member.term = term
        member.applied = len(member.log)
        self.terms.append((term, member.id))
        self.record(f'{member.id} leads {self.name} in term {term}')
        for other in self.members:
            if other is not member and other.is_up and not other.paused:
                self.catch_up(other)


class Platform:
    """Stand-in for the platform's calls, and the members' heartbeats."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.services: dict[str, Service] = {}
        self.fences: dict[str, int] = {}
        self.orders: list[tuple[float, str, str, int]] = []
        self.heartbeat_s = 1.2
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Serve; return the address, ``ip:port``."""
        self._server = await http.serve(self._handle, '127.0.0.1')
        return '127.0.0.1:{}'.format(
            self._server.sockets[0].getsockname()[1],
        )

    async def _handle(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        if (method, path) != ('POST', '/promote'):
            return 404, {}
        order = json.loads(body)
        holder = headers.get('x-lease-holder', '')
        token = int(headers.get('x-fencing-token', '0'))
        service = self.services[order['service']]
        self.record(f'promote {order} by {holder} with token {token}')
        self.orders.append((time.monotonic(), holder, order['id'], token))
        if token < self.fences.get(service.name, 0):
            return 409, {}
        self.fences[service.name] = token
        member = service.member(order['id'])
        if member is None:
            return 409, {}
        if not member.is_primary:
            await service.promote(member)
        return 200, {}

    async def send_heartbeats(self, fleet: Fleet) -> None:
        """Send the heartbeats of all members until cancelled."""
        for service in self.services.values():
            for member in service.members:
                asyncio.create_task(self.beat(fleet, member))
        await asyncio.Event().wait()

    async def beat(self, fleet: Fleet, member: Member) -> None:
        """Send the heartbeats of one member."""
        while True:
            if member.is_up:
                said = member.state
                taken = await member.announce(fleet)
                if taken and said == 'draining':
                    if member.draining_acknowledged_at is None:
                        member.draining_acknowledged_at = time.monotonic()
                        self.record(f'{member.id} draining, acknowledged')
            await asyncio.sleep(self.heartbeat_s * random.uniform(0.9, 1.1))


async def _read_line(reader: asyncio.StreamReader) -> str:
    return (await reader.readuntil(b'\r\n'))[:-2].decode()


def _text(position: Position) -> str:
    return f'{position[0]}.{position[1]}'


def _position(text: str) -> Position:
    term, _, number = text.partition('.')
    return int(term), int(number)
