"""The session statement path of a proxy, with in-memory members."""

import itertools
from collections.abc import Awaitable, Callable

import anyio
import trio
from anyio.abc import TaskGroup
from trio.testing import MockClock

from lavendergate.backends.sessions import MemberDialer
from lavendergate.controllers.customers.registry import CustomerRegistry
from lavendergate.controllers.fleet_view import FleetView
from lavendergate.controllers.positions import PrimaryPositions
from lavendergate.controllers.promotions.first_writes import FirstWrites
from lavendergate.controllers.session_pools import SessionPools
from lavendergate.core.customers.table import CustomerTable
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.routes import (
    Consistency,
    Route,
    RoutesVersion,
    RouteTable,
    ServiceLimits,
)
from lavendergate.core.sessions.shares import ConnectionShare
from lavendergate.core.sessions.statements import (
    CallerStatement,
    SessionAnswer,
)
from lavendergate.core.types import Term
from lavendergate.filters.chain import compose
from lavendergate.filters.customers.identification import IdentificationFilter
from lavendergate.filters.sessions.base import CallerSession, SessionRequest
from lavendergate.filters.sessions.local import LocalFilter
from lavendergate.filters.sessions.member_selection import MemberSelector
from lavendergate.filters.sessions.route import RouteFilter
from lavendergate.filters.sessions.single_statement import SingleStatementFilter
from lavendergate.filters.sessions.transaction import TransactionFilter
from lavendergate.observability.exposition import HttpMetrics
from lavendergate.observability.log import MemoryEventLog
from lavendergate.rpc.fleet_service import PrimaryNotice
from standin.session_group import GroupDialer, SessionGroup

PRIMARY = 'primary-db'
BOUNDED = 'bounded-db'
OWN = 'own-db'
_TIMEOUT_MS = 800
_CONSISTENCY = {
    PRIMARY: (Consistency.primary, 0),
    BOUNDED: (Consistency.bounded_staleness, 1500),
    OWN: (Consistency.read_own_writes, 2500),
}


