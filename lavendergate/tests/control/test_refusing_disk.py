"""Tests of control hosts whose disk refuses writes for a time."""

import asyncio
import errno
import os
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from unittest import mock

import anyio
import looptime

from lavendergate.controllers import applied_state
from lavendergate.controllers.control_node import ControlNode
from lavendergate.core.bounds.decoding import InvalidValueError
from lavendergate.core.commands import PublishRoutes
from lavendergate.core.consensus.types import ConsensusTerm, Entry, HardState
from lavendergate.core.routes import RoutesVersion
from lavendergate.core.types import HostId
from lavendergate.storage.base import UnreadableLogError, UnreadableRecordError
from lavendergate.storage.files import FileStorage
from lavendergate.supervision.error_text import leaf_errors
from lavendergate.tests.control.cluster_fixture import Cluster

_RETRY_S = 1.0


def routes(version: int) -> PublishRoutes:
    """Return a command that publishes a route table."""
    return PublishRoutes(version=RoutesVersion(version), content=b'routes')


def version_of(node: ControlNode) -> int:
    """Return the version of the routes that a node shows."""
    return node.view.state.routes.version


class RefusingDiskTest(unittest.TestCase):
    """Nodes of a cluster, some with a disk that refuses writes."""

    def run_cluster(
        self, scenario: Callable[[Cluster], Awaitable[None]]
    ) -> None:
        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                cluster = Cluster(tasks, storage_retry_s=_RETRY_S)
                for host_id in ('c1', 'c2', 'c3'):
                    await cluster.start(host_id)
                await cluster.initialise('c1', 'c2', 'c3')
                with anyio.fail_after(120):
                    await scenario(cluster)
                tasks.cancel_scope.cancel()

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(main())

    def test_leader_on_a_refusing_disk_gives_way_and_comes_back(self) -> None:
        """Guards against a leader that ends, or goes on, without its disk."""

        async def scenario(cluster: Cluster) -> None:
            refused = await cluster.leader()
            self.assertTrue((await refused.propose(routes(1))).is_ok())
            storage = cluster.storage_of(refused)
            storage.fail_after(0)
            self.assertTrue((await refused.propose(routes(2))).is_err())
            self.assertFalse(refused.view.is_leader)
            self.assertTrue((await refused.propose(routes(2))).is_err())
            own_id = str(refused.view.identity.host_id)
            leader = await cluster.leader(apart_from=own_id)
            self.assertTrue((await leader.propose(routes(3))).is_ok())
            await anyio.sleep(20)
            self.assertFalse(refused.view.is_leader)
            self.assertEqual(version_of(refused), 1)
            storage.fail_after(None)
            while version_of(refused) != 3:
                await anyio.sleep(0.1)
                self.assertGreaterEqual(version_of(refused), 1)

        self.run_cluster(scenario)

    def test_nothing_is_acknowledged_while_a_majority_refuses(self) -> None:
        """Guards against an acknowledgement that one disk holds."""

        async def scenario(cluster: Cluster) -> None:
            leader = await cluster.leader()
            self.assertTrue((await leader.propose(routes(1))).is_ok())
            nodes = tuple(cluster.nodes.values())
            for node in nodes:
                if node is not leader:
                    cluster.storage_of(node).fail_after(0)
            self.assertTrue((await leader.propose(routes(2))).is_err())
            await anyio.sleep(10)
            for node in nodes:
                self.assertFalse(node.view.is_leader)
                cluster.storage_of(node).fail_after(None)
            leader = await cluster.leader()
            self.assertTrue((await leader.propose(routes(3))).is_ok())

        self.run_cluster(scenario)

    def test_every_write_of_every_host_may_be_refused(self) -> None:
        """Guards against state in memory that the disk does not hold."""

        async def scenario(cluster: Cluster) -> None:
            acknowledged = 0
            for number in range(1, 40):
                nodes = list(cluster.nodes.values())
                storage = cluster.storage_of(nodes[number % 3])
                storage.fail_after(number % 4)
                leader = await cluster.leader()
                if (await leader.propose(routes(number))).is_ok():
                    acknowledged = number
                storage.fail_after(None)
            await anyio.sleep(5)
            leader = await cluster.leader()
            self.assertTrue((await leader.propose(routes(100))).is_ok())
            self.assertGreater(acknowledged, 0)
            for host_id in ('c1', 'c2', 'c3'):
                await cluster.stop(host_id)
                await cluster.start(host_id)
            leader = await cluster.leader()
            self.assertTrue((await leader.read_state()).is_ok())
            self.assertEqual(version_of(leader), 100)

        self.run_cluster(scenario)


