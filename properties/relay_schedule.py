"""Random schedules of transactions that proxies pass on to home proxies.

The proxies, homes and the path of statements are the real ones, in virtual
time. The hosts are suspended while replies wait in sockets, homes freeze or are
restarted, and replies are lost. Members refuse some statements.
"""

import random
from dataclasses import dataclass, field

import anyio

from lavendergate.core.sessions.statements import (
    Begin,
    CallerStatement,
    Commit,
    Completed,
    Phase,
    Read,
    RefusalCode,
    Refused,
    Rollback,
    SessionAnswer,
    SetValue,
    Write,
)
from lavendergate.filters.sessions.base import CallerSession, SessionRequest
from lavendergate.rpc.relay_service import RelayReply, RelayRequest
from lavendergate.rpc.relay_transport import RelayTransport
from lavendergate.tests.relay_fixture import RelayFixture, RelayingProxy, play
from lavendergate.tests.session_fixture import PRIMARY
from properties.task_order import in_order

_TRANSACTIONS = 14
_READS = 120
_CALLERS = 2
_PROXIES = 3
_FAULTS = 16
_TIMEOUT_S = 0.7
_DELIVERY_S = 0.01
_SUSPENSIONS_S = (0.1, 0.4, 0.9, 1.2)
_STATEMENT_S = 0.02
_VALUE = 'step'


class RealClock:
    """Clock that also advances while the hosts are suspended.

    Attributes
    ----------
    suspended_s
        How long the hosts were suspended, in seconds.
    """

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def now(self) -> float:
        """Return the time in seconds."""
        return anyio.current_time() + self.suspended_s


class DelayingTransport(RelayTransport):
    """Transport whose replies take a while.

    A reply that is on its way while the hosts are suspended was dated before.
    """

    def __init__(self, *, transport: RelayTransport) -> None:
        self._transport = transport

    async def run(self, address: str, request: RelayRequest) -> RelayReply:
        """Pass a statement on; see the base class."""
        reply = await self._transport.run(address, request)
        await anyio.sleep(_DELIVERY_S)
        return reply

    async def read_time_ms(self, address: str) -> int:
        """Return the time of a home; see the base class."""
        now_ms = await self._transport.read_time_ms(address)
        await anyio.sleep(_DELIVERY_S)
        return now_ms

    def disconnect(self, address: str) -> None:
        """Close the connection; see the base class."""
        self._transport.disconnect(address)


