"""Tests of a primary that is lost right after a replica."""

import unittest

import anyio
import trio
from trio.testing import MockClock

from lavendergate.backends.sessions import MemberSession, ReportRequest
from lavendergate.controllers.members.idle_watch import IdleWatch
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.sessions.context import (
    SYSTEM_CONTEXT,
    StatementContext,
)
from lavendergate.core.sessions.statements import (
    MemberReport,
    Refused,
    ReportStatus,
    SessionAnswer,
    Statement,
)
from lavendergate.core.types import LogPosition, UpstreamId
from lavendergate.tests.takeover_fixture import (
    TakeoverFixture,
    run_scenario,
    three_members,
)
from standin.session_group import GroupDialer

_SETTLED_S = 5.0
# Longest time without a primary that a takeover needs: detection, the end of
# the leases and the order.
_TAKEOVER_S = 4.0
_ANSWER_S = 0.05


class SlowSession(MemberSession):
    """A connection to a member that takes some time to answer."""

    def __init__(self, *, session: MemberSession) -> None:
        self._session = session

    async def run(
        self,
        statement: Statement,
        *,
        request_id: str | None = None,
        after: LogPosition | None = None,
    ) -> SessionAnswer:
        """Run a statement."""
        return await self._session.run(
            statement, request_id=request_id, after=after
        )

    async def request_report(
        self, request: ReportRequest
    ) -> MemberReport | Refused:
        """Request a report, which comes late."""
        await anyio.sleep(_ANSWER_S)
        return await self._session.request_report(request)

    async def wait_until_lost(self) -> None:
        """Wait until the member crashes."""
        await self._session.wait_until_lost()

    async def close(self) -> None:
        """Close the connection."""
        await self._session.close()


class SlowDialer(GroupDialer):
    """Opens connections to members that answer slowly."""

    async def dial(
        self,
        member: MemberEntry,
        context: StatementContext = SYSTEM_CONTEXT,
    ) -> tuple[MemberSession, LogPosition | None]:
        """Open a connection."""
        session, position = await super().dial(member, context)
        return SlowSession(session=session), position


class LossesInARowTest(unittest.TestCase):
    """A replica crashes, and the primary a moment later."""

    def test_primary_is_replaced_while_the_replica_is_away(self) -> None:
        """Guards against a service that waits for a lost member's return."""
        for pause_s in (0.3, 0.6, 1.2, 1.8):

            async def scenario(
                control: TakeoverFixture, pause_s: float = pause_s
            ) -> None:
                await anyio.sleep(_SETTLED_S)
                control.group.member('c').is_down = True
                await anyio.sleep(pause_s)
                control.group.member('a').is_down = True
                lost_at = anyio.current_time()
                while not control.group.member('b').is_primary:
                    await anyio.sleep(0.05)
                    self.assertLess(anyio.current_time() - lost_at, _TAKEOVER_S)

            with self.subTest(pause_s):
                run_scenario(scenario)

    def test_member_that_closes_each_connection_is_polled_slowly(
        self,
    ) -> None:
        """Guards against a poll for each connection that ends."""

        async def scenario(control: TakeoverFixture) -> None:
            await anyio.sleep(_SETTLED_S)
            replica = control.group.member('c')
            before = replica.question_count
            for _ in range(500):
                replica.crashes += 1
                await anyio.sleep(0.01)
            self.assertLess(replica.question_count - before, 50)

        run_scenario(scenario)

    def test_requests_at_the_same_time_are_answered(self) -> None:
        """Guards against a watch that begins before a waiting request."""

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                group = three_members()
                control = TakeoverFixture(
                    tasks=tasks, group=group, dialer=SlowDialer(groups=(group,))
                )
                await anyio.sleep(_SETTLED_S)
                reports = []

                async def ask() -> None:
                    report = await control.poller.ask(
                        UpstreamId('c'), ReportStatus()
                    )
                    reports.append(report)

                began_at = anyio.current_time()
                async with anyio.create_task_group() as requests:
                    for _ in range(4):
                        requests.start_soon(ask)
                        await anyio.sleep(_ANSWER_S / 3)
                self.assertNotIn(None, reports)
                self.assertLess(anyio.current_time() - began_at, 0.5)
                tasks.cancel_scope.cancel()

        trio.run(run, clock=MockClock(autojump_threshold=0))

    def test_request_interrupts_the_watch(self) -> None:
        """Guards against a request that waits for the next poll."""

        async def scenario(control: TakeoverFixture) -> None:
            dialer = GroupDialer(groups=(control.group,))
            session, _ = await dialer.dial(
                control.group.members[UpstreamId('c')].entry
            )
            watch = IdleWatch()
            results = []

            async def watch_it() -> None:
                results.append(await watch.is_lost_within(session, 10))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch_it)
                await anyio.sleep(1)
                began_at = anyio.current_time()
                watch.interrupt()
            self.assertEqual(results, [False])
            self.assertLess(anyio.current_time() - began_at, 0.01)

        run_scenario(scenario)
