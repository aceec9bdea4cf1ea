"""Keeps a host's view like that of the leader of control."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

import anyio

from lavendergate.core.types import HostId
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent
from lavendergate.rpc.fleet_service import (
    SYNC,
    FleetVersion,
    PrimaryReach,
    SyncReply,
    SyncRequest,
)
from lavendergate.rpc.peers import PeerCallError, Peers

# How long the leader holds an answer back for news, in seconds. A change
# must reach all hosts within seconds, even if a connection went silent.
# Answers carry the positions of primaries, which reads with a bound of
# 1.5 s use instead of questions of their own.
_WAIT_S = 0.6
# Time for an answer beyond the wait, in seconds. It outlasts a round trip
# between regions several times over and is shorter than the second after
# which a lost opening packet is sent again, as to a host that starts.
_ANSWER_TIMEOUT_S = 0.5
_RETRY_S = 0.1
# Pause between attempts once no host answered for a while, so that many
# proxies do not flood the hosts that start, in seconds.
_LOST_RETRY_S = 0.5
_LOST_AFTER_S = 5.0
# Hosts that are asked at the same time while none is known to answer.
_ASKED_AT_ONCE = 3
# A leader that did not answer is not asked again at once, in seconds.
_AVOID_S = 1.0


class FeedSink(ABC):
    """Takes what the leader tells."""

    @property
    @abstractmethod
    def routes_version(self) -> int:
        """Version of the route table that is held."""

    @abstractmethod
    def reach(self) -> tuple[PrimaryReach, ...]:
        """Return how the primaries are reached."""

    @abstractmethod
    def apply(self, reply: SyncReply, sent_at: float) -> None:
        """Take an answer.

        Parameters
        ----------
        sent_at
            When the request left, on the real clock. Ages in the answer
            count from then or later.
        """


class ControlFeed:
    """Asks the leader for news, or any other control host.

    Parameters
    ----------
    host_id
        This host.
    is_proxy
        Whether this host opens connections to members.
    seeds
        Addresses of some control hosts, ``ip:port``.
    sink
        Takes the answers.
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
        sink: FeedSink,
        peers: Peers,
        events: EventLog,
        real_clock: Callable[[], float],
        own_address: str = '',
    ) -> None:
        self._real_clock = real_clock
        self._own_address = own_address
        self._host_id = host_id
        self._is_proxy = is_proxy
        self._seeds = list(seeds)
        self._hosts: list[str] = []
        self._sink = sink
        self._peers = peers
        self._events = events
        self._known: dict[str, FleetVersion] = {}
        self._leader: str | None = None
        self._avoided: dict[str, float] = {}
        self._is_lost = False
        self._answered_at = float('-inf')
        self._turn = 0

    @property
    def is_lost(self) -> bool:
        """Whether no control host answered lately."""
        return self._is_lost

    def change_seeds(self, seeds: Sequence[str]) -> None:
        """Use other hosts to find the leader."""
        self._seeds = list(seeds)

    async def run(self) -> None:
        """Ask for news until cancelled."""
        self._answered_at = anyio.current_time()
        while True:
            reply = await self._ask_any(self._next_addresses())
            if reply is None or not reply.is_leader:
                await anyio.sleep(self._pause_s())

    async def _ask_any(self, addresses: Sequence[str]) -> SyncReply | None:
        """Ask all addresses at the same time; return the first answer."""
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

    def _pause_s(self) -> float:
        silent_s = anyio.current_time() - self._answered_at
        is_eager = not self._is_lost or silent_s < _LOST_AFTER_S
        return _RETRY_S if is_eager else _LOST_RETRY_S

    async def _ask(self, address: str) -> SyncReply | None:
        wait_s = _WAIT_S if address == self._leader else 0
        request = SyncRequest(
            host_id=self._host_id,
            is_proxy=self._is_proxy,
            known=self._known.get(address, FleetVersion()),
            routes_version=self._sink.routes_version,
            reach=self._sink.reach(),
            wait_s=wait_s,
        )
        sent_at = self._real_clock()
        try:
            reply = await self._peers.call(
                address, SYNC, request, timeout_s=wait_s + _ANSWER_TIMEOUT_S
            )
        except PeerCallError as error:
            self._note_failure(address, str(error))
            return None
        self._note_answer(address, reply)
        self._sink.apply(reply, sent_at)
        return reply

    def _note_failure(self, address: str, reason: str) -> None:
        self._avoided[address] = anyio.current_time() + _AVOID_S
        if address == self._leader:
            self._leader = None
        if not self._is_lost:
            self._is_lost = True
            self._events.emit(SessionEvent.control_lost, reason=reason)

    def _note_answer(self, address: str, reply: SyncReply) -> None:
        if self._is_lost:
            self._is_lost = False
            self._events.emit(SessionEvent.control_regained, address=address)
        self._answered_at = anyio.current_time()
        self._avoided.pop(address, None)
        self._known[address] = reply.version
        self._hosts = list(reply.control_hosts)
        self._leader = address if reply.is_leader else reply.leader

    def _next_addresses(self) -> Sequence[str]:
        now = anyio.current_time()
        leader = self._leader
        if leader == self._own_address:
            # This host leads itself; it has nobody to ask.
            return ()
        if leader is not None and self._avoided.get(leader, 0) <= now:
            return (leader,)
        known = sorted({*self._seeds, *self._hosts} - {self._own_address})
        usable = [
            address for address in known if self._avoided.get(address, 0) <= now
        ] or known
        self._turn += 1
        first = self._turn % max(1, len(usable))
        in_turn = usable[first:] + usable[:first]
        is_searching = self._is_lost or not self._known
        return in_turn[: _ASKED_AT_ONCE if is_searching else 1]
