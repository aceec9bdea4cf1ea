"""Tests of what a proxy concludes from the sync replies of control hosts."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
import msgspec
import trio
from trio.testing import MockClock

from lavendergate.core.control_routes import pack_routes
from lavendergate.core.types import GroupId, LogPosition, Term, UpstreamId
from lavendergate.daemon.fleet_view_receiver import FleetViewReceiver
from lavendergate.observability.log import MemoryEventLog
from lavendergate.rpc.fleet_service import (
    FleetVersion,
    PositionNotice,
    PrimaryNotice,
    SyncReply,
)
from lavendergate.supervision.boundary import Boundary
from lavendergate.tests.session_fixture import SessionFixture

Scenario = Callable[[SessionFixture, FleetViewReceiver], Awaitable[None]]


def play(scenario: Scenario) -> None:
    """Run a scenario with a proxy that has no lease yet."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            proxy = SessionFixture(tasks=tasks, lease_s=0)
            receiver = FleetViewReceiver(
                view=proxy.view,
                pools=proxy.pools,
                positions=proxy.positions,
                first_writes=proxy.first_writes,
                events=MemoryEventLog(),
                boundary=Boundary(events=MemoryEventLog()),
            )
            await anyio.sleep(10)
            await scenario(proxy, receiver)
            tasks.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


def reply(proxy: SessionFixture, **changes: object) -> SyncReply:
    """Return a reply of the leader that leases `a` in term 1."""
    notice = PrimaryNotice(
        service=proxy.group.service,
        upstream_id=proxy.group.member('a').entry.upstream_id,
        term=Term(1),
    )
    granted = SyncReply(
        version=FleetVersion(source='control-1', version=1),
        is_leader=True,
        leader=None,
        control_hosts=(),
        routes_version=0,
        routes=None,
        entries=(),
        primaries=(notice,),
        positions=(),
        proxies=1,
        lease_ms=800,
    )
    return msgspec.structs.replace(granted, **changes)


def is_leased(proxy: SessionFixture) -> bool:
    """Return whether the proxy can prove the primary at present."""
    evidence = proxy.positions.evidence(proxy.group.service)
    return evidence.is_confirmed_at(anyio.current_time())


class NewTermReplyTest(unittest.TestCase):
    """Word of the leader on new terms in sync replies."""

    def test_writes_are_held_until_the_leader_has_seen_a_follower(
        self,
    ) -> None:
        """Guards against a hold that the leader's word does not end."""

        async def scenario(
            proxy: SessionFixture, receiver: FleetViewReceiver
        ) -> None:
            service = proxy.group.service
            for member in proxy.group.members.values():
                member.is_silent = True
            notice = PrimaryNotice(
                service=service, upstream_id=UpstreamId('b'), term=Term(2)
            )
            new = reply(proxy, primaries=(notice,), unfollowed=(service,))
            receiver.apply(new, anyio.current_time())
            await anyio.sleep(0.1)
            self.assertEqual(receiver.unfollowed, (service,))
            self.assertEqual(proxy.first_writes.unfollowed, (service,))
            followed = reply(proxy, primaries=(), unfollowed=())
            receiver.apply(followed, anyio.current_time())
            self.assertEqual(proxy.first_writes.unfollowed, ())

        play(scenario)

    def test_leader_is_asked_only_for_terms_that_it_called_new(self) -> None:
        """Guards against requests in a loop about a term it does not know."""

        async def scenario(
            proxy: SessionFixture, receiver: FleetViewReceiver
        ) -> None:
            receiver.apply(reply(proxy, unfollowed=()), anyio.current_time())
            proxy.group.member('b').term = Term(1)
            proxy.notice('b', 2, lease_s=0)
            self.assertTrue(proxy.first_writes.unfollowed)
            self.assertEqual(receiver.unfollowed, ())

        play(scenario)

    def test_word_of_a_host_that_does_not_lead_is_not_needed(self) -> None:
        """Guards against a hold that a host without knowledge ends."""

        async def scenario(
            proxy: SessionFixture, receiver: FleetViewReceiver
        ) -> None:
            proxy.notice('b', 2, lease_s=0)
            receiver.apply(
                reply(proxy, is_leader=False, primaries=()),
                anyio.current_time(),
            )
            self.assertTrue(proxy.first_writes.unfollowed)

        play(scenario)


