"""Tests of the control role's controllers with in-memory members."""

import unittest

import anyio

from lavendergate.core.failover_types import ReportKind
from lavendergate.core.types import UpstreamId
from lavendergate.rpc.messages import StatusRequest, SwitchoverRequest
from lavendergate.tests.control_fixture import GROUP, ControlFixture


class FailoverControllerTest(unittest.TestCase):
    """Failover of one group from its first primary on."""

    def setUp(self) -> None:
        self.control = ControlFixture()

    def test_crash_leads_to_promotion_and_return_as_replica(self) -> None:
        """Guards against a group that stays without primary after a crash.

        Also against a returning primary that keeps the unacknowledged entries
        at the end of its log.
        """

        async def scenario(control: ControlFixture) -> None:
            await anyio.sleep(3)
            (old,) = control.primaries
            control.members[old].write('acknowledged')
            await anyio.sleep(1)
            control.members[old].write('tail')
            control.members[old].is_reachable = False
            await anyio.sleep(6)
            new = control.log.state.groups[GROUP].primary
            assert new is not None
            self.assertNotEqual(new, old)
            contents = [entry.content for entry in control.members[new].log]
            self.assertEqual(contents, ['acknowledged'])
            control.members[old].is_reachable = True
            await anyio.sleep(3)
            self.assertEqual(control.primaries, [new])
            self.assertEqual(len(control.members[old].log), 1)

        self.control.run(scenario)
        kinds = {report.kind for report in self.control.reports}
        self.assertIn(ReportKind.tail_truncated, kinds)

    def test_watchers_find_a_primary_that_only_proxies_cannot_reach(
        self,
    ) -> None:
        """Guards against a failover that ignores the probes of the proxies."""

        async def scenario(control: ControlFixture) -> None:
            async with anyio.create_task_group() as tasks:
                for name in ('proxy-1', 'proxy-2', 'proxy-3'):
                    tasks.start_soon(control.run_proxy, name)
                await anyio.sleep(4)
                (old,) = control.primaries
                control.members[old].is_reachable = False
                started_at = anyio.current_time()
                record = control.log.state.groups[GROUP]
                while record.primary == old:
                    await anyio.sleep(0.05)
                    record = control.log.state.groups[GROUP]
                gap_s = anyio.current_time() - started_at
                self.assertLess(gap_s, 3)
                tasks.cancel_scope.cancel()

        self.control.run(scenario)

    def test_primary_cut_off_from_control_stays_known(self) -> None:
        """Guards against expiry of a primary that proxies still reach.

        If only its announcements are lost, writes must continue.
        """

        async def scenario(control: ControlFixture) -> None:
            async with anyio.create_task_group() as tasks:
                for name in ('proxy-1', 'proxy-2', 'proxy-3'):
                    tasks.start_soon(control.run_proxy, name)
                await anyio.sleep(4)
                (old,) = control.primaries
                control.silent.add(old)
                for _ in range(20):
                    await anyio.sleep(0.5)
                    status = await control.status.status(StatusRequest())
                    (group,) = status.groups
                    self.assertEqual(group.primary, old)
                    known = {
                        one.announcement.upstream_id for one in group.members
                    }
                    self.assertIn(old, known)
                self.assertIn('does not announce', str(status.problems))
                control.members[old].is_reachable = False
                await anyio.sleep(4)
                self.assertNotEqual(
                    control.log.state.groups[GROUP].primary, old
                )
                tasks.cancel_scope.cancel()

        self.control.run(scenario)

    def test_switchover_moves_the_primary_and_loses_nothing(self) -> None:
        """Guards against promoting a target that has not caught up."""

        async def scenario(control: ControlFixture) -> None:
            await anyio.sleep(3)
            (old,) = control.primaries
            target = UpstreamId('b' if old == 'a' else 'a')
            control.members[old].write('last')
            reply = await control.status.switchover(
                SwitchoverRequest(group_id=GROUP, target=target)
            )
            self.assertTrue(reply.accepted, reply.problem)
            self.assertEqual(control.primaries, [target])
            self.assertEqual(len(control.members[target].log), 1)

        self.control.run(scenario)

    def test_leaving_primary_hands_over(self) -> None:
        """Guards against failing over only after a leaving primary stopped."""

        async def scenario(control: ControlFixture) -> None:
            await anyio.sleep(3)
            (old,) = control.primaries
            control.leaving.add(old)
            await anyio.sleep(3)
            self.assertNotIn(old, control.primaries)
            self.assertEqual(len(control.primaries), 1)

        self.control.run(scenario)

    def test_new_leader_finishes_a_promotion_in_a_new_term(self) -> None:
        """Guards against two leaders that promote in the same term."""

        async def scenario(control: ControlFixture) -> None:
            await anyio.sleep(3)
            (old,) = control.primaries
            control.members[old].is_reachable = False
            while not control.log.state.groups[GROUP].is_promoting:
                await anyio.sleep(0.01)
            begun = control.log.state.groups[GROUP].begun_term
            control.log.set_leader(is_leader=False, elsewhere='127.0.0.3:1')
            await anyio.sleep(1)
            control.log.set_leader(is_leader=True, elsewhere=None)
            await anyio.sleep(4)
            record = control.log.state.groups[GROUP]
            self.assertFalse(record.is_promoting)
            self.assertGreater(record.term, begun)

        self.control.run(scenario)


