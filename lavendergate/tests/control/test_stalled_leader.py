"""Tests of a control leader whose disk does not answer, in virtual time."""

import asyncio
import threading
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, cast

import anyio
import looptime
from anyio.abc import TaskGroup

from lavendergate.controllers.control_node import ControlNode
from lavendergate.controllers.control_sync import (
    ControlSyncClient,
    SyncReceiver,
)
from lavendergate.controllers.fleet_state import FleetState
from lavendergate.controllers.leases.grants import LeaseGrants
from lavendergate.core.commands import PublishRoutes
from lavendergate.core.consensus.types import NodeId
from lavendergate.core.routes import RoutesVersion
from lavendergate.core.types import HostId
from lavendergate.observability.log import MemoryEventLog
from lavendergate.rpc.fleet_service import (
    PrimaryReachability,
    SyncReply,
    SyncRequest,
)
from lavendergate.rpc.peers import PeerCallError, PeerClient
from lavendergate.storage.memory import MemoryStorage
from lavendergate.tests.control.cluster_fixture import Cluster

_HOSTS = ('c1', 'c2', 'c3')
# Shortest bound of the deployments for a change to be in force, in seconds.
_APPLY_LIMIT_S = 3.0


class _StallingStorage(MemoryStorage):
    """Storage whose syncs can be made to wait."""

    def __init__(self, *, identity: NodeId) -> None:
        super().__init__(identity=identity)
        self._answers = threading.Event()
        self._answers.set()

    @property
    def is_blocking(self) -> bool:
        """Whether a sync waits, so that it needs a worker thread."""
        return not self._answers.is_set()

    def stall(self) -> None:
        """Let syncs wait from now on."""
        self._answers.clear()

    def recover(self) -> None:
        """Complete all syncs."""
        self._answers.set()

    def sync(self) -> None:
        """Add the buffered changes once the disk answers."""
        self._answers.wait()
        super().sync()


class _Receiver(SyncReceiver):
    """Keeps the version of the newest route table."""

    def __init__(self) -> None:
        self._version = 0

    @property
    def routes_version(self) -> int:
        """Version of the newest route table."""
        return self._version

    def primary_reach(self) -> tuple[PrimaryReachability, ...]:
        """Empty, because no primary is used."""
        return ()

    def apply(self, reply: SyncReply, sent_at: float) -> None:
        """Keep the version of a reply with a table."""
        if reply.routes is not None:
            self._version = max(self._version, reply.routes_version)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Peers:
    """Calls the fleet states of the control hosts in memory."""

    fleets: dict[str, FleetState]

    async def call(
        self, address: str, method: Any, request: Any, *, timeout_s: float
    ) -> SyncReply:
        assert isinstance(request, SyncRequest)
        with anyio.move_on_after(timeout_s):
            return await self.fleets[address].sync(request)
        raise PeerCallError(f'no answer from {address}')


