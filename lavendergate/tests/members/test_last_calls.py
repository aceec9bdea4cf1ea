"""Tests of the last calls of members to a control host."""

import unittest
from types import SimpleNamespace
from typing import cast

import anyio
import msgspec
from anyio.abc import TaskGroup

from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.types import UpstreamId
from lavendergate.daemon.control_operations import ControlOperations
from lavendergate.daemon.hosted_control import HostedControl
from lavendergate.daemon.hosted_process import HostedProcess
from lavendergate.tests.takeover_fixture import TakeoverFixture, run_scenario

C = UpstreamId('c')


class ControlHost:
    """Operations of one control host, and what it sends to the leader."""

    def __init__(self, control: TakeoverFixture) -> None:
        self.forwarded: list[MemberEntry] = []
        self.is_reached = True
        settings = SimpleNamespace(
            cloud_api=SimpleNamespace(address='127.0.0.1:1'),
            node_name='control-1',
        )
        self.operations = ControlOperations(
            control=cast(
                HostedControl,
                SimpleNamespace(
                    node=control.node,
                    fleet=control.fleet,
                    poller=control.poller,
                    leases=control.leases,
                    forward_entries=self.forward,
                ),
            ),
            process=cast(
                HostedProcess,
                SimpleNamespace(
                    settings=settings,
                    boundary=control.boundary,
                    end=SimpleNamespace(started_at=0.0, previous=None),
                    events=control.events,
                ),
            ),
            tasks=cast(TaskGroup, None),
        )

    async def forward(self, entries: tuple[MemberEntry, ...]) -> bool:
        """Record the entries; return whether the leader was reached."""
        await anyio.lowlevel.checkpoint()
        self.forwarded.extend(entries)
        return self.is_reached


class LastCallTest(unittest.TestCase):
    """DELETE of a member, with and without its start."""

    def test_late_call_of_the_former_start_leaves_the_next_one(self) -> None:
        """Guards against a start that confirms commits and counts as gone."""

        async def scenario(control: TakeoverFixture) -> None:
            host = ControlHost(control)
            second = msgspec.structs.replace(
                control.group.member('c').entry, born=9, sequence=1
            )
            control.fleet.merge((second,))
            self.assertTrue(await host.operations.remove_member(C, 1))
            self.assertEqual(control.fleet.directory.member(C), second)

        run_scenario(scenario)

    def test_call_without_a_start_needs_a_member_that_drains(self) -> None:
        """Guards against a late call that removes a member that stays."""

        async def scenario(control: TakeoverFixture) -> None:
            host = ControlHost(control)
            self.assertFalse(await host.operations.remove_member(C, None))
            self.assertIsNotNone(control.fleet.directory.member(C))
            control.start_leaving('c')
            self.assertTrue(await host.operations.remove_member(C, None))
            self.assertIsNone(control.fleet.directory.member(C))
            # The answer was lost, and the member calls again.
            self.assertTrue(await host.operations.remove_member(C, None))

        run_scenario(scenario)

    def test_call_that_the_leader_did_not_get_is_passed_on_again(self) -> None:
        """Guards against an acknowledged departure that the leader misses."""

        async def scenario(control: TakeoverFixture) -> None:
            host = ControlHost(control)
            control.node.view.is_leader = False
            host.is_reached = False
            self.assertFalse(await host.operations.remove_member(C, 1))
            host.is_reached = True
            self.assertTrue(await host.operations.remove_member(C, 1))
            self.assertEqual(len(host.forwarded), 2)

        run_scenario(scenario)

    def test_unknown_member_is_left_to_hosts_that_may_know_it(self) -> None:
        """Guards against a departure that only a new control host knows."""

        async def scenario(control: TakeoverFixture) -> None:
            host = ControlHost(control)
            other = UpstreamId('other')
            self.assertTrue(await host.operations.remove_member(other, 1))
            control.node.view.is_leader = False
            self.assertFalse(await host.operations.remove_member(other, 1))

        run_scenario(scenario)


if __name__ == '__main__':
    unittest.main()
