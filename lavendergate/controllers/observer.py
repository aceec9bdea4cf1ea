"""Directory of hosts and members, and suspicion of primaries, on the leader."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from result import Result

from lavendergate.controllers.group_settings import (
    announcement_timeout_s,
    failover_settings,
)
from lavendergate.controllers.log_port import LogState
from lavendergate.core.directory import ANNOUNCEMENT_EXPIRY_S, Directory
from lavendergate.core.failover_types import Observed
from lavendergate.core.membership import (
    empty_directory,
    expire,
    group_report,
    increment_version,
    receive_announcements,
    receive_heartbeat,
    views_by_group,
)
from lavendergate.core.records import GroupRecord, HostRecord
from lavendergate.core.reports import Announcement, GroupReport
from lavendergate.core.types import (
    GroupId,
    HostId,
    MemberView,
    Region,
    UpstreamId,
)
from lavendergate.core.watchers import (
    NO_SUSPICION,
    ProbeTrack,
    combine_probe_results,
    record_probe,
    watchers_of,
)
from lavendergate.rpc.messages import HeartbeatRequest

PERIODIC_PROBE_S = 2.0

# A new leader knows all members once each has announced itself (every 250 ms)
# and each proxy has sent a heartbeat (every 500 ms). Reports from before that
# would make the proxies remove members.
DISCOVERY_S = 1.0

# Proxies repeat a suspicion in each heartbeat while it lasts; two consecutive
# heartbeats without it mean that it has ended.
_SUSPICION_LIFETIME_S = 1.0

# How long a successful probe counts. The next result may take a probe interval
# (250 ms), a probe timeout (500 ms) and a heartbeat (500 ms) to arrive.
_PROBE_SUCCESS_LIFETIME_S = 1.5

_MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class ProxyEntry:
    """Last heartbeat of a proxy and the time of its arrival."""

    request: HeartbeatRequest
    seen_at: float


class Observer:
    """Collects announcements, heartbeats and probe results of one epoch.

    An epoch is one leadership of this host; a new one starts without entries.
    """

    def __init__(self, *, epoch: int, now: float) -> None:
        self._directory = empty_directory(epoch=epoch, now=now)
        self._started_at = now
        self._versioned_groups: object = None
        self._tracks: dict[UpstreamId, dict[HostId, ProbeTrack]] = {}
        self._suspected_at: dict[UpstreamId, float] = {}
        self._periodic_at: dict[HostId, float] = {}
        self._watchers: dict[UpstreamId, tuple[HostId, ...]] = {}
        self._proxies: dict[HostId, ProxyEntry] = {}
        self._viewed_members: object = None
        self._views_by_group: dict[GroupId, dict[UpstreamId, MemberView]] = {}

    @property
    def directory(self) -> Directory:
        """Announced upstreams and live hosts."""
        return self._directory

    @property
    def proxies(self) -> dict[HostId, ProxyEntry]:
        """Last heartbeat of each live proxy."""
        return self._proxies

    def record_announcements(
        self, announcements: tuple[Announcement, ...], now: float
    ) -> tuple[str, ...]:
        """Record announcements; return the errors of the refused ones."""
        directory, errors = receive_announcements(
            self._directory, announcements, now
        )
        self._directory = directory
        return errors

    def record_heartbeat(
        self, request: HeartbeatRequest, now: float
    ) -> Result[Directory, str]:
        """Record a heartbeat, or return why it is refused."""
        answer = receive_heartbeat(
            self._directory,
            host_record(request),
            now,
            is_drained=_is_drained(request),
        )
        if answer.is_err():
            return answer
        is_new = request.host_id not in self._directory.hosts
        self._directory = answer.unwrap()
        if is_new:
            self._watchers.clear()
        self._proxies[request.host_id] = ProxyEntry(
            request=request, seen_at=now
        )
        self._record_probes(request, now)
        for upstream_id in request.suspected:
            self._suspected_at[upstream_id] = now
        return answer

    def tick(self, state: LogState, now: float) -> None:
        """Remove expired entries.

        Also increases the directory version if the groups in the log changed.
        """
        hosts = self._directory.hosts
        if self._versioned_groups is not state.groups:
            self._versioned_groups = state.groups
            self._directory = increment_version(self._directory, now)
        self._directory = self._expire(state, now)
        if len(hosts) != len(self._directory.hosts):
            self._watchers.clear()
        for host_id in self._proxies.keys() - self._directory.hosts.keys():
            self._proxies.pop(host_id)

    def knows_all_members(self, state: LogState, now: float) -> bool:
        """Whether all members that are reachable can be assumed to be known."""
        if now - self._started_at >= DISCOVERY_S:
            return True
        known = self._directory.members.keys()
        return bool(state.groups) and all(
            record.member_ids <= known for record in state.groups.values()
        )

    def reports(self, state: LogState, now: float) -> tuple[GroupReport, ...]:
        """Return the reports of all groups."""
        return tuple(
            group_report(self._directory, record, now)
            for record in state.groups.values()
        )

    def observe(self, state: LogState, record: GroupRecord) -> Observed:
        """Return the observation of a group for failover, without suspicion."""
        members = self._views().get(record.group_id, {})
        region = self.region_of(record.group_id)
        return Observed(
            record=record,
            members=members,
            settings=failover_settings(state.settings, region, record.group_id),
        )

    def observe_with_suspicion(
        self, state: LogState, record: GroupRecord, now: float
    ) -> Observed:
        """Return the observation with the suspicion of the watchers."""
        observed = self.observe(state, record)
        if record.primary is None:
            return observed
        tracks = self._tracks.get(record.primary)
        if tracks is None:
            return replace(observed, suspicion=NO_SUSPICION)
        watchers = self._watchers_of(record.primary)
        return replace(
            observed, suspicion=combine_probe_results(tracks, watchers, now)
        )

    def region_of(self, group_id: GroupId) -> Region | None:
        """Return the region that the members of a group announce."""
        views = self._views().get(group_id, {}).values()
        return next((view.region for view in views), None)

    def due_probes(
        self, host_id: HostId, state: LogState, now: float
    ) -> tuple[UpstreamId, ...]:
        """Return the primaries that a watcher is to probe now.

        All watched primaries are due once in `PERIODIC_PROBE_S`, suspected
        ones with every heartbeat.
        """
        watched = [
            record.primary
            for record in state.groups.values()
            if record.primary is not None
            and host_id in self._watchers_of(record.primary)
        ]
        periodic_at = self._periodic_at.get(host_id)
        if periodic_at is None or now - periodic_at >= PERIODIC_PROBE_S:
            return tuple(watched)
        return tuple(
            primary
            for primary in watched
            if self._suspects(primary, state, now)
        )

    def start_probe_period(self, host_id: HostId, now: float) -> None:
        """Start a new probe period, if it is due; called for each reply."""
        periodic_at = self._periodic_at.get(host_id)
        if periodic_at is None or now - periodic_at >= PERIODIC_PROBE_S:
            self._periodic_at[host_id] = now

    def _views(self) -> Mapping[GroupId, Mapping[UpstreamId, MemberView]]:
        """Return the member views, rebuilt only after a change of members."""
        if self._viewed_members is not self._directory.members:
            self._viewed_members = self._directory.members
            self._views_by_group = views_by_group(self._directory)
        return self._views_by_group

    def _expire(self, state: LogState, now: float) -> Directory:
        """Remove expired entries, except of primaries that watchers reach.

        Such a primary is only partitioned from control and continues to serve
        statements. Without its entry the proxies would lose its address and
        their connection shares.
        """
        members = self._directory.members
        primaries = (record.primary for record in state.groups.values())
        retained = {
            primary: members[primary]
            for primary in primaries
            if primary is not None
            and primary in members
            and self._is_silent_but_reachable(primary, now)
        }
        if not retained:
            return expire(self._directory, now)
        others = {
            upstream_id: entry
            for upstream_id, entry in members.items()
            if upstream_id not in retained
        }
        directory = expire(replace(self._directory, members=others), now)
        return replace(directory, members={**directory.members, **retained})

    def _is_silent_but_reachable(self, primary: UpstreamId, now: float) -> bool:
        seen_at = self._directory.members[primary].seen_at
        if now - seen_at < ANNOUNCEMENT_EXPIRY_S:
            return False
        return any(
            not track.failed_rounds
            and now - track.measured_at < _PROBE_SUCCESS_LIFETIME_S
            for track in self._tracks.get(primary, {}).values()
        )

    def _suspects(
        self, primary: UpstreamId, state: LogState, now: float
    ) -> bool:
        suspected_at = self._suspected_at.get(primary)
        if suspected_at is not None:
            if now - suspected_at < _SUSPICION_LIFETIME_S:
                return True
        entry = self._directory.members.get(primary)
        if entry is None:
            return True
        announcement = entry.announcement
        timeout_s = announcement_timeout_s(
            state.settings, announcement.region, announcement.group_id
        )
        if now - entry.seen_at >= timeout_s:
            return True
        return any(
            track.failed_rounds > 0
            and now - track.measured_at < _SUSPICION_LIFETIME_S
            for track in self._tracks.get(primary, {}).values()
        )

    def _watchers_of(self, upstream_id: UpstreamId) -> tuple[HostId, ...]:
        watchers = self._watchers.get(upstream_id)
        if watchers is None:
            watchers = watchers_of(upstream_id, self._directory.live_hosts())
            self._watchers[upstream_id] = watchers
        return watchers

    def _record_probes(self, request: HeartbeatRequest, now: float) -> None:
        for probe in request.probes:
            tracks = self._tracks.setdefault(probe.upstream_id, {})
            tracks[request.host_id] = record_probe(
                tracks.get(request.host_id),
                reachable=probe.reachable,
                measured_at=now - probe.age_ms / _MS_PER_S,
            )


def host_record(request: HeartbeatRequest) -> HostRecord:
    """Return the host that sent a heartbeat."""
    return HostRecord(
        host_id=request.host_id,
        incarnation=request.incarnation,
        region=request.region,
        failure_domain=request.failure_domain,
        address=request.address,
    )


def _is_drained(request: HeartbeatRequest) -> bool:
    is_empty = all(not demand.open_connections for demand in request.demands)
    return request.draining and is_empty