class StalledLeaderTest(unittest.TestCase):
    """The other hosts elect a successor while the disk does not answer."""

    def run_cluster(
        self, scenario: Callable[[Cluster, TaskGroup], Awaitable[None]]
    ) -> None:
        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                cluster = Cluster(tasks, storage_type=_StallingStorage)
                for host_id in _HOSTS:
                    await cluster.start(host_id)
                await cluster.initialise(*_HOSTS)
                with anyio.fail_after(120):
                    await scenario(cluster, tasks)
                tasks.cancel_scope.cancel()

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(main())

    def test_stalled_leader_does_not_claim_to_lead(self) -> None:
        """Guards against a belief that lasts while nothing can renew it."""

        async def scenario(cluster: Cluster, tasks: TaskGroup) -> None:
            stalled = await cluster.leader()
            storage = _storage_of(cluster, stalled)
            storage.stall()
            try:
                tasks.start_soon(stalled.propose, _routes(1))
                await cluster.leader(apart_from=_address(stalled))
                await anyio.sleep(1)
                self.assertFalse(stalled.view.is_leader)
                self.assertFalse(stalled.view.has_quorum)
                self.assertIsNone(stalled.view.leader_address)
            finally:
                storage.recover()

        self.run_cluster(scenario)

    def test_leader_whose_disk_answers_leads_until_it_steps_down(self) -> None:
        """Guards against a view that disagrees with the node on a busy host.

        Without a wait for the disk, answers that were not handled yet may
        renew the leadership.
        """

        async def scenario(cluster: Cluster, tasks: TaskGroup) -> None:
            leader = await cluster.leader()
            cluster.isolate(_address(leader))
            # Only a node that considers itself the leader has progress.
            while leader.node_progress():
                self.assertTrue(leader.view.is_leader)
                await anyio.sleep(0.01)
            self.assertFalse(leader.view.is_leader)

        self.run_cluster(scenario)

    def test_stalled_follower_names_no_leader(self) -> None:
        """Guards against a follower that sends callers to a former leader."""

        async def scenario(cluster: Cluster, tasks: TaskGroup) -> None:
            leader = await cluster.leader()
            assert (await leader.propose(_routes(1))).is_ok()
            stalled = next(
                node for node in cluster.nodes.values() if node is not leader
            )
            await anyio.sleep(1)
            storage = _storage_of(cluster, stalled)
            storage.stall()
            try:
                assert (await leader.propose(_routes(2))).is_ok()
                await anyio.sleep(5)
                self.assertIsNone(stalled.view.leader_address)
                self.assertFalse(stalled.view.has_quorum)
            finally:
                storage.recover()

        self.run_cluster(scenario)

    def test_committed_routes_reach_proxies_while_the_former_leader_stalls(
        self,
    ) -> None:
        """Guards against proxies that keep asking the stalled host.

        They used routes that were 5 s old while its disk did not answer.
        """

        async def scenario(cluster: Cluster, tasks: TaskGroup) -> None:
            receiver = _start_proxy(cluster, tasks)
            stalled = await cluster.leader()
            assert (await stalled.propose(_routes(1))).is_ok()
            await anyio.sleep(1)
            self.assertEqual(receiver.routes_version, 1)
            storage = _storage_of(cluster, stalled)
            storage.stall()
            try:
                tasks.start_soon(stalled.propose, _routes(2))
                successor = await cluster.leader(apart_from=_address(stalled))
                assert (await successor.propose(_routes(3))).is_ok()
                await anyio.sleep(_APPLY_LIMIT_S)
                self.assertEqual(receiver.routes_version, 3)
            finally:
                storage.recover()

        self.run_cluster(scenario)


def _start_proxy(cluster: Cluster, tasks: TaskGroup) -> _Receiver:
    """Start the sync client of a proxy; return what receives its answers."""
    events = MemoryEventLog()
    fleets = {}
    for address, node in cluster.nodes.items():
        fleets[address] = FleetState(
            node=node,
            leases=LeaseGrants(
                node=node, real_clock=anyio.current_time, events=events
            ),
            source=address,
            clock=anyio.current_time,
            real_clock=anyio.current_time,
            events=events,
        )
        tasks.start_soon(fleets[address].watch_routes)
    receiver = _Receiver()
    client = ControlSyncClient(
        host_id=HostId('edge-1'),
        is_proxy=True,
        seeds=_HOSTS,
        receiver=receiver,
        peers=cast(PeerClient, _Peers(fleets=fleets)),
        events=events,
        real_clock=anyio.current_time,
    )
    tasks.start_soon(client.run)
    return receiver


def _routes(version: int) -> PublishRoutes:
    return PublishRoutes(version=RoutesVersion(version), content=b'routes')


def _address(node: ControlNode) -> str:
    return str(node.view.identity.host_id)


def _storage_of(cluster: Cluster, node: ControlNode) -> _StallingStorage:
    return cast(_StallingStorage, cluster.storage_of(node))
