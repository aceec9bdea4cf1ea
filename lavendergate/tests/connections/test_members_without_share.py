"""Tests of reads beside members at which the proxy may hold no connection."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
import trio
from anyio.abc import TaskGroup
from result import Ok
from trio.testing import MockClock

from lavendergate.backends.base import (
    MemberAddress,
    QueryResult,
    UpstreamBackend,
    UpstreamConnection,
)
from lavendergate.controllers.connections import (
    ConnectionPools,
    NoConnectionError,
)
from lavendergate.controllers.directory import Directory
from lavendergate.controllers.loads import MemberLoads
from lavendergate.controllers.primary import PrimaryConnector
from lavendergate.controllers.proxy_shares import ProxyShares
from lavendergate.controllers.read_index import GroupReadIndex
from lavendergate.controllers.retry_budgets import RetryBudgets
from lavendergate.core.classification import StatementKind
from lavendergate.core.reports import Announcement, GroupReport, MemberReport
from lavendergate.core.tokens import EMPTY_TOKEN
from lavendergate.core.types import (
    LOG_START,
    FailureDomain,
    GroupId,
    MemberRole,
    MemberStatus,
    Region,
    Term,
    UpstreamId,
)
from lavendergate.filters.base import (
    SessionState,
    StatementRequest,
    StatementResult,
)
from lavendergate.filters.route import RouteFilter
from lavendergate.rpc.messages import ShareGrant

GROUP = GroupId('glasdaten-1')
PRIMARY, REPLICA = UpstreamId('p'), UpstreamId('r')
DEADLINE_S = 2.0
LEASE_S = 3.0
Scenario = Callable[['_Proxy'], Awaitable[None]]


class _Connection(UpstreamConnection):
    """An open connection that names its member."""

    def __init__(self, port: int) -> None:
        self.port = port

    @property
    def is_usable(self) -> bool:
        return True

    @property
    def connection_id(self) -> int:
        return 1

    async def execute(self, sql: str) -> QueryResult:
        return QueryResult(rows=[])

    def abort(self) -> None:
        """Do nothing."""


class _Backend(UpstreamBackend):
    async def connect(
        self, address: MemberAddress, *, database: str, timeout_s: float
    ) -> UpstreamConnection:
        return _Connection(address.port)


class _Proxy:
    """Routing and connections of one proxy near the replica."""

    def __init__(self, tasks: TaskGroup) -> None:
        self.directory = Directory()
        self.pools = ConnectionPools(backend=_Backend(), tasks=tasks)
        self.shares = ProxyShares(pools=self.pools)
        self.route = RouteFilter(
            region=Region('near'),
            directory=self.directory,
            pools=self.pools,
            primaries=PrimaryConnector(
                directory=self.directory, pools=self.pools
            ),
            loads=MemberLoads(),
            budgets=RetryBudgets(),
            read_index=_no_read_index,
            random_number=lambda: 0,
        )
        members = {PRIMARY: 'far', REPLICA: 'near'}
        self.directory.update((_report(members),), version=1, now=0)
        for port, member in enumerate(members):
            self.pools.add(
                upstream_id=member,
                group_id=GROUP,
                address=MemberAddress(host=member, port=port),
            )

    def grant(self, **connections: int) -> None:
        """Apply grants of control, by member."""
        now = anyio.current_time()
        grants = [
            ShareGrant(
                upstream_id=UpstreamId(member),
                connections=count,
                reserved=min(count, 1),
                lease_s=LEASE_S,
            )
            for member, count in connections.items()
        ]
        self.shares.apply_grants(grants, sent_at=now, now=now)

    async def grant_after(self, delay_s: float, **connections: int) -> None:
        """Apply grants of control later."""
        await anyio.sleep(delay_s)
        self.grant(**connections)

    async def read(self) -> tuple[UpstreamId | None, float]:
        """Read once; return the member that ran it and the latency in s."""
        started_at = anyio.current_time()
        request = StatementRequest(
            session=SessionState(group_id=GROUP),
            sql='SELECT id FROM panes',
            attributes={},
            arrived_at=started_at,
            deadline=started_at + DEADLINE_S,
            kind=StatementKind.read,
            token=EMPTY_TOKEN,
        )
        await self.route.handle(request, _answer)
        return request.member, anyio.current_time() - started_at


class ReadTest(unittest.TestCase):
    """The nearest replica, where this proxy is granted no connection yet."""

    def test_primary_serves_it_meanwhile(self) -> None:
        """Guards against a read that waits in vain at a replica.

        Control grants no connection to a new member until the leases that a
        former leader may have granted there have ended, for 4.1 s.
        """

        async def scenario(proxy: _Proxy) -> None:
            proxy.grant(p=2)
            member, latency_s = await proxy.read()
            self.assertEqual(member, PRIMARY)
            self.assertLess(latency_s, 0.1)
            proxy.grant(r=1)
            member, _ = await proxy.read()
            self.assertEqual(member, REPLICA)

        _run(scenario)

    def test_first_grant_serves_it(self) -> None:
        """Guards against a read bound to the member that it waits for."""

        async def scenario(proxy: _Proxy) -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lambda: proxy.grant_after(0.5, p=2))
                member, latency_s = await proxy.read()
            self.assertEqual(member, PRIMARY)
            self.assertLess(latency_s, 0.7)

        _run(scenario)

    def test_withdrawn_share_ends_its_wait(self) -> None:
        """Guards against waiting on where control has taken the share away."""

        async def scenario(proxy: _Proxy) -> None:
            proxy.grant(p=2, r=1)
            pool = proxy.pools.get(REPLICA)
            assert pool is not None
            connection = await pool.acquire(deadline=1)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lambda: proxy.grant_after(0.5, r=0))
                member, latency_s = await proxy.read()
            pool.release(connection)
            self.assertEqual(member, PRIMARY)
            self.assertLess(latency_s, 0.7)

        _run(scenario)

    def test_refusal_says_that_no_connection_is_granted(self) -> None:
        """Guards against a message that blames other statements."""

        async def scenario(proxy: _Proxy) -> None:
            pool = proxy.pools.get(REPLICA)
            assert pool is not None
            with self.assertRaisesRegex(NoConnectionError, 'has granted none'):
                await pool.acquire(deadline=anyio.current_time() + 0.1)

        _run(scenario)


def _run(scenario: Scenario) -> None:
    """Run a scenario in virtual time."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            await scenario(_Proxy(tasks))
            tasks.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


async def _answer(request: StatementRequest) -> StatementResult:
    return Ok(QueryResult(rows=[]))


def _no_read_index(group_id: GroupId) -> GroupReadIndex:
    raise AssertionError(f'no read of {group_id} needs its read index')


def _report(regions: dict[UpstreamId, str]) -> GroupReport:
    return GroupReport(
        group_id=GROUP,
        term=Term(1),
        primary=PRIMARY,
        member_ids=frozenset(regions),
        members=tuple(
            MemberReport(announcement=_announcement(member, region), age_ms=0)
            for member, region in regions.items()
        ),
        term_history=(),
    )


def _announcement(member: UpstreamId, region: str) -> Announcement:
    return Announcement(
        upstream_id=member,
        group_id=GROUP,
        region=Region(region),
        failure_domain=FailureDomain(region),
        host=member,
        port=1,
        connection_limit=16,
        slots=2,
        leaving=False,
        incarnation='1',
        status=MemberStatus(
            promised_term=Term(1),
            last_entry=LOG_START,
            role=MemberRole.replica,
            primary_contact_ms=0,
            applied_age_ms=0,
            connections=1,
        ),
    )
