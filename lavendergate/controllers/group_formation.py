"""Creates the control group at the first start, and adds hosts later."""

from collections.abc import Sequence

import anyio
from result import Err

from lavendergate.controllers.control_node import ControlNode
from lavendergate.core.types import HostId
from lavendergate.core.voter_changes import JoiningHost, next_configuration
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent
from lavendergate.rpc.consensus_service import (
    HOST_IDENTITY,
    ClusterInitRequest,
    ControlHost,
    HostIdentityReply,
    HostIdentityRequest,
)
from lavendergate.rpc.fleet_service import JOIN, JoinReply, JoinRequest
from lavendergate.rpc.peers import PeerCallError, PeerClient

_INTERVAL_S = 0.3
_CALL_TIMEOUT_S = 0.6
# Time for which a request to join stays valid, in seconds.
_JOIN_AGE_S = 2.0
# Time without a known leader after which a host asks to join, in seconds.
_LEADERLESS_S = 1.5


class GroupFormation:
    """Creates the control group and maintains its voters.

    Parameters
    ----------
    node
        Node of the replicated log.
    address
        Address of this host for the other control hosts, ``ip:port``.
    seeds
        Addresses of some control hosts, ``ip:port``.
    bootstrap
        Whether the whole system starts for the first time, so that the group
        may be created.
    """

    def __init__(
        self,
        *,
        node: ControlNode,
        address: str,
        seeds: Sequence[str],
        bootstrap: bool,
        peers: PeerClient,
        events: EventLog,
    ) -> None:
        self._node = node
        self._address = address
        self._seeds = tuple(seeds)
        self._bootstrap = bootstrap
        self._peers = peers
        self._events = events
        self._join_requests: dict[HostId, tuple[JoiningHost, float]] = {}
        self._leader_seen_at = float('-inf')

    def change_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the hosts that are asked for the group."""
        self._seeds = tuple(seeds)

    def join(self, request: JoinRequest) -> JoinReply:
        """Handle a request of a host to join; only the leader accepts it."""
        view = self._node.view
        if not view.is_leader:
            return JoinReply(accepted=False, leader=view.leader_address)
        host = request.host
        joiner = JoiningHost(
            host_id=host.host_id,
            incarnation=host.incarnation,
            address=host.address,
        )
        self._join_requests[host.host_id] = (joiner, anyio.current_time())
        return JoinReply(accepted=True)

    async def run(self) -> None:
        """Create, join or maintain the group until cancelled."""
        self._leader_seen_at = anyio.current_time()
        while True:
            view = self._node.view
            if view.is_leader:
                await self._maintain_voters()
            elif self._may_create_group():
                await self._create_group()
            else:
                await self._join_if_leaderless()
            await anyio.sleep(_INTERVAL_S)

    def _may_create_group(self) -> bool:
        return (
            self._bootstrap
            and self._address in self._seeds
            and not self._node.view.initialised
        )

    async def _create_group(self) -> None:
        """Write the first configuration once all seeds have answered.

        Every seed writes the same configuration, so the order does not
        matter. If a seed belongs to a group already, this host asks to join
        that group instead.
        """
        identities: dict[str, HostIdentityReply] = {}
        async with anyio.create_task_group() as tasks:
            for seed in self._seeds:
                tasks.start_soon(self._identify, seed, identities)
        if any(reply.initialised for reply in identities.values()):
            await self._request_join()
            return
        if len(identities) < len(self._seeds):
            return
        voters = tuple(
            _voter(address, reply)
            for address, reply in sorted(identities.items())
        )
        await self._node.initialise(ClusterInitRequest(voters=voters))
        names = ', '.join(voter.host_id for voter in voters)
        self._events.emit(SessionEvent.group_formed, hosts=names)

    async def _identify(
        self, seed: str, identities: dict[str, HostIdentityReply]
    ) -> None:
        if seed == self._address:
            identities[seed] = await self._node.identify(HostIdentityRequest())
            return
        try:
            identities[seed] = await self._peers.call(
                seed,
                HOST_IDENTITY,
                HostIdentityRequest(),
                timeout_s=_CALL_TIMEOUT_S,
            )
        except PeerCallError:
            # The seed is not reachable yet; it is asked again in the next
            # interval.
            return

    async def _join_if_leaderless(self) -> None:
        view = self._node.view
        now = anyio.current_time()
        configuration = view.configuration
        is_configured = (
            configuration is not None and view.identity in configuration.nodes
        )
        if view.leader_address is not None and is_configured:
            self._leader_seen_at = now
        if now - self._leader_seen_at >= _LEADERLESS_S or not view.initialised:
            await self._request_join()

    async def _request_join(self) -> None:
        identity = self._node.view.identity
        host = ControlHost(
            host_id=identity.host_id,
            incarnation=identity.incarnation,
            address=self._address,
        )
        async with anyio.create_task_group() as tasks:
            for address in self._known_hosts():
                tasks.start_soon(
                    self._send_join_request, address, JoinRequest(host=host)
                )

    def _known_hosts(self) -> set[str]:
        configuration = self._node.view.configuration
        known = set(self._seeds)
        if configuration is not None:
            known.update(configuration.command.addresses.values())
        return known - {self._address}

    async def _send_join_request(
        self, address: str, request: JoinRequest
    ) -> None:
        try:
            reply = await self._peers.call(
                address, JOIN, request, timeout_s=_CALL_TIMEOUT_S
            )
            if not reply.accepted and reply.leader is not None:
                await self._peers.call(
                    reply.leader, JOIN, request, timeout_s=_CALL_TIMEOUT_S
                )
        except PeerCallError:
            # Other hosts are asked in parallel, and all of them again in the
            # next interval.
            return

    async def _maintain_voters(self) -> None:
        configuration = self._node.view.configuration
        if configuration is None:
            return
        now = anyio.current_time()
        joiners = tuple(
            joiner
            for joiner, asked_at in self._join_requests.values()
            if now - asked_at <= _JOIN_AGE_S
        )
        change = next_configuration(
            configuration.command, self._node.node_progress(), joiners
        )
        if change is None:
            return
        changed = await self._node.propose(change)
        self._events.emit(
            SessionEvent.group_changed,
            change=str(changed.err_value)
            if isinstance(changed, Err)
            else 'committed',
            voters=tuple(sorted(change.voters)),
            learners=tuple(sorted(change.learners)),
        )


def _voter(address: str, reply: HostIdentityReply) -> ControlHost:
    return ControlHost(
        host_id=reply.host_id, incarnation=reply.incarnation, address=address
    )