class MembershipControllerTest(unittest.TestCase):
    """Answers to announcements and heartbeats."""

    def setUp(self) -> None:
        self.control = ControlFixture()

    def test_heartbeat_waits_for_changes(self) -> None:
        """Guards against busy polling and against late delivery of changes."""

        async def scenario(control: ControlFixture) -> None:
            await anyio.sleep(2)
            reply = await control.membership.heartbeat(control.heartbeat())
            self.assertIsNotNone(reply.groups)
            newest = control.heartbeat(directory_version=2**60)
            await control.membership.heartbeat(newest)
            started_at = anyio.current_time()
            reply = await control.membership.heartbeat(newest)
            self.assertIsNone(reply.groups)
            waited_s = anyio.current_time() - started_at
            self.assertAlmostEqual(waited_s, 0.5, places=2)

        self.control.run(scenario)

    def test_non_leader_redirects_and_forwards(self) -> None:
        """Guards against announcements that a follower does not forward."""

        async def scenario(control: ControlFixture) -> None:
            control.log.set_leader(is_leader=False, elsewhere='127.0.0.3:1')
            reply = await control.membership.heartbeat(control.heartbeat())
            self.assertEqual(reply.leader, '127.0.0.3:1')
            await control.announce(control.announcement('a'))
            self.assertIn('127.0.0.3:1', control.forwarded)

        self.control.run(scenario)

    def test_duplicate_host_is_refused_and_spare_is_listed(self) -> None:
        """Guards against two proxies that use one host id unnoticed."""

        async def scenario(control: ControlFixture) -> None:
            await anyio.sleep(2)
            await control.membership.heartbeat(control.heartbeat())
            reply = await control.membership.heartbeat(
                control.heartbeat(incarnation='other', address='127.0.0.9:1')
            )
            assert reply.problem is not None
            self.assertIn('incarnation-proxy-1', reply.problem)
            self.assertIn('127.0.0.9:1', reply.problem)
            await control.announce(
                control.announcement('a', upstream_id='d', port=9)
            )
            await anyio.sleep(0.1)
            status = await control.status.status(StatusRequest())
            self.assertTrue(any('spare' in one for one in status.problems))
            self.assertIn('proxy-1', control.log.state.hosts)
            await anyio.sleep(4)
            self.assertNotIn('proxy-1', control.log.state.hosts)

        self.control.run(scenario)