class SessionFixture:
    """One proxy in front of one group of three members.

    Parameters
    ----------
    tasks
        Task group of the pools.
    lease_s
        Duration of the lease on the first primary, in seconds.
    group
        Group that the proxy serves, if other proxies share it.
    make_dialer
        Returns the dialer of the proxy, given the one of the group.
    key_lease_s
        Time for which keys are admitted without a renewal, in seconds; None
        for no limit.
    proxies
        Number of proxies that control has counted; None if it has not. Only
        with it the proxy connects to replicas that nobody reads from.
    """

    def __init__(
        self,
        *,
        tasks: TaskGroup,
        lease_s: float = 60,
        group: SessionGroup | None = None,
        make_dialer: Callable[[MemberDialer], MemberDialer] | None = None,
        key_lease_s: float | None = None,
        proxies: int | None = None,
    ) -> None:
        self.customers: CustomerTable | None = None
        self.public = frozenset[str]()
        self.events = MemoryEventLog()
        self.tasks = tasks
        self.synchronous_replicas = 1
        self.timeout_ms = _TIMEOUT_MS
        self.group = group or SessionGroup(names=('a', 'b', 'c'))
        self.dialer = GroupDialer(groups=(self.group,))
        self.share = ConnectionShare(limit=4)
        self.view = FleetView(clock=anyio.current_time)
        self.view.proxies = proxies
        self.pools = SessionPools(
            dialer=(
                self.dialer if make_dialer is None else make_dialer(self.dialer)
            ),
            tasks=tasks,
            clock=anyio.current_time,
            share=self._share,
            home_share=self._home_share,
            events=self.events,
            metrics=HttpMetrics(),
        )
        self.registry = CustomerRegistry(
            view=self.view,
            lease_s=key_lease_s,
            real_clock=anyio.current_time,
            events=self.events,
        )
        self.positions = PrimaryPositions(
            view=self.view,
            pools=self.pools,
            tasks=tasks,
            clock=anyio.current_time,
            monotonic=anyio.current_time,
        )
        self.metrics = HttpMetrics()
        self.first_writes = FirstWrites(
            view=self.view,
            pools=self.pools,
            tasks=tasks,
            clock=anyio.current_time,
            monotonic=anyio.current_time,
            events=self.events,
            metrics=self.metrics,
        )
        selector = MemberSelector(
            view=self.view,
            pools=self.pools,
            positions=self.positions,
            first_writes=self.first_writes,
            monotonic=anyio.current_time,
            metrics=self.metrics,
        )
        self.transactions = TransactionFilter(
            selector=selector,
            pools=self.pools,
            positions=self.positions,
            monotonic=anyio.current_time,
        )
        self.chain = compose(
            (
                IdentificationFilter(
                    view=self.view,
                    customers=self.registry,
                    transactions=self.transactions,
                    events=self.events,
                ),
                LocalFilter(),
                RouteFilter(view=self.view),
                SingleStatementFilter(
                    selector=selector,
                    pools=self.pools,
                    positions=self.positions,
                    monotonic=anyio.current_time,
                ),
                self.transactions,
            )
        )
        self._ids = itertools.count(1)
        self.publish(1)
        self.announce()
        self.notice('a', 1, lease_s=lease_s, is_new=False)

    def publish(self, version: int, databases: tuple[str, ...] = ()) -> None:
        """Put a route table into force."""
        service = self.group.service
        self.view.adopt_routes(
            RouteTable(
                version=RoutesVersion(version),
                routes={
                    database: Route(
                        name=database,
                        database=database,
                        service=service,
                        consistency=consistency,
                        timeout_ms=self.timeout_ms,
                        target_latency_ms=1000,
                        priority=1,
                        max_staleness_ms=staleness_ms,
                        is_public=database in self.public,
                    )
                    for database, (
                        consistency,
                        staleness_ms,
                    ) in _CONSISTENCY.items()
                    if not databases or database in databases
                },
                services={
                    service: ServiceLimits(
                        service=service,
                        max_connections=16,
                        synchronous_replicas=self.synchronous_replicas,
                    )
                },
                customers=self.customers,
            )
        )

    def announce(self) -> None:
        """Announce all members in their current state."""
        self.view.merge(
            tuple(member.entry for member in self.group.members.values())
        )

    def notice(
        self,
        name: str,
        term: int,
        *,
        lease_s: float = 60,
        is_new: bool = True,
    ) -> None:
        """Tell the proxy which member is the primary, and lease it.

        Parameters
        ----------
        is_new
            Whether the term is new to the control leader.
        """
        member = self.group.member(name)
        notice = PrimaryNotice(
            service=self.group.service,
            upstream_id=member.entry.upstream_id,
            term=Term(term),
        )
        self.view.record_primaries((notice,))
        self.first_writes.record_control(
            {notice.service: notice}, (notice.service,) if is_new else ()
        )
        if lease_s:
            self.positions.extend_leases(
                (notice,), anyio.current_time() + lease_s
            )

    async def send(
        self, session: CallerSession, statement: CallerStatement
    ) -> SessionAnswer:
        """Send a statement of a caller."""
        now = anyio.current_time()
        return await self.chain(
            SessionRequest(
                session=session,
                request_id=f'request-{next(self._ids)}',
                statement=statement,
                arrived_at=now,
                arrived_at_monotonic=now,
                deadline=now + 1,
            )
        )

    def _home_share(self, entry: MemberEntry) -> ConnectionShare:
        return self.share

    def _share(self, entry: MemberEntry) -> ConnectionShare:
        return self.share


def play(scenario: Callable[[SessionFixture], Awaitable[None]]) -> None:
    """Run a scenario with a mock clock that skips waits."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            await scenario(SessionFixture(tasks=tasks))
            tasks.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))
