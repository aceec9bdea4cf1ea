"""Creates the control group at the first start, and adds hosts later."""

from collections.abc import Callable, Collection, Mapping, Sequence

import anyio
from result import Err, Ok

from lavendergate.controllers.control_group.silence_exchange import (
    SilenceExchange,
)
from lavendergate.controllers.control_node import ControlNode
from lavendergate.core.control_group.group_founding import (
    Founder,
    Founding,
    SeedAnswer,
)
from lavendergate.core.control_group.voter_silences import with_silences
from lavendergate.core.types import HostId
from lavendergate.core.voter_changes import (
    REPLACED_VOTER_TIMEOUT_S,
    JoiningHost,
    NodeProgress,
    next_configuration,
)
from lavendergate.core.voter_departures import (
    AnnouncedStop,
    leaving_hosts,
    without_returned,
)
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent
from lavendergate.rpc.consensus_service import (
    HOST_IDENTITY,
    ClusterInitRequest,
    ControlHost,
    HostIdentityReply,
    HostIdentityRequest,
)
from lavendergate.rpc.fleet_service import (
    JOIN,
    LEAVE,
    JoinReply,
    JoinRequest,
    LeaveReply,
    LeaveRequest,
    SilenceReport,
)
from lavendergate.rpc.peers import PeerCallError, PeerClient