@dataclass(kw_only=True)
class RelaySchedule:
    """One random schedule.

    Attributes
    ----------
    problems
        Rules that were broken.
    acknowledged, unknown
        Number of transactions with a success or without a known outcome.
    """

    seed: int
    fleet: RelayFixture
    clock: RealClock
    problems: list[str] = field(default_factory=list)
    acknowledged: int = 0
    unknown: int = 0
    # Session values that were acknowledged before each request.
    _values: dict[str, dict[str, str]] = field(default_factory=dict)
    _kept: set[str] = field(default_factory=set)
    _promised: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Draw everything from one generator."""
        self._random = random.Random(self.seed)
        self._member = self.fleet.group.member('a')
        self._member.statement_s = _STATEMENT_S

    async def run(self) -> None:
        """Play the schedule and check what the members ran."""
        proxies = self.fleet.others('a')[:_PROXIES]
        async with anyio.create_task_group() as tasks:
            for proxy in proxies:
                tasks.start_soon(self._read, proxy)
            for proxy in proxies:
                for number in range(_CALLERS):
                    tasks.start_soon(self._work, proxy, number)
            tasks.start_soon(self._disturb)
        await anyio.sleep(6)
        self._check()

    async def _disturb(self) -> None:
        for _ in range(_FAULTS):
            await anyio.sleep(self._random.choice((0.05, 0.2, 0.5)))
            homes = list(self.fleet.transport.homes)
            match self._random.randrange(8):
                case 0 | 1 | 6 | 7:
                    self.clock.suspended_s += self._random.choice(
                        _SUSPENSIONS_S
                    )
                case 2:
                    self.fleet.transport.frozen.add(self._random.choice(homes))
                    await anyio.sleep(self._random.choice((0.1, 0.7)))
                    self.fleet.transport.thaw()
                case 3:
                    self.fleet.transport.lost_replies += 1
                case 4:
                    self._member.refusals.append(RefusalCode.busy)
                case 5:
                    address = self._random.choice(homes)
                    home = next(
                        proxy
                        for proxy in self.fleet.proxies
                        if proxy.address == address
                    )
                    self.fleet.transport.homes[address] = home.make_home()

    async def _read(self, proxy: RelayingProxy) -> None:
        session = CallerSession(database=PRIMARY)
        for _ in range(_READS):
            await self._send(proxy, session, Read(item='report'))
            await anyio.sleep(0.01)

    async def _work(self, proxy: RelayingProxy, number: int) -> None:
        session = CallerSession(database=PRIMARY)
        for count in range(_TRANSACTIONS):
            name = f'{proxy.address}/{number}/{count}'
            await self._transact(proxy, session, name)
            await anyio.sleep(self._random.choice((0, 0.02, 0.2)))

    async def _transact(
        self, proxy: RelayingProxy, session: CallerSession, name: str
    ) -> None:
        """Run one transaction with one write and a value set anywhere."""
        steps: list[CallerStatement] = [
            Write(item=name, content='1'),
            Read(item=name),
        ]
        steps.insert(
            self._random.randrange(3), SetValue(name=_VALUE, value=name)
        )
        await self._send(proxy, session, Begin())
        for step in steps:
            answer = await self._send(proxy, session, step)
            if not isinstance(answer.outcome, Completed):
                break
            await anyio.sleep(self._random.choice((0, 0.02, 0.2)))
        is_whole = session.phase == Phase.in_transaction
        if is_whole and self._random.random() < 0.9:
            answer = await self._send(proxy, session, Commit())
            self._record(name, answer)
            return
        self._promised.add(name)
        if session.phase != Phase.idle:
            await self._send(proxy, session, Rollback())

    def _record(self, name: str, answer: SessionAnswer) -> None:
        match answer.outcome:
            case Completed():
                self.acknowledged += 1
                self._kept.add(name)
            case Refused(code=RefusalCode.unknown):
                self.unknown += 1
            case _:
                self._promised.add(name)

    async def _send(
        self,
        proxy: RelayingProxy,
        session: CallerSession,
        statement: CallerStatement,
    ) -> SessionAnswer:
        now = anyio.current_time()
        request_id = f'r-{len(self._values)}'
        self._values[request_id] = dict(session.values)
        return await proxy.chain(
            SessionRequest(
                session=session,
                request_id=request_id,
                statement=statement,
                arrived_at=now,
                arrived_at_monotonic=now,
                deadline=now + _TIMEOUT_S,
            )
        )

    def _check(self) -> None:
        for run in self._member.executions:
            if isinstance(run.statement, Commit) and not run.in_transaction:
                self.problems.append(f'{run.request_id} outside a transaction')
            known = self._values.get(run.request_id or '', {})
            if run.values != known:
                self.problems.append(
                    f'{run.request_id} ran with {run.values}, not {known}'
                )
        log = {item for entry in self._member.log for item, _ in entry.writes}
        lost, broken = self._kept - log, self._promised & log
        if lost:
            self.problems.append(f'acknowledged, but not kept: {lost}')
        if broken:
            self.problems.append(f'kept in spite of a promise: {broken}')


def run_schedule(seed: int) -> RelaySchedule:
    """Play one schedule and return it."""
    clock = RealClock()
    played: list[RelaySchedule] = []

    def wrap(transport: RelayTransport) -> RelayTransport:
        return DelayingTransport(transport=transport)

    async def scenario(fleet: RelayFixture) -> None:
        played.append(RelaySchedule(seed=seed, fleet=fleet, clock=clock))
        await played[0].run()

    with in_order(seed):
        play(scenario, wrap=wrap, real_clock=clock.now)
    return played[0]
