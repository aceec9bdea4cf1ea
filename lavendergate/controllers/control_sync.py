"""Synchronises a host's fleet state with the leader of the control hosts."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

import anyio

from lavendergate.core.types import GroupId, HostId
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent
from lavendergate.rpc.fleet_service import (
    SYNC,
    FleetVersion,
    PrimaryReachability,
    RelayOffer,
    SyncReply,
    SyncRequest,
)
from lavendergate.rpc.peers import PeerCallError, PeerClient

# Maximum time that the leader delays an answer until there is a change, in
# seconds. A change must reach all hosts within seconds, even if a connection
# silently stopped delivering data. Answers carry the positions of primaries;
# reads with a staleness bound of 1.5 s use them instead of asking a member.
_LONG_POLL_S = 0.6
# Time allowed for an answer beyond the wait, in seconds. It is several times
# the round trip between regions, and shorter than the 1 s after which TCP
# retransmits a lost SYN, as happens with a host that is just starting.
_ANSWER_TIMEOUT_S = 0.5
_RETRY_S = 0.1
# Pause between attempts after no host answered for `_SLOW_RETRY_AFTER_S`,
# in seconds. It keeps many proxies from overloading control hosts that start.
_SLOW_RETRY_S = 0.5
_SLOW_RETRY_AFTER_S = 5.0
# Hosts that are asked in parallel while none is known to answer.
_PARALLEL_REQUESTS = 3
# Time for which a host that did not answer is skipped, in seconds.
_SKIP_S = 1.0
# Longest time for which a seed is skipped that no answer names as a control
# host, in seconds. The settings may name a host that has left; the time is
# doubled with each failure, and one that is added again is named in answers.
_MAX_DEPARTED_SKIP_S = 32.0


class SyncReceiver(ABC):
    """Provides the content of sync requests and applies the answers."""

    @property
    @abstractmethod
    def routes_version(self) -> int:
        """Version of the route table that this host has."""

    @property
    def is_leader(self) -> bool:
        """Whether this host is the leader itself; False on proxies."""
        return False

    @property
    def withheld_leases(self) -> tuple[GroupId, ...]:
        """Services that the leader did not lease in its last answer."""
        return ()

    @property
    def unfollowed(self) -> tuple[GroupId, ...]:
        """Services whose term the last answer of the leader called new."""
        return ()

    def relay_offer(self, source: str) -> RelayOffer | None:
        """Return the offer of this host to be the home of members.

        Parameters
        ----------
        source
            Source of the last answer of the host that is asked.

        Returns
        -------
        RelayOffer or None
            None if this host never is a home.
        """

    @abstractmethod
    def primary_reach(self) -> tuple[PrimaryReachability, ...]:
        """Return whether the primaries in use can be reached."""

    @abstractmethod
    def apply(self, reply: SyncReply, sent_at: float) -> None:
        """Apply an answer.

        Parameters
        ----------
        reply
            The changes since the version in the request.
        sent_at
            When the request was sent, on the real clock, in seconds. The
            ages in the answer were computed after this time.
        """


class ControlSyncClient:
    """Polls the leader for changes or, if none is known, other control hosts.

    Parameters
    ----------
    host_id
        Identifier of this host.
    is_proxy
        Whether this host opens connections to members.
    seeds
        Addresses of some control hosts, ``ip:port``.
    receiver
        Receives the answers.
    own_address
        Address of this host, if it is a control host itself.
    real_clock
        Time that also passes while the host is suspended, in seconds.
    """

    def __init__(
        self,
        *,
        host_id: HostId,
        is_proxy: bool,
        seeds: Sequence[str],
        receiver: SyncReceiver,
        peers: PeerClient,
        events: EventLog,
        real_clock: Callable[[], float],
        own_address: str = '',
    ) -> None:
        self._real_clock = real_clock
        self._own_address = own_address
        self._host_id = host_id
        self._is_proxy = is_proxy
        self._seeds = list(seeds)
        self._control_hosts: list[str] = []
        self._receiver = receiver
        self._peers = peers
        self._events = events
        self._known_versions: dict[str, FleetVersion] = {}
        self._leader: str | None = None
        self._followed: str | None = None
        self._skipped_until: dict[str, float] = {}
        self._departed_skips_s: dict[str, float] = {}
        self._is_lost = False
        self._answered_at = float('-inf')
        self._next_host = 0

    @property
    def is_lost(self) -> bool:
        """Whether a call failed and no control host has answered since."""
        return self._is_lost

    def change_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the hosts that are asked for the leader."""
        self._seeds = list(seeds)

    async def run(self) -> None:
        """Poll for changes until cancelled."""
        self._answered_at = anyio.current_time()
        while True:
            reply = await self._ask_any(self._next_addresses())
            if reply is None or not reply.is_leader:
                await anyio.sleep(self._retry_pause_s())

    async def _ask_any(self, addresses: Sequence[str]) -> SyncReply | None:
        """Ask all addresses in parallel; return the first answer."""
        replies: list[SyncReply] = []
        async with anyio.create_task_group() as tasks:

            async def ask(address: str) -> None:  # noqa: WPS430
                reply = await self._ask(address)
                if reply is not None:
                    replies.append(reply)
                    tasks.cancel_scope.cancel()

            for address in addresses:
                tasks.start_soon(ask, address)
        return replies[0] if replies else None

    def _retry_pause_s(self) -> float:
        silent_s = anyio.current_time() - self._answered_at
        is_recent = not self._is_lost or silent_s < _SLOW_RETRY_AFTER_S
        return _RETRY_S if is_recent else _SLOW_RETRY_S

    async def _ask(self, address: str) -> SyncReply | None:
        wait_s = _LONG_POLL_S if address == self._leader else 0
        known = self._known_versions.get(address, FleetVersion())
        request = SyncRequest(
            host_id=self._host_id,
            is_proxy=self._is_proxy,
            known=known,
            routes_version=self._receiver.routes_version,
            reach=self._receiver.primary_reach(),
            wait_s=wait_s,
            withheld=self._receiver.withheld_leases,
            relay=self._receiver.relay_offer(known.source),
            unfollowed=self._receiver.unfollowed,
        )
        sent_at = self._real_clock()
        try:
            reply = await self._peers.call(
                address, SYNC, request, timeout_s=wait_s + _ANSWER_TIMEOUT_S
            )
        except PeerCallError as error:
            self._record_failure(address, str(error))
            return None
        self._record_answer(address, reply)
        self._receiver.apply(reply, sent_at)
        # Only now, so that changes whose handling failed are asked for again.
        self._known_versions[address] = reply.version
        return reply

    def _record_failure(self, address: str, reason: str) -> None:
        self._skipped_until[address] = anyio.current_time() + self._skip_s(
            address
        )
        if address == self._leader:
            self._leader = None
        if not self._is_lost:
            self._is_lost = True
            self._events.emit(SessionEvent.control_lost, reason=reason)

    def _skip_s(self, address: str) -> float:
        """Return how long a host that did not answer is skipped."""
        if address in self._control_hosts or not self._control_hosts:
            return _SKIP_S
        skip_s = self._departed_skips_s.get(address, _SKIP_S)
        self._departed_skips_s[address] = min(2 * skip_s, _MAX_DEPARTED_SKIP_S)
        return skip_s

    def _record_answer(self, address: str, reply: SyncReply) -> None:
        if self._is_lost:
            self._is_lost = False
            self._events.emit(SessionEvent.control_regained, address=address)
        self._answered_at = anyio.current_time()
        self._skipped_until.pop(address, None)
        for named in (address, *reply.control_hosts):
            # Another host may use the address of one that has left.
            if self._departed_skips_s.pop(named, None) is not None:
                self._skipped_until.pop(named, None)
        self._control_hosts = list(reply.control_hosts)
        self._leader = address if reply.is_leader else reply.leader
        if reply.is_leader and address != self._followed:
            self._events.emit(
                SessionEvent.control_followed,
                address=address,
                former=self._followed,
                routes_version=reply.routes_version,
            )
            self._followed = address

    def _next_addresses(self) -> Sequence[str]:
        if self._receiver.is_leader:
            return ()
        now = anyio.current_time()
        # Other hosts may still name this one after it stopped leading.
        leader = None if self._leader == self._own_address else self._leader
        if leader is not None and self._skipped_until.get(leader, 0) <= now:
            return (leader,)
        addresses = sorted(
            {*self._seeds, *self._control_hosts} - {self._own_address}
        )
        usable = [
            address
            for address in addresses
            if self._skipped_until.get(address, 0) <= now
        ] or addresses
        self._next_host += 1
        first = self._next_host % max(1, len(usable))
        rotated = usable[first:] + usable[:first]
        is_searching = self._is_lost or not self._known_versions
        return rotated[: _PARALLEL_REQUESTS if is_searching else 1]
