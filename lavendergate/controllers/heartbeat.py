"""Heartbeats of a proxy to the control hosts.

Each heartbeat is a long poll. The request carries connection demand, probe
results and announcements; the reply carries settings, group reports,
connection shares and the members to probe.
"""

import ssl
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import anyio
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from lavendergate.backends.base import MemberAddress
from lavendergate.controllers.connections import ConnectionPools
from lavendergate.controllers.directory import Directory
from lavendergate.controllers.loads import MemberLoads
from lavendergate.controllers.probes import Prober
from lavendergate.controllers.proxy_shares import ProxyShares
from lavendergate.core.settings.in_force import InForceSettings
from lavendergate.core.types import (
    FailureDomain,
    GroupId,
    HostId,
    Region,
    Term,
)
from lavendergate.observability.failover_events import FailoverEvent
from lavendergate.observability.log import EventLog
from lavendergate.observability.process_clock import ProcessClock
from lavendergate.observability.settings_events import SettingsEvent
from lavendergate.rpc.messages import HeartbeatReply, HeartbeatRequest
from lavendergate.rpc.methods import HEARTBEAT
from lavendergate.rpc.service import call, open_channel

CALL_TIMEOUT_S = 1.5
# While changes arrive, each long poll returns at once. The minimum interval
# bounds the control traffic, which may use 12 KB/s of a node.
MIN_INTERVAL_S = 0.1
RETRY_DELAY_S = 0.1

CALL_ERRORS = (GRPCError, StreamTerminatedError, OSError, TimeoutError)


@dataclass(frozen=True, kw_only=True, slots=True)
class ProxyIdentity:
    """Identity of this proxy, sent with each heartbeat."""

    host_id: HostId
    incarnation: str
    region: Region
    failure_domain: FailureDomain
    address: str


class Heartbeats:
    """Exchanges heartbeats with the control leader.

    Parameters
    ----------
    control
        Addresses of the control hosts, ``ip:port``.
    pop_announcements
        Returns the member announcements that this host received since the
        last call, to be relayed to the leader.
    tls
        TLS context for connections to the control hosts.
    """

    def __init__(
        self,
        *,
        identity: ProxyIdentity,
        control: Sequence[str],
        directory: Directory,
        pools: ConnectionPools,
        loads: MemberLoads,
        settings: InForceSettings,
        shares: ProxyShares,
        prober: Prober,
        pop_announcements: Callable[[], tuple[bytes, ...]],
        clock: ProcessClock,
        events: EventLog,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._identity = identity
        self._control = list(control)
        self._directory = directory
        self._pools = pools
        self._loads = loads
        self._settings = settings
        self._shares = shares
        self._prober = prober
        self._pop_announcements = pop_announcements
        self._clock = clock
        self._events = events
        self._tls = tls
        self._control_index = 0
        self._channels: dict[str, Channel] = {}
        self._is_draining = False
        self._exchanged = anyio.Event()
        self._last_problem: str | None = None

    def begin_drain(self) -> None:
        """Report from the next heartbeat on that the proxy is draining."""
        self._is_draining = True

    async def wait_for_exchange(self) -> None:
        """Wait for the end of the running exchange, or else of the next one."""
        await self._exchanged.wait()

    async def run(self) -> None:
        """Exchange heartbeats until cancelled."""
        try:
            while True:
                await self.exchange()
                exchanged = self._exchanged
                self._exchanged = anyio.Event()
                exchanged.set()
        finally:
            for channel in self._channels.values():
                channel.close()

    async def exchange(self) -> None:
        """Send one heartbeat and apply the reply.

        If the host does not reply, the next heartbeat goes to another host.
        """
        sent_at = anyio.current_time()
        address = self._control[self._control_index % len(self._control)]
        try:
            reply = await call(
                self._channel(address),
                HEARTBEAT,
                self._request(),
                timeout_s=CALL_TIMEOUT_S,
            )
        except CALL_ERRORS:
            self._control_index += 1
            await anyio.sleep(RETRY_DELAY_S)
            return
        self._clock.receive(reply.clock)
        self._follow_leader(address, reply)
        if reply.problem is None:
            self._apply(reply, sent_at)
        elif reply.problem != self._last_problem:
            self._last_problem = reply.problem
        pause_s = MIN_INTERVAL_S - (anyio.current_time() - sent_at)
        await anyio.sleep(max(pause_s, 0))

    def _request(self) -> HeartbeatRequest:
        identity = self._identity
        return HeartbeatRequest(
            host_id=identity.host_id,
            incarnation=identity.incarnation,
            region=identity.region,
            failure_domain=identity.failure_domain,
            address=identity.address,
            settings_version=self._settings.version,
            directory_version=self._directory.version,
            demands=self._shares.demands(anyio.current_time()),
            probes=self._prober.results(),
            suspected=self._directory.pop_suspected(),
            announcements=self._pop_announcements(),
            draining=self._is_draining,
            clock=self._clock.stamp(),
            retired=self._shares.retired(),
        )

    def _channel(self, address: str) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = open_channel(address, tls=self._tls)
            self._channels[address] = channel
        return channel

    def _follow_leader(self, address: str, reply: HeartbeatReply) -> None:
        leader = reply.leader
        if leader is None or leader == address:
            return
        if leader not in self._control:
            self._control.append(leader)
        self._control_index = self._control.index(leader)

    def _apply(self, reply: HeartbeatReply, sent_at: float) -> None:
        now = anyio.current_time()
        self._last_problem = None
        if reply.settings is not None:
            self._offer_settings(reply, now)
        if reply.groups is not None:
            terms = self._terms()
            self._directory.update(
                reply.groups, version=reply.directory_version, now=now
            )
            self._add_pools()
            self._log_new_primaries(terms)
        if reply.has_quorum:
            self._shares.clear_reported()
        self._shares.apply_grants(reply.shares, sent_at=sent_at, now=now)
        self._prober.set_targets(reply.probe)

    def _offer_settings(self, reply: HeartbeatReply, now: float) -> None:
        if reply.settings is None:
            return
        previous = self._settings.version
        self._settings.offer(reply.settings, now)
        if self._settings.version != previous:
            self._events.emit(
                SettingsEvent.settings_in_force,
                settings_version=int(self._settings.version),
                previous_version=int(previous),
            )

    def _terms(self) -> dict[GroupId, Term]:
        groups = self._directory.groups
        return {group_id: view.term for group_id, view in groups.items()}

    def _log_new_primaries(self, terms: Mapping[GroupId, Term]) -> None:
        for group_id, view in self._directory.groups.items():
            if view.primary is None or terms.get(group_id) == view.term:
                continue
            self._events.emit(
                FailoverEvent.primary_adopted,
                upstream=view.primary,
                group=group_id,
                term=int(view.term),
            )

    def _add_pools(self) -> None:
        for view in self._directory.groups.values():
            for member in view.members:
                self._pools.add(
                    upstream_id=member.upstream_id,
                    group_id=view.group_id,
                    address=MemberAddress(host=member.host, port=member.port),
                )
                self._loads.set_slots(member.upstream_id, member.slots)
