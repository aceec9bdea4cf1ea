"""Fixture: control nodes with a network in memory."""

from random import Random

import anyio
from anyio.abc import TaskGroup, TaskStatus

from lavendergate.controllers.control_node import ControlNode
from lavendergate.controllers.driver_options import DriverOptions
from lavendergate.core.consensus.messages import Envelope
from lavendergate.core.consensus.types import NodeId
from lavendergate.core.types import HostId
from lavendergate.rpc.consensus_service import (
    ClusterInitRequest,
    ControlHost,
    ExchangeRequest,
)
from lavendergate.rpc.memory_transport import MemoryNetwork, MemoryTransport
from lavendergate.storage.memory import MemoryStorage


class Cluster:
    """Control nodes in one process; each host's address is its id."""

    def __init__(
        self,
        tasks: TaskGroup,
        *,
        storage_type: type[MemoryStorage] = MemoryStorage,
        storage_retry_s: float | None = None,
    ) -> None:
        self._storage_retry_s = storage_retry_s
        self.random = Random(11)
        self._storage_type = storage_type
        self.network = MemoryNetwork(random=self.random)
        self.nodes: dict[str, ControlNode] = {}
        self._storages: dict[str, MemoryStorage] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._tasks = tasks

    async def start(self, host_id: str, *, incarnation: str = '1') -> None:
        key = f'{host_id}/{incarnation}'
        identity = NodeId(host_id=HostId(host_id), incarnation=incarnation)
        storage = self._storages.setdefault(
            key, self._storage_type(identity=identity)
        )
        node = ControlNode(
            host_id=HostId(host_id),
            address=host_id,
            transport=MemoryTransport(network=self.network, address=host_id),
            storage=storage,
            options=DriverOptions(
                entries_per_snapshot=20,
                retained_entries=5,
                storage_retry_s=self._storage_retry_s,
            ),
            random=self.random.random,
        )

        async def handle(envelope: Envelope) -> Envelope | None:
            request = ExchangeRequest(envelope=envelope)
            return (await node.exchange(request)).envelope

        async def run(*, task_status: TaskStatus[None]) -> None:
            with anyio.CancelScope() as scope:
                self._scopes[host_id] = scope
                await node.run(task_status=task_status)

        await self._tasks.start(run)
        self.nodes[host_id] = node
        self.network.handlers[host_id] = handle

    async def stop(self, host_id: str) -> None:
        self._scopes[host_id].cancel()
        self.network.handlers.pop(host_id)
        self.nodes.pop(host_id)
        await anyio.sleep(0)

    def storage_of(self, node: ControlNode) -> MemoryStorage:
        """Return the storage of a running node."""
        identity = node.view.identity
        return self._storages[f'{identity.host_id}/{identity.incarnation}']

    def isolate(self, host_id: str) -> None:
        for other in self.nodes:
            self.network.blocked_links |= {(host_id, other), (other, host_id)}

    async def cut_outgoing(self, node: ControlNode) -> None:
        """Drop all messages of a node until it has stepped down."""
        host_id = node.view.identity.host_id
        cut = {(str(host_id), other) for other in self.nodes}
        self.network.blocked_links |= cut
        while node.view.is_leader:
            await anyio.sleep(0.05)
        self.network.blocked_links -= cut

    async def initialise(self, *host_ids: str) -> None:
        voters = tuple(host(host_id) for host_id in host_ids)
        for host_id in host_ids:
            request = ClusterInitRequest(voters=voters)
            reply = await self.nodes[host_id].initialise(request)
            assert reply.accepted, reply.problem

    async def leader(self, *, apart_from: str = '') -> ControlNode:
        while True:
            for host_id, node in self.nodes.items():
                if node.view.is_leader and host_id != apart_from:
                    return node
            await anyio.sleep(0.05)


def host(host_id: str, incarnation: str = '1') -> ControlHost:
    """Return a host of a configuration."""
    return ControlHost(
        host_id=HostId(host_id), incarnation=incarnation, address=host_id
    )
