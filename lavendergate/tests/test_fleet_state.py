"""Tests of what control hosts know and tell."""

import unittest

import anyio

from lavendergate.controllers.fleet_view import FleetView
from lavendergate.core.types import HostId
from lavendergate.rpc.fleet_service import (
    FleetVersion,
    SyncReply,
    SyncRequest,
)
from lavendergate.tests.takeover_fixture import TakeoverFixture, play

_NOTHING = FleetVersion()


async def ask(
    control: TakeoverFixture,
    host: str = 'edge-1',
    known: FleetVersion = _NOTHING,
) -> SyncReply:
    """Ask for what changed, as a proxy does."""
    return await control.fleet.sync(
        SyncRequest(
            host_id=HostId(host),
            is_proxy=True,
            known=known,
            routes_version=0,
            reach=(),
            wait_s=0,
        )
    )


class SharedPositionTest(unittest.TestCase):
    """Positions that control hosts read for all proxies."""

    def test_position_is_shared_before_a_leader_is_elected(self) -> None:
        """Guards against reads that wait for the limit of connections.

        After a loss of power the primaries had no connection left for most
        proxies, for 3 s, and control hosts asked after the election only.
        """

        async def scenario(control: TakeoverFixture) -> None:
            control.node.view.is_leader = False
            await anyio.sleep(1)
            reply = await ask(control)
            self.assertEqual(len(reply.positions), 1)
            questions = [
                member.questions for member in control.group.members.values()
            ]
            self.assertGreater(questions[0], 0)
            self.assertEqual(questions[1:], [0, 0])

        play(scenario)

    def test_follower_asks_no_member(self) -> None:
        """Guards against questions of each control host."""

        async def scenario(control: TakeoverFixture) -> None:
            control.node.view.is_leader = False
            control.node.view.leader_address = '10.0.0.1:7000'
            await anyio.sleep(1)
            self.assertEqual((await ask(control)).positions, ())
            self.assertEqual(control.group.member('a').questions, 0)

        play(scenario)

    def test_position_that_serves_no_bound_is_not_sent(self) -> None:
        """Guards against answers that grow with each former leadership."""

        async def scenario(control: TakeoverFixture) -> None:
            await anyio.sleep(1)
            self.assertEqual(len((await ask(control)).positions), 1)
            control.node.view.is_leader = False
            control.node.view.leader_address = '10.0.0.1:7000'
            await anyio.sleep(11)
            self.assertEqual((await ask(control)).positions, ())

        play(scenario)


class ChangedPrimaryTest(unittest.TestCase):
    """Which primaries an answer names."""

    def test_answer_names_the_primaries_that_changed(self) -> None:
        """Guards against answers that grow with the number of services."""

        async def scenario(control: TakeoverFixture) -> None:
            await anyio.sleep(2)
            first = await ask(control)
            self.assertEqual(
                [notice.upstream_id for notice in first.primaries], ['a']
            )
            second = await ask(control, known=first.version)
            self.assertEqual(second.primaries, ())
            control.group.member('a').is_down = True
            await anyio.sleep(4)
            third = await ask(control, known=second.version)
            self.assertEqual(len(third.primaries), 1)
            self.assertNotEqual(third.primaries[0].upstream_id, 'a')

        play(scenario)

    def test_host_that_asks_another_control_host_is_told_all(self) -> None:
        """Guards against numbers of one host that are taken for another's."""

        async def scenario(control: TakeoverFixture) -> None:
            await anyio.sleep(2)
            known = FleetVersion(source='other', version=99)
            reply = await ask(control, known=known)
            self.assertEqual(len(reply.primaries), 1)
            self.assertEqual(len(reply.entries), 3)

        play(scenario)


class ProxyCountTest(unittest.TestCase):
    """How many proxies share the connections of a member."""

    def test_new_leader_counts_once_all_proxies_had_time_to_ask(self) -> None:
        """Guards against a proxy that takes all connections of a member.

        The first proxies to reach a new leader were told that they are
        alone, and left no connection for the others.
        """

        async def scenario(control: TakeoverFixture) -> None:
            self.assertEqual((await ask(control)).proxies, 0)
            await anyio.sleep(1.5)
            await ask(control, 'edge-2')
            await ask(control, 'edge-3')
            self.assertEqual((await ask(control)).proxies, 3)

        play(scenario)

    def test_count_starts_anew_with_a_leadership(self) -> None:
        """Guards against a count of a leader that few proxies can reach."""

        async def scenario(control: TakeoverFixture) -> None:
            await ask(control)
            await anyio.sleep(5)
            self.assertEqual((await ask(control)).proxies, 1)
            control.node.view.is_leader = False
            await ask(control)
            control.node.view.is_leader = True
            self.assertEqual((await ask(control)).proxies, 0)

        play(scenario)

    def test_proxy_keeps_its_number_until_it_is_told_another(self) -> None:
        """Guards against a large share after each change of the leader."""
        view = FleetView(clock=lambda: 0)
        view.proxies = 0
        self.assertIsNone(view.proxies)
        view.proxies = 9
        view.proxies = 0
        self.assertEqual(view.proxies, 9)


if __name__ == '__main__':
    unittest.main()
