"""Tests of control nodes with a network in memory, in virtual time."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import anyio
import looptime
from result import Err, Ok

from lavendergate.controllers.control_node import ControlNode
from lavendergate.core.commands import (
    BeginTerm,
    ChangeSettings,
    RegisterMember,
    SettingChange,
)
from lavendergate.core.consensus.errors import NoQuorum, NotLeader
from lavendergate.core.consensus.types import NodeId
from lavendergate.core.types import (
    GroupId,
    HostId,
    SettingsVersion,
    Term,
    UpstreamId,
)
from lavendergate.rpc.consensus_service import (
    ClusterInitRequest,
    ClusterReplaceRequest,
)
from lavendergate.rpc.memory_transport import (
    LinkFaults,
    MemoryNetwork,
    MemoryTransport,
)
from lavendergate.storage.base import StorageError
from lavendergate.storage.memory import MemoryStorage
from lavendergate.tests.control.cluster_fixture import Cluster, host

_GROUP = GroupId('dispatch-db-1')


def register(upstream_id: str) -> RegisterMember:
    """Return a command that adds a member to the test's group."""
    return RegisterMember(group_id=_GROUP, upstream_id=UpstreamId(upstream_id))


def change(number: int) -> ChangeSettings:
    """Return the change that makes version ``number + 1``."""
    limit = SettingChange(path='/', key='queue.limit', value=number)
    return ChangeSettings(
        operation_id=f'operation-{number}',
        base_version=SettingsVersion(number),
        author='anna',
        changes=(limit,),
    )


