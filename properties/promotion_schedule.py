"""Random schedules of promotions while replicas are away and return.

Control and two proxies are the real ones, in virtual time: poller, fleet state,
takeover controller, leases, and the path of writes. The primary may be cut off
from control, proxies may be cut off from control, control may have no leader
for a while, and an order takes effect a second after it was sent. Replicas
crash, come back with their log and confirm what the former primary still runs.
"""

import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

import anyio
import trio
from anyio.abc import TaskGroup
from trio.testing import MockClock

from lavendergate.backends.sessions import (
    AnswerLostError,
    MemberDialer,
    MemberSession,
    MemberUnreachableError,
    ReportRequest,
)
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.sessions.context import (
    SYSTEM_CONTEXT,
    StatementContext,
)
from lavendergate.core.sessions.statements import (
    Completed,
    MemberReport,
    RefusalCode,
    Refused,
    SessionAnswer,
    Statement,
    Write,
)
from lavendergate.core.types import HostId, LogPosition, Term
from lavendergate.daemon.fleet_view_receiver import FleetViewReceiver
from lavendergate.filters.sessions.base import CallerSession
from lavendergate.observability.log import MemoryEventLog
from lavendergate.rpc.fleet_service import FleetVersion, SyncRequest
from lavendergate.supervision.boundary import Boundary
from lavendergate.tests.session_fixture import PRIMARY, SessionFixture
from lavendergate.tests.takeover_fixture import TakeoverFixture
from properties.task_order import in_order
from standin.session_group import GroupDialer, Member, SessionGroup

_SETTLED_S = 4.0
_STEPS = 10
_ENDED_S = 12.0
_PROXIES = 3
_CALLERS = 1
_ORDER_S = 1.0
_SYNC_S = 0.25
_WRITE_PAUSE_S = 0.05


class CutDialer(MemberDialer):
    """Connections of one host, which may be cut off from members.

    Attributes
    ----------
    cut
        Ids of the members that the host does not reach.
    """

    def __init__(self, *, direct: MemberDialer) -> None:
        self._direct = direct
        self.cut: set[str] = set()

    async def dial(
        self,
        member: MemberEntry,
        context: StatementContext = SYSTEM_CONTEXT,
    ) -> tuple[MemberSession, LogPosition | None]:
        """Open a connection; see the base class."""
        if member.upstream_id in self.cut:
            raise MemberUnreachableError(f'{member.upstream_id} is cut off')
        session, position = await self._direct.dial(member, context)
        wrapped = _CutSession(
            session=session, name=member.upstream_id, dialer=self
        )
        return wrapped, position


class _CutSession(MemberSession):
    """Connection that loses its answers while the member is cut off."""

    def __init__(
        self, *, session: MemberSession, name: str, dialer: CutDialer
    ) -> None:
        self._session = session
        self._name = name
        self._dialer = dialer

    async def run(
        self,
        statement: Statement,
        *,
        request_id: str | None = None,
        after: LogPosition | None = None,
    ) -> SessionAnswer:
        self._check()
        return await self._session.run(
            statement, request_id=request_id, after=after
        )

    async def request_report(
        self, request: ReportRequest
    ) -> MemberReport | Refused:
        self._check()
        return await self._session.request_report(request)

    async def close(self) -> None:
        await self._session.close()

    def _check(self) -> None:
        if self._name in self._dialer.cut:
            raise AnswerLostError(f'{self._name} is cut off')


class JudgedGroup(SessionGroup):
    """Group that checks what each promoted member has.

    Attributes
    ----------
    problems
        Acknowledged writes that a promoted member lacked.
    acknowledged
        Items of acknowledged writes.
    """

    def __init__(self) -> None:
        super().__init__(names=('a', 'b', 'c'), waits_for_replicas=True)
        self.problems: list[str] = []
        self.acknowledged: set[str] = set()
        self.promotions = 0

    def promote(self, name: str) -> None:
        """Promote a member and compare its log with what was acknowledged."""
        self.promotions += 1
        lost = self.missing_at(self.member(name))
        if lost:
            self.problems.append(f'{name} lacks {lost}')
        super().promote(name)

    def missing_at(self, member: Member) -> list[str]:
        """Return the acknowledged writes that are not in a member's log."""
        present = {item for entry in member.log for item, _ in entry.writes}
        return sorted(self.acknowledged - present)


