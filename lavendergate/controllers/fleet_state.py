"""Fleet state of a control host, and its synchronisation to other hosts."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from lavendergate.controllers.control_node import ControlNode
from lavendergate.controllers.leases.grants import LeaseGrants
from lavendergate.controllers.relays.directory import ProxyDirectory
from lavendergate.controllers.waiters import Signal
from lavendergate.core.control_records import RoutesRecord
from lavendergate.core.departures.ledger import Departure, DepartureLedger
from lavendergate.core.fleet_directory import (
    DepartureStage,
    FleetDirectory,
    MemberAvailability,
    MemberEntry,
    contradicts,
    departed_entry,
    merge,
)
from lavendergate.core.sessions.freshness import SAMPLE_AGE_LIMIT_S
from lavendergate.core.types import (
    NO_TERM,
    GroupId,
    HostId,
    LogPosition,
    Term,
    UpstreamId,
)
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent
from lavendergate.rpc.fleet_service import (
    FleetVersion,
    MergeReply,
    MergeRequest,
    PositionNotice,
    PrimaryNotice,
    PrimaryReachability,
    ProxyChanges,
    SyncReply,
    SyncRequest,
)

# A proxy counts as live for this long after its last request, in seconds. The
# live proxies share the connections of the members.
_PROXY_LIFETIME_S = 5.0
# Time until a new leader has a request from every live proxy, in seconds.
# Proxies notice the change of leader only when a call to the former leader
# times out.
_PROXY_COUNT_DELAY_S = 1.5
_MAX_WAIT_S = 2.0
_MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class ProxyRecord:
    """Last request of a proxy.

    Parameters
    ----------
    asked_at
        Monotonic time of the request, in seconds.
    reach
        Whether the proxy can reach the primaries it uses.
    """

    asked_at: float
    reach: tuple[PrimaryReachability, ...]


class FleetState:
    """Fleet state of a control host, with versions for incremental sync.

    Each change of a member or primary gets the next version. A host that
    sends the version it holds receives only the later changes.

    Parameters
    ----------
    node
        Node of the replicated log.
    source
        Identifier of the version sequence, unique to this host and start.
        Versions of different sources are not comparable.
    clock
        Monotonic time, in seconds.
    real_clock
        Time that also passes while the host is suspended, in seconds.
    leases
        Leases on the primaries that this host grants while it leads.
    """

    def __init__(
        self,
        *,
        node: ControlNode,
        leases: LeaseGrants,
        source: str,
        clock: Callable[[], float],
        real_clock: Callable[[], float],
        events: EventLog,
    ) -> None:
        self._real_clock = real_clock
        self._node = node
        self._leases = leases
        leases.on_grant = self.notify_changed
        self._source = source
        self._clock = clock
        self._events = events
        self._directory = FleetDirectory()
        self._version = 0
        self._entry_versions: dict[UpstreamId, int] = {}
        self._primaries: dict[GroupId, PrimaryNotice] = {}
        self._primary_versions: dict[GroupId, int] = {}
        self._proxies: dict[HostId, ProxyRecord] = {}
        self._proxy_directory = ProxyDirectory(
            clock=clock, lifetime_s=_PROXY_LIFETIME_S
        )
        self._leading_since: float | None = None
        self._departures = DepartureLedger()
        # Members that announced their departure and may still run.
        self._departing: dict[GroupId, set[UpstreamId]] = {}
        self._changed = Signal()
        self._restored_routes = RoutesRecord()
        self._positions: dict[GroupId, tuple[LogPosition, float]] = {}
        self._proved_at: dict[GroupId, float] = {}
        self._primary_observers: list[Callable[[PrimaryNotice], None]] = []
        # Returns the services whose new term is not followed; None until
        # something watches the replicas.
        self.unfollowed: Callable[[], tuple[GroupId, ...]] | None = None

    @property
    def directory(self) -> FleetDirectory:
        """All members that announced themselves."""
        return self._directory

    @property
    def is_leading(self) -> bool:
        """Whether this host is the leader and has a quorum."""
        view = self._node.view
        return view.is_leader and view.has_quorum

    @property
    def knows_leader(self) -> bool:
        """Whether this host knows the leader of the control hosts."""
        return self._node.view.leader_address is not None

    @property
    def version(self) -> FleetVersion:
        """Current version of the fleet state."""
        return FleetVersion(source=self._source, version=self._version)

    @property
    def routes(self) -> RoutesRecord:
        """Newest committed route table that this host knows."""
        applied = self._node.view.state.routes
        return max(
            applied, self._restored_routes, key=lambda record: record.version
        )

    def restore(
        self, entries: tuple[MemberEntry, ...], routes: RoutesRecord
    ) -> None:
        """Restore the state that was saved before a restart.

        The saved route table was committed. It is served to hosts that have
        none or an older one until the log has been applied again.
        """
        self._restored_routes = routes
        self.merge(entries)

    def departures(self, service: GroupId) -> tuple[Departure, ...]:
        """Return the ended replicas whose commits may be missing elsewhere.

        The newest primary is not among them: its commits count as confirmed
        by others. It is among them after the next promotion.
        """
        notice = self._primaries.get(service)
        primary = None if notice is None else notice.upstream_id
        return tuple(
            departure
            for departure in self._departures.of_service(service)
            if departure.upstream_id != primary
        )

    def departing(self, service: GroupId) -> frozenset[UpstreamId]:
        """Return the members that are gone but may still run."""
        return frozenset(self._departing.get(service, ()))

    def starts(self, service: GroupId) -> frozenset[tuple[UpstreamId, int]]:
        """Return the starts of members that may run, as (id, `born`)."""
        entries = self._directory.entries
        departing = self.departing(service)
        return frozenset(
            (entry.upstream_id, entry.born)
            for entry in (
                *self._directory.members_of(service),
                *(entries[upstream_id] for upstream_id in departing),
            )
        )

    def record_end(self, entry: MemberEntry) -> None:
        """Record that a start has ended, as its address has shown.

        A later announcement of the same start revokes it.
        """
        self.merge(
            (departed_entry(entry, is_final=False, stage=DepartureStage.ended),)
        )

    def record_restart(self, entry: MemberEntry) -> None:
        """Record that a start has ended, although its id answers."""
        self._record_departure(entry)

    def lower_departure_bound(
        self, entry: MemberEntry, position: LogPosition
    ) -> None:
        """Bound a start by what the primary reported while it was absent."""
        self._departures.lower_bound(
            entry.service, entry.upstream_id, entry.born, position
        )

    def settle_departures(
        self, service: GroupId, received: LogPosition
    ) -> None:
        """Forget the ended starts whose commits are on all members.

        Parameters
        ----------
        received
            Lowest position among all members of the service.
        """
        for departure in self._departures.settle(service, received):
            entry = self._directory.entries[departure.upstream_id]
            is_gone = entry.availability == MemberAvailability.gone
            if is_gone and entry.born == departure.born:
                self.merge(
                    (
                        departed_entry(
                            entry,
                            is_final=False,
                            stage=DepartureStage.settled,
                        ),
                    )
                )

    def reachability_reports(
        self, service: GroupId
    ) -> tuple[tuple[float, PrimaryReachability], ...]:
        """Return the proxies' reports on reaching the primary of a service.

        Each report has the monotonic time of its arrival, in seconds.
        """
        return tuple(
            (record.asked_at, reach)
            for record in self._proxies.values()
            for reach in record.reach
            if reach.service == service
        )

    def merge(self, entries: tuple[MemberEntry, ...]) -> bool:
        """Merge announcements; return whether any entry changed."""
        former = self._directory.entries
        for entry in entries:
            known = former.get(entry.upstream_id)
            if known is not None and contradicts(known, entry):
                self._report_ignored(entry)
        self._directory, changed = merge(self._directory, entries)
        for entry in changed:
            self._version += 1
            self._entry_versions[entry.upstream_id] = self._version
            self._update_departures(former.get(entry.upstream_id), entry)
            self._events.emit(
                SessionEvent.member_changed,
                upstream=entry.upstream_id,
                service=entry.service,
                availability=entry.availability.value,
                address=entry.address,
                is_primary=entry.is_primary,
                born=entry.born,
                sequence=entry.sequence,
            )
        if changed:
            self._changed.notify()
        return bool(changed)

    def _report_ignored(self, entry: MemberEntry) -> None:
        self._events.emit(
            SessionEvent.announcement_ignored,
            upstream=entry.upstream_id,
            service=entry.service,
            address=entry.address,
            sequence=entry.sequence,
        )

    def _update_departures(
        self, known: MemberEntry | None, entry: MemberEntry
    ) -> None:
        if known is not None:
            self._departing.get(known.service, set()).discard(entry.upstream_id)
            if not known.is_same_instance(entry):
                self._record_departure(known)
        is_gone = entry.availability == MemberAvailability.gone
        if is_gone and entry.may_run:
            self._departing.setdefault(entry.service, set()).add(
                entry.upstream_id
            )
        elif is_gone and entry.departure == DepartureStage.ended:
            self._record_departure(entry)
        else:
            self._departures.discard(
                entry.service, entry.upstream_id, entry.born
            )

    def _record_departure(self, entry: MemberEntry) -> None:
        if entry.departure == DepartureStage.settled:
            return
        self._departures.record(
            entry.service,
            Departure(
                upstream_id=entry.upstream_id,
                born=entry.born,
                ended_at=self._real_clock(),
            ),
        )

    def last_known_primary(self, service: GroupId) -> UpstreamId | None:
        """Return the last known primary of a service, if any."""
        notice = self._primaries.get(service)
        if notice is not None:
            return notice.upstream_id
        claiming = self._directory.claimed_primary(service)
        return None if claiming is None else claiming.upstream_id

    def last_ordered_member(self, service: GroupId) -> UpstreamId | None:
        """Return the member of the last committed order, if any."""
        record = self._node.view.state.promotions.get(service)
        return None if record is None else record.upstream_id

    def newest_term(self, service: GroupId) -> Term:
        """Return the term of the newest primary that any host has seen."""
        notice = self._primaries.get(service)
        return NO_TERM if notice is None else notice.term

    def observe_primaries(
        self, observer: Callable[[PrimaryNotice], None]
    ) -> None:
        """Call an observer for each primary that is new to this host."""
        self._primary_observers.append(observer)

    def publish_primary(self, notice: PrimaryNotice) -> None:
        """Publish the primary of a service, unless its term is old."""
        known = self._primaries.get(notice.service)
        if known == notice:
            return
        if known is not None and known.term > notice.term:
            return
        self._primaries[notice.service] = notice
        self._version += 1
        self._primary_versions[notice.service] = self._version
        self._events.emit(
            SessionEvent.primary_noticed,
            upstream=notice.upstream_id,
            service=notice.service,
            term=notice.term,
        )
        for observer in self._primary_observers:
            observer(notice)
        self._changed.notify()

    def record_position(
        self, service: GroupId, position: LogPosition, asked_at: float
    ) -> None:
        """Record the position of a primary, for hosts that cannot ask it.

        Parameters
        ----------
        asked_at
            When the request was sent, on the real clock, in seconds.
        """
        self._positions[service] = (position, asked_at)
        self._departures.record_primary(service, position, asked_at)

    def record_notices(
        self, notices: tuple[PositionNotice, ...], sent_at: float
    ) -> None:
        """Use the primaries' positions that the leader sent to this host.

        After an election, this host then knows what a departed member can
        have confirmed even if the primary is lost, too.

        Parameters
        ----------
        sent_at
            When this host asked the leader, on the real clock, in seconds.
            The leader's answer came later, so the ages count from here.
        """
        for notice in notices:
            self._departures.record_primary(
                notice.service,
                notice.position,
                sent_at - notice.age_ms / _MS_PER_S,
            )

    def record_proof(self, service: GroupId, proved_at: float) -> None:
        """Record that all other members knew no newer primary at a time.

        Parameters
        ----------
        proved_at
            When the members were asked, on the real clock, in seconds.
        """
        self._proved_at[service] = proved_at

    def _position_notices(self) -> tuple[PositionNotice, ...]:
        now = self._real_clock()
        return tuple(
            PositionNotice(
                service=service,
                position=position,
                age_ms=math.ceil((now - asked_at) * _MS_PER_S),
                proved_age_ms=self._proof_age_ms(service, now),
            )
            for service, (position, asked_at) in self._positions.items()
            if now - asked_at < SAMPLE_AGE_LIMIT_S
        )

    def _proof_age_ms(self, service: GroupId, now: float) -> int | None:
        proved_at = self._proved_at.get(service)
        if proved_at is None:
            return None
        return math.ceil((now - proved_at) * _MS_PER_S)

    def handle_merge(self, request: MergeRequest) -> MergeReply:
        """Merge announcements that another control host forwarded."""
        self.merge(request.entries)
        return MergeReply(accepted=self.is_leading)

    async def sync(self, request: SyncRequest) -> SyncReply:
        """Answer a sync request once there are changes or its wait ends."""
        self._update_leadership()
        if request.is_proxy:
            self._proxies[request.host_id] = ProxyRecord(
                asked_at=self._clock(), reach=request.reach
            )
        if request.relay is not None:
            self._proxy_directory.record(request.relay)
        arrived_at = self._real_clock()
        deadline = self._clock() + min(request.wait_s, _MAX_WAIT_S)
        while not self._has_changes(request):
            remaining_s = deadline - self._clock()
            if remaining_s <= 0:
                break
            await self._changed.wait(remaining_s)
        return self._reply(request, self._real_clock() - arrived_at)

    async def watch_routes(self) -> None:
        """Answer waiting hosts when a route table is committed.

        Runs until cancelled.
        """
        version = 0
        async for view in self._node.views():
            if view.state.routes.version > version:
                version = view.state.routes.version
                self._version += 1
                self._events.emit(
                    SessionEvent.routes_published, version=version
                )
                self._changed.notify()

    def _has_changes(self, request: SyncRequest) -> bool:
        known = request.known
        return (
            known.source != self._source
            or known.version < self._version
            or request.routes_version < self.routes.version
            or any(map(self._leases.is_granted, request.withheld))
            or self._are_any_followed(request.unfollowed)
        )

    def _are_any_followed(self, services: tuple[GroupId, ...]) -> bool:
        known = self._known_unfollowed()
        return known is not None and not set(services).issubset(known)

    def _known_unfollowed(self) -> tuple[GroupId, ...] | None:
        """Return the services whose new term is not followed, if known."""
        if self.unfollowed is None or not self.is_leading:
            return None
        return self.unfollowed()

    def notify_changed(self) -> None:
        """Answer waiting requests that a change concerns."""
        self._changed.notify()

    def _reply(self, request: SyncRequest, held_s: float) -> SyncReply:
        view = self._node.view
        held_version = request.known.version
        if request.known.source != self._source:
            held_version = 0
        routes = self.routes
        is_newer = routes.version > request.routes_version
        addresses = (
            {}
            if view.configuration is None
            else view.configuration.command.addresses
        )
        return SyncReply(
            version=self.version,
            is_leader=self.is_leading,
            leader=view.leader_address,
            control_hosts=tuple(sorted(addresses.values())),
            routes_version=routes.version,
            routes=routes.content if is_newer else None,
            entries=self._entries_since(held_version),
            primaries=self._primaries_since(held_version),
            positions=self._position_notices(),
            proxies=self._live_proxy_count(),
            # The lease starts when it is granted, which is at least `held_s`
            # after the request was sent.
            lease_ms=self._lease_ms(held_s),
            withheld=self._leases.withheld(self._primaries),
            replacing=self._leases.replacing(),
            proxy_changes=self._proxy_changes(request),
            leader_term=view.term if self.is_leading else 0,
            previous_term=view.previous_term if self.is_leading else 0,
            unfollowed=self._known_unfollowed(),
        )

    def _proxy_changes(self, request: SyncRequest) -> ProxyChanges | None:
        if request.relay is None or not self.is_leading:
            return None
        is_same_source = request.known.source == self._source
        return self._proxy_directory.changes_since(
            request.relay.known_version if is_same_source else 0,
            is_complete=self._live_proxy_count() > 0,
        )

    def _lease_ms(self, held_s: float) -> int:
        lease_s = self._leases.lease_s()
        return math.floor((held_s + lease_s) * _MS_PER_S) if lease_s else 0

    def _entries_since(self, version: int) -> tuple[MemberEntry, ...]:
        if version >= self._version:
            # Most requests find no changes; skip the scan of all entries.
            return ()
        return tuple(
            entry
            for upstream_id, entry in self._directory.entries.items()
            if self._entry_versions.get(upstream_id, 0) > version
        )

    def _primaries_since(self, version: int) -> tuple[PrimaryNotice, ...]:
        if version >= self._version:
            return ()
        return tuple(
            notice
            for service, notice in self._primaries.items()
            if self._primary_versions[service] > version
        )

    def _update_leadership(self) -> None:
        # An earlier leader is known to its successors only once its first
        # entry is committed; until then it publishes no proxies.
        if not (self.is_leading and self._node.view.has_committed):
            self._leading_since = None
        elif self._leading_since is None:
            self._leading_since = self._clock()

    def _live_proxy_count(self) -> int:
        """Return the number of live proxies, or 0 while it is unknown.

        It is unknown on a follower, and on a new leader until all proxies
        had the time to send a request.
        """
        now = self._clock()
        since = self._leading_since
        if since is None or now - since < _PROXY_COUNT_DELAY_S:
            return 0
        return sum(
            now - record.asked_at <= _PROXY_LIFETIME_S
            for record in self._proxies.values()
        )