_INTERVAL_S = 0.3
# Interval while the group is changing, in seconds: a further host may be lost
# until the change is complete.
_CHANGING_INTERVAL_S = 0.1
# Time after an event for which a change may follow from it, in seconds: the
# silence of a voter, an election and the steps.
_CHANGING_S = 8.0
_CALL_TIMEOUT_S = 0.6
# Answers of seeds are used together only if they came within this time, in
# seconds. A host that was frozen meanwhile could combine an answer from before
# the loss of a disk with one from after it.
_MAX_ROUND_S = 0.7
# Interval of requests to join while a host has never been a member, in seconds.
_JOIN_INTERVAL_S = 0.1
# Time for which a request to join stays valid, in seconds.
_JOIN_AGE_S = 2.0
# Time without a known leader after which a host asks to join, in seconds.
_LEADERLESS_S = 1.5
# The same after the start: two heartbeats of a leader, in seconds.
_FIRST_LEADERLESS_S = 0.5
# A replacement takes two changes, a promotion and a removal. More than a few
# in a row would point to a fault.
_MAX_SUCCESSIVE_CHANGES = 4


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
    founder
        Right of this host to create the group.
    real_clock
        Time in seconds that includes suspension of the machine.
    """

    def __init__(
        self,
        *,
        node: ControlNode,
        address: str,
        seeds: Sequence[str],
        founder: Founder,
        peers: PeerClient,
        events: EventLog,
        real_clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        self._node = node
        self._real_clock = real_clock
        self._address = address
        self._seeds = tuple(seeds)
        self._founder = founder
        self._peers = peers
        self._events = events
        self._join_requests: dict[HostId, tuple[JoiningHost, float]] = {}
        self._stops: dict[HostId, AnnouncedStop] = {}
        self._silences = SilenceExchange(
            address=address, addresses=self._group_addresses, peers=peers
        )
        # Voters in whose place this leader has promoted a learner.
        self._replaced: frozenset[HostId] = frozenset()
        self._changing_until = float('-inf')
        self._led_term: int | None = None
        self._is_leaving = False
        self._changes = anyio.Lock()
        self._leader_seen_at = float('-inf')

    def change_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the hosts that are asked for the group."""
        self._seeds = tuple(seeds)

    def join(self, request: JoinRequest) -> JoinReply:
        """Handle a request of a host to join; only the leader accepts it."""
        view = self._node.view
        host = request.host
        # A host that is stopping does not ask to join. Hosts that do not lead
        # record this, too, since each of them may be the next leader.
        self._stops.pop(host.host_id, None)
        if not view.is_leader:
            return JoinReply(accepted=False, leader=view.leader_address)
        if host.host_id not in self._join_requests:
            self._expect_changes()
        joiner = JoiningHost(
            host_id=host.host_id,
            incarnation=host.incarnation,
            address=host.address,
        )
        self._join_requests[host.host_id] = (joiner, anyio.current_time())
        return JoinReply(accepted=True)

    async def handle_leave(self, request: LeaveRequest) -> LeaveReply:
        """Record that a host stops; the leader adapts the voters at once."""
        self._record_stop(request)
        is_leader = self._node.view.is_leader
        await self._maintain_voters()
        return LeaveReply(is_leader=is_leader)

    async def handle_silences(self, request: SilenceReport) -> SilenceReport:
        """Record which hosts do not answer; see `SilenceExchange.handle`."""
        return self._silences.handle(
            request, is_leader=self._node.view.is_leader
        )

    async def leave(self) -> None:
        """Announce to all control hosts that this host stops.

        Returns once they have answered, after `_CALL_TIMEOUT_S` at most.
        """
        self._is_leaving = True
        request = LeaveRequest(host=self._own_host())
        self._record_stop(request)
        with anyio.move_on_after(_CALL_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for address in self._known_hosts():
                    tasks.start_soon(self._send_leave, address, request)
                tasks.start_soon(self._maintain_voters)

    async def run(self) -> None:
        """Create, join or maintain the group until cancelled."""
        # A host that was removed while it was stopped hears from no leader.
        self._leader_seen_at = (
            anyio.current_time() - _LEADERLESS_S + _FIRST_LEADERLESS_S
        )
        if self._node.view.configuration is not None:
            # All hosts forget the stop that an earlier run announced.
            await self._request_join()
        while True:
            await self._run_once()
            await anyio.sleep(self._interval_s())

    def _interval_s(self) -> float:
        view = self._node.view
        now = anyio.current_time()
        if not view.is_leader:
            return _INTERVAL_S if view.initialised else _JOIN_INTERVAL_S
        return (
            _CHANGING_INTERVAL_S if now < self._changing_until else _INTERVAL_S
        )

    def _expect_changes(self) -> None:
        self._changing_until = anyio.current_time() + _CHANGING_S

    async def _run_once(self) -> None:
        view = self._node.view
        if view.is_leader:
            if view.term != self._led_term:
                self._led_term = view.term
                self._expect_changes()
            if await self._silences.run_once(self._node.node_progress()):
                self._expect_changes()
            await self._maintain_voters()
        elif self._founder.seeds and not self._node.view.initialised:
            await self._create_group()
        elif not self._is_leaving:
            await self._join_if_leaderless()

    async def _create_group(self) -> None:
        """Write the first configuration if the seeds' answers allow it.

        Every seed writes the same configuration, so the order does not
        matter. If a seed belongs to a group already, this host asks to join
        that group instead.
        """
        identities: dict[str, HostIdentityReply] = {}
        began_at = self._real_clock()
        async with anyio.create_task_group() as tasks:
            for seed in self._founder.seeds:
                tasks.start_soon(self._identify, seed, identities)
        if self._real_clock() - began_at > _MAX_ROUND_S:
            return
        answers = {
            address: _answer(reply) for address, reply in identities.items()
        }
        decision = self._founder.decide(answers)
        if decision is Founding.found:
            await self._write_configuration(identities)
        elif decision is Founding.join or not self._founder.is_first_start:
            await self._request_join()

    async def _write_configuration(
        self, identities: Mapping[str, HostIdentityReply]
    ) -> None:
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

    def _own_host(self) -> ControlHost:
        identity = self._node.view.identity
        return ControlHost(
            host_id=identity.host_id,
            incarnation=identity.incarnation,
            address=self._address,
        )

    async def _request_join(self) -> None:
        host = self._own_host()
        async with anyio.create_task_group() as tasks:
            for address in self._known_hosts():
                tasks.start_soon(
                    self._send_join_request, address, JoinRequest(host=host)
                )

    def _known_hosts(self) -> set[str]:
        known = {*self._seeds, *self._group_addresses().values()}
        return known - {self._address}

    def _group_addresses(self) -> Mapping[HostId, str]:
        configuration = self._node.view.configuration
        return {} if configuration is None else configuration.command.addresses

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

    def _record_stop(self, request: LeaveRequest) -> None:
        host = request.host
        self._stops[host.host_id] = AnnouncedStop(
            incarnation=host.incarnation, announced_at=anyio.current_time()
        )
        self._events.emit(
            SessionEvent.control_stop_announced, node=host.host_id
        )

    async def _send_leave(self, address: str, request: LeaveRequest) -> None:
        try:
            await self._peers.call(
                address, LEAVE, request, timeout_s=_CALL_TIMEOUT_S
            )
        except PeerCallError:
            # The leader also finds the stop by the missing answers.
            return

    async def _maintain_voters(self) -> None:
        """Change the voters step by step, as the leader."""
        async with self._changes:
            for _ in range(_MAX_SUCCESSIVE_CHANGES):
                if not await self._change_voters():
                    return

    async def _change_voters(self) -> bool:
        """Make the next change; return whether another one may follow."""
        view = self._node.view
        if not view.is_leader or view.configuration is None:
            return False
        now = anyio.current_time()
        joiners = tuple(
            joiner
            for joiner, asked_at in self._join_requests.values()
            if now - asked_at <= _JOIN_AGE_S
        )
        progress = with_silences(
            self._node.node_progress(), self._silences.silences, now
        )
        self._stops = without_returned(self._stops, progress, now)
        change = next_configuration(
            view.configuration.command,
            progress,
            joiners,
            leaving_hosts(self._stops, progress, now)
            | _silent_hosts(progress, self._replaced),
        )
        if change is None:
            return False
        if change.voters > view.configuration.command.voters:
            self._replaced = _silent_hosts(
                progress, view.configuration.command.voters
            )
        changed = await self._node.propose(change)
        self._events.emit(
            SessionEvent.group_changed,
            change=str(changed.err_value)
            if isinstance(changed, Err)
            else 'committed',
            voters=tuple(sorted(change.voters)),
            learners=tuple(sorted(change.learners)),
        )
        return isinstance(changed, Ok)


def _answer(reply: HostIdentityReply) -> SeedAnswer:
    return SeedAnswer(
        is_initialised=reply.initialised, founding_seeds=reply.founding_seeds
    )


def _voter(address: str, reply: HostIdentityReply) -> ControlHost:
    return ControlHost(
        host_id=reply.host_id, incarnation=reply.incarnation, address=address
    )


def _silent_hosts(
    progress: Mapping[HostId, NodeProgress], hosts: Collection[HostId]
) -> frozenset[HostId]:
    """Return those of the hosts that a learner may replace."""
    return frozenset(
        host_id
        for host_id, node in progress.items()
        if host_id in hosts and node.since_answer_s >= REPLACED_VOTER_TIMEOUT_S
    )
