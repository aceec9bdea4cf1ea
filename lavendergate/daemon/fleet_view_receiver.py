"""Applies the sync replies of control hosts to a proxy."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from result import Err

from lavendergate.controllers.control_sync import SyncReceiver
from lavendergate.controllers.customers.registry import CustomerRegistry
from lavendergate.controllers.fleet_view import FleetView
from lavendergate.controllers.limits.owner import LimitOwner
from lavendergate.controllers.positions import PrimaryPositions
from lavendergate.controllers.promotions.first_writes import FirstWrites
from lavendergate.controllers.relays.client import RelayClient
from lavendergate.controllers.session_pools import SessionPools
from lavendergate.core.bounds.addresses import is_address
from lavendergate.core.bounds.decoding import InvalidValueError
from lavendergate.core.customers.lease import confirmation_time
from lavendergate.core.fleet_directory import MemberAvailability, MemberEntry
from lavendergate.core.leases.granting import LEASE_S
from lavendergate.core.limits.ownership import Leadership
from lavendergate.core.relays.homes import ProxyAddress
from lavendergate.core.types import FailureDomain, GroupId
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent
from lavendergate.platform.documents import decode_accepted_routes
from lavendergate.rpc.fleet_service import (
    PositionNotice,
    PrimaryNotice,
    PrimaryReachability,
    RelayOffer,
    SyncReply,
)
from lavendergate.supervision.boundary import Boundary

_REACHABILITY_WINDOW_S = 1.0
_MS_PER_S = 1000
# Control hosts, and earlier starts of them, whose published primaries are kept.
_KEPT_SOURCES = 16


@dataclass(kw_only=True, slots=True)
class _KnownProxies:
    """Live proxies by address, with the version of their source."""

    version: int = 0
    domains: dict[str, FailureDomain] = field(default_factory=dict)


class FleetViewReceiver(SyncReceiver):
    """Applies the sync replies of control hosts to a proxy.

    Parameters
    ----------
    view
        Members, primaries and routes as known to the proxy.
    pools
        Connections to members; those to departed members are closed.
    positions
        Receives the log positions that control hosts have read.
    first_writes
        Receives which terms are new to the leader.
    relays
        Receives the live proxies; None if this host uses no homes.
    offer
        Returns this host's offer to be a home, for the known version of the
        live proxies.
    customers
        Receives the proof that the customers of the route table are up to
        date; None if callers are not identified.
    limits
        Receives the live proxies and the times of the leader's answers; None
        if this host owns no limits.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        pools: SessionPools,
        positions: PrimaryPositions,
        first_writes: FirstWrites,
        relays: RelayClient | None = None,
        offer: Callable[[int], RelayOffer] | None = None,
        customers: CustomerRegistry | None = None,
        limits: LimitOwner | None = None,
        events: EventLog,
        boundary: Boundary,
    ) -> None:
        self._customers = customers
        self._limits = limits
        self._relays = relays
        self._offer = offer
        self._proxies: dict[str, _KnownProxies] = {}
        self._positions = positions
        self._first_writes = first_writes
        self._view = view
        self._pools = pools
        self._events = events
        self._boundary = boundary
        self._published: dict[str, dict[GroupId, PrimaryNotice]] = {}
        self._withheld: tuple[GroupId, ...] = ()
        self._unfollowed = frozenset[GroupId]()
        self._unreadable_version = 0

    @property
    def withheld_leases(self) -> tuple[GroupId, ...]:
        """Services that the leader did not lease in its last answer."""
        return self._withheld

    @property
    def unfollowed(self) -> tuple[GroupId, ...]:
        """Services with held writes that the leader named in its last answer.

        The leader answers at once for others, whose terms it may not know yet.
        """
        return tuple(
            service
            for service in self._first_writes.unfollowed
            if service in self._unfollowed
        )

    def relay_offer(self, source: str) -> RelayOffer | None:
        """Return the offer of this host to be the home of members."""
        known = self._proxies.get(source)
        version = 0 if known is None else known.version
        return None if self._offer is None else self._offer(version)

    @property
    def routes_version(self) -> int:
        """Version of the route table in force.

        A newer one that cannot be read counts, so that control hosts do not
        answer each request at once with the same table.
        """
        return max(self._view.routes.version, self._unreadable_version)

    def primary_reach(self) -> tuple[PrimaryReachability, ...]:
        """Return the reachability of recently used primaries."""
        reports = []
        now = anyio.current_time()
        for service in self._view.routes.services:
            primary = self._view.primary_of(service)
            link = (
                None
                if primary is None
                else self._pools.links.get(primary.upstream_id)
            )
            if primary is None or link is None:
                continue
            is_recent = now - link.answered_at <= _REACHABILITY_WINDOW_S
            # Without an answer in the whole window, one failure is enough.
            # With no report until the failure is old, the reports of the few
            # proxies that still reach the primary would decide alone.
            has_failed = link.failing_since is not None and (
                not is_recent
                or now - link.failing_since >= _REACHABILITY_WINDOW_S / 2
            )
            if is_recent or has_failed:
                reports.append(
                    PrimaryReachability(
                        service=service,
                        upstream_id=primary.upstream_id,
                        reachable=is_recent and not has_failed,
                    )
                )
        return tuple(reports)

    def apply(self, reply: SyncReply, sent_at: float) -> None:
        """Apply a sync reply of a control host."""
        if reply.is_leader:
            self._view.proxies = reply.proxies
        self._adopt_routes(reply)
        for entry in self._view.merge(reply.entries):
            self._forget_departed(entry)
        self._view.record_primaries(reply.primaries)
        published = self._published_by(reply.version.source)
        published.update({notice.service: notice for notice in reply.primaries})
        if reply.unfollowed is not None:
            self._unfollowed = frozenset(reply.unfollowed)
            self._first_writes.record_control(published, self._unfollowed)
        for notice in reply.positions:
            primary = published.get(notice.service)
            if primary is not None:
                self._positions.add(
                    notice.service,
                    primary.upstream_id,
                    notice.position,
                    sent_at - notice.age_ms / _MS_PER_S,
                )
                self._apply_proof(primary, notice, sent_at)
        if reply.is_leader:
            self._apply_leases(reply, sent_at, published)
            self._apply_proxies(reply, sent_at)
            self._renew_keys(reply, sent_at)

    def _published_by(self, source: str) -> dict[GroupId, PrimaryNotice]:
        """Return the primaries that a control host has published.

        An answer contains only the changes since the previous one of the same
        source, so they are collected.
        """
        published = self._published.pop(source, {})
        self._published[source] = published
        while len(self._published) > _KEPT_SOURCES:
            self._published.pop(next(iter(self._published)))
        return published

    def _apply_proxies(self, reply: SyncReply, sent_at: float) -> None:
        changes = reply.proxy_changes
        leadership = Leadership(
            term=reply.leader_term, previous_term=reply.previous_term
        )
        if changes is None or not changes.version or self._relays is None:
            if self._limits is not None:
                self._limits.confirm(sent_at, leadership)
            return
        source = reply.version.source
        known = self._proxies.get(source, _KnownProxies())
        for address in changes.gone:
            known.domains.pop(address, None)
        for domain, addresses in changes.live.items():
            # An odd offer on the leader must not keep the others away.
            usable = filter(is_address, addresses)
            known.domains.update(dict.fromkeys(usable, domain))
        known.version = changes.version
        # Changes of an earlier leader are not continued by the present one.
        self._proxies = {source: known}
        live_proxies = tuple(
            ProxyAddress(address=live, failure_domain=live_in)
            for live, live_in in known.domains.items()
        )
        self._relays.change_proxies(live_proxies)
        if self._limits is not None:
            self._limits.change_proxies(
                live_proxies,
                source=source,
                sent_at=sent_at,
                leadership=leadership,
            )
        self._events.emit(
            SessionEvent.proxies_changed, count=len(known.domains)
        )

    def _apply_proof(
        self, primary: PrimaryNotice, notice: PositionNotice, sent_at: float
    ) -> None:
        age_ms = notice.proved_age_ms
        if age_ms is not None:
            self._positions.record_proof(primary, sent_at - age_ms / _MS_PER_S)

    def _apply_leases(
        self,
        reply: SyncReply,
        sent_at: float,
        published: dict[GroupId, PrimaryNotice],
    ) -> None:
        self._withheld = reply.withheld
        self._positions.record_replacing(reply.replacing)
        if reply.lease_ms:
            withheld = frozenset(reply.withheld)
            self._positions.extend_leases(
                (
                    notice
                    for service, notice in published.items()
                    if service not in withheld
                ),
                sent_at + reply.lease_ms / _MS_PER_S,
            )

    def _renew_keys(self, reply: SyncReply, sent_at: float) -> None:
        """Renew the lease on the keys.

        The leader's table is at least as new as its confirmation by a
        majority. A table that could not be decoded proves nothing.
        """
        has_routes = self._view.routes.version >= reply.routes_version
        if self._customers is not None and reply.lease_ms and has_routes:
            self._customers.renew(
                confirmation_time(sent_at, reply.lease_ms / _MS_PER_S, LEASE_S)
            )

    def _adopt_routes(self, reply: SyncReply) -> None:
        if not reply.routes:
            return
        table = decode_accepted_routes(reply.routes)
        if isinstance(table, Err):
            # Unexpected, because control hosts accept only valid documents.
            self._unreadable_version = reply.routes_version
            self._boundary.report('routes', InvalidValueError(table.err_value))
            return
        if self._view.adopt_routes(table.ok_value):
            self._events.emit(
                SessionEvent.routes_in_force,
                version=table.ok_value.version,
                source=reply.version.source,
            )

    def _forget_departed(self, entry: MemberEntry) -> None:
        if entry.availability == MemberAvailability.gone:
            self._pools.remove_member(entry.upstream_id)