@dataclass(kw_only=True)
class PromotionSchedule:
    """One random schedule.

    Attributes
    ----------
    codes
        Number of refused writes by code.
    steps
        What happened, for a failed check.
    """

    seed: int
    tasks: TaskGroup
    group: JudgedGroup = field(default_factory=JudgedGroup)
    codes: dict[RefusalCode, int] = field(default_factory=dict)
    steps: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start control and two proxies in front of one group."""
        self._random = random.Random(self.seed)
        self._dialer = CutDialer(direct=GroupDialer(groups=(self.group,)))
        self._proxy_dialers: list[CutDialer] = []
        self.control = TakeoverFixture(
            tasks=self.tasks, group=self.group, dialer=self._dialer
        )
        self.control.orders.delay_s = _ORDER_S
        self._cut_proxies: set[int] = set()
        self._proxies = [
            SessionFixture(
                tasks=self.tasks,
                group=self.group,
                lease_s=0,
                make_dialer=self._make_dialer,
            )
            for _ in range(_PROXIES)
        ]

    def _make_dialer(self, direct: MemberDialer) -> MemberDialer:
        self._proxy_dialers.append(CutDialer(direct=direct))
        return self._proxy_dialers[-1]

    async def run(self) -> None:
        """Play the schedule, and some time without further trouble."""
        await self.start_callers()
        actions = (
            self._crash_replica,
            self._crash_replica,
            self._cut_primary,
            self._cut_primary,
            self._cut_proxy,
            self._lose_leader,
            self._be_deaf,
            *self.more_actions(),
        )
        for _ in range(_STEPS):
            action = self._random.choice(actions)
            self.steps.append(f'{anyio.current_time():.2f} {action.__name__}')
            self.tasks.start_soon(action)
            await anyio.sleep(self._random.choice((0.02, 0.3, 1.0, 2.5)))
        await self.settle()

    def more_actions(
        self,
    ) -> tuple[Callable[[], Coroutine[Any, Any, None]], ...]:
        """Return further troubles of a kind of schedules."""
        return ()

    async def start_callers(self) -> None:
        """Let the proxies follow control, and callers write at each."""
        for number, proxy in enumerate(self._proxies):
            self.tasks.start_soon(self._follow, number, proxy)
            for caller in range(_CALLERS):
                name = f'{number}/{caller}'
                self.tasks.start_soon(self._write, proxy, name)
        await anyio.sleep(_SETTLED_S)

    async def settle(self) -> None:
        """Wait some time, then check what the last primary has."""
        await anyio.sleep(_ENDED_S)
        lost = self.group.missing_at(self.group.primary)
        if lost:
            self.group.problems.append(f'not kept: {lost}')

    async def _follow(self, number: int, proxy: SessionFixture) -> None:
        """Keep a proxy in touch with the control leader."""
        receiver = FleetViewReceiver(
            view=proxy.view,
            pools=proxy.pools,
            positions=proxy.positions,
            first_writes=proxy.first_writes,
            events=MemoryEventLog(),
            boundary=Boundary(events=MemoryEventLog()),
        )
        while True:
            sent_at = anyio.current_time()
            is_cut = number in self._cut_proxies
            if self.control.fleet.is_leading and not is_cut:
                reply = await self.control.fleet.sync(
                    SyncRequest(
                        host_id=HostId(f'proxy-{number}'),
                        is_proxy=True,
                        known=FleetVersion(),
                        routes_version=0,
                        reach=receiver.primary_reach(),
                        wait_s=0,
                    )
                )
                receiver.apply(reply, sent_at)
            await anyio.sleep(_SYNC_S)

    async def _write(self, proxy: SessionFixture, name: str) -> None:
        """Write one item after the other."""
        session = CallerSession(database=PRIMARY)
        count = 0
        while True:
            count += 1
            item = f'{name}/{count}'
            answer = await proxy.send(session, Write(item=item, content='1'))
            match answer.outcome:
                case Completed():
                    self.group.acknowledged.add(item)
                case Refused(code=code):
                    self.codes[code] = self.codes.get(code, 0) + 1
            await anyio.sleep(_WRITE_PAUSE_S)

    async def _crash_replica(self) -> None:
        """Crash a replica; it comes back with its log, often after an order."""
        replicas = [
            member
            for member in self.group.members.values()
            if not (member.is_primary or member.is_down)
        ]
        if len(replicas) < 2:
            return
        replica = self._random.choice(replicas)
        replica.is_down = True
        ordered = len(self.control.orders.orders)
        with anyio.move_on_after(self._random.choice((0.5, 4.0, 7.0))):
            while len(self.control.orders.orders) == ordered:
                await anyio.sleep(0.05)
            await anyio.sleep(self._random.choice((0.05, 0.4)))
        replica.paused_term = Term(0)
        replica.is_down = False
        self.steps.append(f'{anyio.current_time():.2f} a replica returns')

    async def _cut_primary(self) -> None:
        """Cut the primary off from control, most proxies and a replica.

        Half of the time, the proxy that still reaches it hears no control.
        """
        primary = self.group.primary
        name = primary.entry.upstream_id
        near = self._random.randrange(_PROXIES)
        far = [self._dialer, *self._proxy_dialers]
        far.remove(self._proxy_dialers[near])
        if self._random.random() < 0.5:
            self.tasks.start_soon(self._cut_proxy, near)
        replicas = [
            member
            for member in self.group.members.values()
            if member is not primary and not member.is_down
        ]
        for dialer in far:
            dialer.cut.add(name)
        deaf = self._random.choice((*replicas, None))
        if deaf is not None:
            deaf.is_replication_cut = True
        await anyio.sleep(self._random.choice((2.0, 4.0, 7.0)))
        for dialer in far:
            dialer.cut.discard(name)
        if deaf is not None:
            deaf.is_replication_cut = False

    async def _cut_proxy(self, number: int | None = None) -> None:
        """Cut a proxy off from control."""
        if number is None:
            number = self._random.randrange(_PROXIES)
        self._cut_proxies.add(number)
        await anyio.sleep(self._random.choice((1.2, 3.0, 8.0)))
        self._cut_proxies.discard(number)

    async def _lose_leader(self) -> None:
        """Elect a leader after a while without one."""
        view = self.control.node.view
        if not view.is_leader:
            return
        view.is_leader = False
        await anyio.sleep(self._random.choice((0.3, 2.0, 10.0)))
        view.term += 1
        view.is_leader = True

    async def _be_deaf(self) -> None:
        """Let a replica receive nothing for a while."""
        member = self._random.choice(list(self.group.members.values()))
        member.is_replication_cut = True
        await anyio.sleep(self._random.choice((1.0, 4.0)))
        member.is_replication_cut = False


ScheduleT = TypeVar('ScheduleT', bound=PromotionSchedule)


def run_schedule(seed: int, make: type[ScheduleT]) -> ScheduleT:
    """Play one schedule and return it."""
    played: list[ScheduleT] = []

    async def play() -> None:
        async with anyio.create_task_group() as tasks:
            played.append(make(seed=seed, tasks=tasks))
            await played[0].run()
            tasks.cancel_scope.cancel()

    with in_order(seed):
        trio.run(play, clock=MockClock(autojump_threshold=0))
    return played[0]