class LeaseReplyTest(unittest.TestCase):
    """Leases in sync replies."""

    def test_lease_counts_from_the_request(self) -> None:
        """Guards against a lease that a delayed reply makes longer."""

        async def scenario(
            proxy: SessionFixture, receiver: FleetViewReceiver
        ) -> None:
            sent_at = anyio.current_time()
            await anyio.sleep(0.5)
            receiver.apply(reply(proxy), sent_at)
            self.assertTrue(is_leased(proxy))
            await anyio.sleep(0.31)
            self.assertFalse(is_leased(proxy))

        play(scenario)

    def test_withheld_service_is_not_leased(self) -> None:
        """Guards against a lease on a primary that is being replaced."""

        async def scenario(
            proxy: SessionFixture, receiver: FleetViewReceiver
        ) -> None:
            withheld = (proxy.group.service,)
            receiver.apply(
                reply(proxy, withheld=withheld), anyio.current_time()
            )
            self.assertFalse(is_leased(proxy))
            self.assertEqual(receiver.withheld_leases, withheld)

        play(scenario)

    def test_host_that_does_not_lead_leases_nothing(self) -> None:
        """Guards against a lease of a host that cannot stop promotions."""

        async def scenario(
            proxy: SessionFixture, receiver: FleetViewReceiver
        ) -> None:
            receiver.apply(reply(proxy, is_leader=False), anyio.current_time())
            self.assertFalse(is_leased(proxy))

        play(scenario)

    def test_lease_concerns_the_primary_that_the_leader_knows(self) -> None:
        """Guards against a lease on a later primary the leader has not seen."""

        async def scenario(
            proxy: SessionFixture, receiver: FleetViewReceiver
        ) -> None:
            proxy.notice('b', 2, lease_s=0)
            receiver.apply(reply(proxy), anyio.current_time())
            self.assertFalse(is_leased(proxy))

        play(scenario)

    def test_primary_of_an_earlier_reply_stays_leased(self) -> None:
        """Guards against leases that end because nothing has changed."""

        async def scenario(
            proxy: SessionFixture, receiver: FleetViewReceiver
        ) -> None:
            receiver.apply(reply(proxy), anyio.current_time())
            await anyio.sleep(0.7)
            receiver.apply(reply(proxy, primaries=()), anyio.current_time())
            await anyio.sleep(0.7)
            self.assertTrue(is_leased(proxy))

        play(scenario)

    def test_proof_of_a_host_without_leader_covers_its_time_only(
        self,
    ) -> None:
        """Guards against treating a confirmation by members as a lease."""

        async def scenario(
            proxy: SessionFixture, receiver: FleetViewReceiver
        ) -> None:
            notice = PositionNotice(
                service=GroupId(proxy.group.service),
                position=LogPosition(term=Term(1), position=7),
                age_ms=300,
                proved_age_ms=200,
            )
            receiver.apply(
                reply(proxy, is_leader=False, positions=(notice,)),
                anyio.current_time(),
            )
            evidence = proxy.positions.evidence(proxy.group.service)
            now = anyio.current_time()
            self.assertTrue(evidence.is_confirmed_at(now - 0.201))
            self.assertFalse(evidence.is_confirmed_at(now - 0.199))
            sample = evidence.history.since(now - 1.5)
            assert sample is not None
            self.assertEqual(sample.position.position, 7)

        play(scenario)


class RoutesReplyTest(unittest.TestCase):
    """Route tables in sync replies."""

    def test_unreadable_table_is_not_asked_for_again_at_once(self) -> None:
        """Guards against a proxy that asks its leader without a pause.

        A control host answers a request at once while it has a newer table.
        """

        async def scenario(
            proxy: SessionFixture, receiver: FleetViewReceiver
        ) -> None:
            held = receiver.routes_version
            now = anyio.current_time()
            for odd in (b'\xff', pack_routes(b'{'), pack_routes(b'[' * 5000)):
                changed = reply(proxy, routes=odd, routes_version=held + 1)
                receiver.apply(changed, now)
                self.assertEqual(receiver.routes_version, held + 1)
                self.assertEqual(proxy.view.routes.version, held)
            table = b'{"version":%d,"routes":[],"services":[]}' % (held + 2)
            changed = reply(
                proxy, routes=pack_routes(table), routes_version=held + 2
            )
            receiver.apply(changed, now)
            self.assertEqual(proxy.view.routes.version, held + 2)

        play(scenario)


class ReachabilityTest(unittest.TestCase):
    """Reports on reaching the primary."""

    def test_proxy_that_lost_the_primary_reports_it_without_a_gap(self) -> None:
        """Guards against a lease by the few that still reach the primary.

        A proxy reported nothing between 1 s after the last answer and 0.5 s
        after the first failure. In `review/7`, the service was leased then.
        """

        async def scenario(
            proxy: SessionFixture, receiver: FleetViewReceiver
        ) -> None:
            link = proxy.pools.link(proxy.group.member('a').entry)
            link.record_answer(None, anyio.current_time())
            reports: list[bool] = []
            for step in range(20):
                await anyio.sleep(0.1)
                if step == 9:
                    link.record_failure('no answer within 1.00 s')
                reports.extend(
                    report.reachable for report in receiver.primary_reach()
                )
            self.assertEqual(reports, [True] * 10 + [False] * 10)

        play(scenario)
