"""Tests of the report of how many losses the control group bears."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

import anyio
import looptime

from lavendergate.controllers.tolerance_watch import ToleranceWatch
from lavendergate.core.commands import ChangeVoters
from lavendergate.core.loss_tolerance import loss_tolerance
from lavendergate.core.types import HostId
from lavendergate.core.voter_changes import NodeProgress
from lavendergate.observability.log import MemoryEventLog
from lavendergate.observability.session_events import SessionEvent
from lavendergate.tests.control.cluster_fixture import Cluster


class LossToleranceTest(unittest.TestCase):
    """A group of four of which one host has left."""

    def test_departed_voter_lowers_the_tolerance(self) -> None:
        """Guards against a group of which nobody sees that it bears nothing."""
        names = frozenset(HostId(name) for name in 'abcd')
        group = ChangeVoters(
            voters=names,
            learners=frozenset(),
            addresses=dict.fromkeys(names, ''),
            incarnations=dict.fromkeys(names, '1'),
        )
        for silent, borne, possible in (('', 1, 1), ('b', 0, 1), ('bc', 0, 0)):
            progress = {
                name: NodeProgress(
                    incarnation='1',
                    since_answer_s=9 if name in silent else 0,
                    missing_entries=0,
                )
                for name in names - {'a'}
            }
            tolerance = loss_tolerance(group, progress)
            self.assertEqual(tolerance.borne, borne)
            self.assertEqual(tolerance.possible, possible)
            self.assertEqual(tolerance.missing, tuple(silent))

    def test_missing_voter_is_reported_once_and_its_return_too(self) -> None:
        """Guards against a warning without the name, and a flood of them."""

        async def scenario(cluster: Cluster) -> None:
            leader = await cluster.leader()
            events = MemoryEventLog()
            watch = ToleranceWatch(node=leader, events=events)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch.run)
                missing = next(
                    host_id
                    for host_id, node in cluster.nodes.items()
                    if node is not leader
                )
                await cluster.stop(missing)
                await anyio.sleep(10)
                await cluster.start(missing)
                await anyio.sleep(5)
                tasks.cancel_scope.cancel()
            numbers = [emitted.event for emitted in events.occurrences]
            self.assertEqual(
                numbers,
                [
                    SessionEvent.control_tolerance_reduced,
                    SessionEvent.control_tolerance_regained,
                ],
            )
            self.assertEqual(events.occurrences[0].fields['missing'], missing)

        self.run_cluster(scenario)

    def run_cluster(
        self, scenario: Callable[[Cluster], Awaitable[None]]
    ) -> None:
        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                cluster = Cluster(tasks)
                for host_id in 'abcd':
                    await cluster.start(host_id)
                await cluster.initialise(*'abcd')
                with anyio.fail_after(60):
                    await scenario(cluster)
                tasks.cancel_scope.cancel()

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(main())