class UnreadableLogTest(unittest.TestCase):
    """Errors of the content of a log, which its disk does not cause."""

    def assert_ends(
        self, scenario: Callable[[Cluster, ControlNode], Awaitable[None]]
    ) -> None:
        """Expect that a node names the entry that it cannot read, and ends."""

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                cluster = Cluster(tasks, storage_retry_s=_RETRY_S)
                await cluster.start('c1')
                await cluster.initialise('c1')
                leader = await cluster.leader()
                with anyio.fail_after(30):
                    await scenario(cluster, leader)
                    await anyio.sleep_forever()

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            with self.assertRaises(ExceptionGroup) as ended:
                runner.run(main())
        (error,) = leaf_errors(ended.exception)
        self.assertIsInstance(
            error, (UnreadableLogError, UnreadableRecordError)
        )
        self.assertRegex(str(error), 'cannot read .* Keep the data')

    def test_entry_that_cannot_be_applied_ends_the_node(self) -> None:
        """Guards against a host that never follows again, silently."""
        decode = mock.patch.object(
            applied_state,
            'decode_command',
            side_effect=InvalidValueError('odd'),
        )

        async def scenario(cluster: Cluster, leader: ControlNode) -> None:
            self.enterContext(decode)
            await leader.propose(routes(1))

        self.assert_ends(scenario)

    def test_unreadable_entry_after_a_refused_write_ends_the_node(
        self,
    ) -> None:
        """Guards against a log that is read again without an end."""

        async def scenario(cluster: Cluster, leader: ControlNode) -> None:
            storage = cluster.storage_of(leader)
            storage.fail_after(0)
            self.assertTrue((await leader.propose(routes(1))).is_err())
            storage.fail_after(None)
            index = leader.view.state.applied_index + 1
            storage.append(
                (Entry(index=index, term=ConsensusTerm(9), payload=b'\xc1'),)
            )
            storage.sync()

        self.assert_ends(scenario)

    def test_unreadable_record_after_a_refused_write_ends_the_node(
        self,
    ) -> None:
        """Guards against a file that is read again without an end."""

        async def scenario(cluster: Cluster, leader: ControlNode) -> None:
            storage = cluster.storage_of(leader)
            storage.fail_after(0)
            error = UnreadableRecordError(path='log', offset=0, reason='odd')
            self.enterContext(
                mock.patch.object(storage, 'reload', side_effect=error)
            )
            await leader.propose(routes(1))

        self.assert_ends(scenario)


class ReloadTest(unittest.TestCase):
    """Files that are read again after a failed write."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.directory = Path(folder.name) / 'log'
        self.storage = FileStorage(
            directory=self.directory, host_id=HostId('c1')
        )
        self.addCleanup(self.storage.close)
        self.storage.load()
        self.append(1)

    def append(self, index: int) -> None:
        entry = Entry(index=index, term=ConsensusTerm(1), payload=b'payload')
        self.storage.append((entry,))
        self.storage.sync()

    def test_log_whose_sync_failed_is_written_to_a_new_file(self) -> None:
        """Guards against records that only the page cache holds."""
        before = (self.directory / 'log').stat().st_ino
        failed = OSError(errno.EIO, 'simulated')
        with mock.patch.object(os, 'fdatasync', side_effect=failed):
            with self.assertRaises(OSError):
                self.append(2)
        stored = self.storage.reload()
        self.assertNotEqual((self.directory / 'log').stat().st_ino, before)
        self.assertEqual(stored.log.last.index, 2)
        self.append(3)
        self.assertEqual(self.storage.reload().log.last.index, 3)

    def test_record_that_a_full_disk_cut_is_dropped(self) -> None:
        """Guards against a log that a full disk makes unreadable."""
        write = os.write
        calls = 0

        def fill(descriptor: int, data: bytes) -> int:
            nonlocal calls
            calls += 1
            if calls == 1:
                return write(descriptor, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, 'simulated')

        with mock.patch.object(os, 'write', side_effect=fill):
            with self.assertRaises(OSError):
                self.append(2)
            with self.assertRaises(OSError):
                self.storage.reload()
        stored = self.storage.reload()
        self.assertEqual(stored.log.last.index, 1)

    def test_buffered_changes_are_not_written_after_a_failure(self) -> None:
        """Guards against a vote that follows changes which were lost."""
        self.storage.save_hard_state(HardState(term=ConsensusTerm(9)))
        stored = self.storage.reload()
        self.storage.sync()
        self.assertEqual(
            stored.hard_state.term, self.storage.reload().hard_state.term
        )
        self.assertNotEqual(stored.hard_state.term, 9)


if __name__ == '__main__':
    unittest.main()