class ControlNodeTest(unittest.TestCase):
    """Nodes of a cluster with their drivers."""

    def run_cluster(
        self, scenario: Callable[[Cluster], Awaitable[None]]
    ) -> None:
        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                cluster = Cluster(tasks)
                for host_id in ('c1', 'c2', 'c3', 'c4'):
                    await cluster.start(host_id)
                await cluster.initialise('c1', 'c2', 'c3')
                with anyio.fail_after(120):
                    await scenario(cluster)
                tasks.cancel_scope.cancel()

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(main())

    def test_answer_comes_from_the_committed_command(self) -> None:
        """Guards against answers before the commit, or of another command."""

        async def scenario(cluster: Cluster) -> None:
            leader = await cluster.leader()
            accepted = await leader.propose(register('u1'))
            refused = await leader.propose(
                BeginTerm(group_id=_GROUP, term=Term(5), reason='test')
            )
            assert isinstance(accepted, Ok)
            assert isinstance(refused, Ok)
            self.assertTrue(accepted.ok_value.accepted)
            self.assertFalse(refused.ok_value.accepted)
            read = await leader.read_state()
            assert isinstance(read, Ok)
            self.assertIn('u1', read.ok_value.groups[_GROUP].member_ids)

        self.run_cluster(scenario)

    def test_isolated_leader_steps_down_and_answers_unknown(self) -> None:
        """Guards against stale reads and lost writes on an isolated leader.

        Its callers must get an answer, too.
        """

        async def scenario(cluster: Cluster) -> None:
            leader = await cluster.leader()
            host_id = leader.view.identity.host_id
            cluster.isolate(host_id)
            proposed = await leader.propose(register('u1'))
            self.assertEqual(proposed, Err(NoQuorum(may_commit=True)))
            self.assertFalse(leader.view.is_leader)
            self.assertIsInstance((await leader.read_state()).err(), NotLeader)
            successor = await cluster.leader(apart_from=host_id)
            self.assertTrue((await successor.propose(register('u2'))).is_ok())

        self.run_cluster(scenario)

    def test_leader_names_the_last_leader_that_committed(self) -> None:
        """Guards against a leader in between of whom proxies are not told."""

        async def scenario(cluster: Cluster) -> None:
            former = await cluster.leader()
            (await former.propose(register('m1'))).unwrap()
            former_id, former_term = (
                former.view.identity.host_id,
                former.view.term,
            )
            self.assertTrue(former.view.has_committed)
            await cluster.cut_outgoing(former)
            self.assertFalse(former.view.has_committed)
            successor = await cluster.leader(apart_from=former_id)
            (await successor.propose(register('m2'))).unwrap()
            self.assertTrue(successor.view.has_committed)
            self.assertGreater(successor.view.term, former_term)
            self.assertEqual(successor.view.previous_term, former_term)

        self.run_cluster(scenario)

    def test_state_survives_restart_of_all_nodes(self) -> None:
        """Guards against loss of commands from the snapshot or the log."""

        async def scenario(cluster: Cluster) -> None:
            leader = await cluster.leader()
            for number in range(50):
                assert (await leader.propose(register(f'u{number}'))).is_ok()
            for host_id in ('c1', 'c2', 'c3'):
                await cluster.stop(host_id)
            for host_id in ('c1', 'c2', 'c3'):
                await cluster.start(host_id)
            leader = await cluster.leader()
            read = await leader.read_state()
            assert isinstance(read, Ok)
            self.assertEqual(len(read.ok_value.groups[_GROUP].member_ids), 50)

        self.run_cluster(scenario)

    def test_replaced_host_catches_up_from_a_snapshot(self) -> None:
        """Guards against a new voter that counts without having the log.

        No command may be lost if a second host fails after the replacement.
        """

        async def scenario(cluster: Cluster) -> None:
            leader = await cluster.leader()
            old, lost = sorted(
                {'c1', 'c2', 'c3'} - {leader.view.identity.host_id}
            )
            await cluster.stop(old)
            for number in range(50):
                assert (await leader.propose(register(f'u{number}'))).is_ok()
            reply = await leader.replace(
                ClusterReplaceRequest(
                    old_host_id=HostId(old), new_host=host('c4')
                )
            )
            self.assertTrue(reply.accepted, reply.problem)
            await cluster.stop(lost)
            assert (await leader.propose(register('last'))).is_ok()
            members = cluster.nodes['c4'].view.state.groups[_GROUP].member_ids
            self.assertGreaterEqual(len(members), 50)

        self.run_cluster(scenario)

    def test_resent_changes_take_effect_once(self) -> None:
        """Guards against a change that is lost or applied twice on a retry.

        Messages are delayed, reordered, dropped and duplicated, and the
        messages of the leader are dropped once during the test.
        """

        async def scenario(cluster: Cluster) -> None:
            cluster.network.faults = LinkFaults(
                delay_s=(0, 0.05),
                drop_probability=0.05,
                duplicate_probability=0.05,
            )
            for number in range(30):
                if number == 15:
                    leader = await cluster.leader()
                    await cluster.cut_outgoing(leader)
                accepted = False
                while not accepted:
                    leader = await cluster.leader()
                    proposed = await leader.propose(change(number))
                    accepted = proposed.is_ok() and proposed.unwrap().accepted
            read = await (await cluster.leader()).read_state()
            self.assertEqual(read.unwrap().document.version, 30)

        self.run_cluster(scenario)

    def test_command_that_raises_is_not_appended(self) -> None:
        """Guards against an entry that crashes every host at each start."""

        async def scenario(cluster: Cluster) -> None:
            leader = await cluster.leader()
            untyped: Any = []
            broken = ChangeSettings(
                operation_id='broken',
                base_version=SettingsVersion(0),
                author='anna',
                changes=(SettingChange(path='/', key=untyped, value=1),),
            )
            with self.assertRaises(TypeError):
                await leader.propose(broken)
            self.assertTrue((await leader.propose(change(0))).is_ok())

        self.run_cluster(scenario)

    def test_node_stops_after_a_failed_write(self) -> None:
        """Guards against a node that continues with unknown durable state."""

        async def main() -> None:
            identity = NodeId(host_id=HostId('c1'), incarnation='1')
            storage = MemoryStorage(identity=identity)
            network = MemoryNetwork(random=Random(1))
            node = ControlNode(
                host_id=HostId('c1'),
                address='c1',
                transport=MemoryTransport(network=network, address='c1'),
                storage=storage,
            )
            async with anyio.create_task_group() as tasks:
                await tasks.start(node.run)
                storage.fail_after(1)
                await node.initialise(ClusterInitRequest(voters=(host('c1'),)))

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            with self.assertRaises(ExceptionGroup) as caught:
                runner.run(main())
        self.assertIsNotNone(caught.exception.subgroup(StorageError))

    def test_host_with_an_empty_disk_does_not_count(self) -> None:
        """Guards against a host that votes after it lost its disk.

        With one wiped and one failed host, no leader may be elected.
        """

        async def scenario(cluster: Cluster) -> None:
            leader = await cluster.leader()
            lost = leader.view.identity.host_id
            survivor, wiped = sorted({'c1', 'c2', 'c3'} - {lost})
            await cluster.stop(wiped)
            assert (await leader.propose(register('u1'))).is_ok()
            await cluster.start(wiped, incarnation='2')
            await cluster.stop(lost)
            await anyio.sleep(20)
            self.assertFalse(cluster.nodes[survivor].view.is_leader)
            self.assertFalse(cluster.nodes[wiped].view.initialised)

        self.run_cluster(scenario)
