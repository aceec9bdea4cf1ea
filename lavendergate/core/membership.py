"""Directory of announced upstreams and live hosts.

The control leader maintains the directory. A new leader rebuilds it from
announcements and heartbeats. The version of the directory only increases, so
hosts are sent the directory only after a change.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from result import Err, Ok, Result

from lavendergate.core.directory import (
    ANNOUNCEMENT_EXPIRY_S,
    HOST_LEASE_S,
    POSITION_INTERVAL_S,
    Directory,
    HostEntry,
    MemberEntry,
)
from lavendergate.core.duplicates import host_conflict, upstream_conflict
from lavendergate.core.records import GroupRecord, HostRecord
from lavendergate.core.reports import Announcement, GroupReport, MemberReport
from lavendergate.core.types import GroupId, MemberView, UpstreamId

_MS_PER_S = 1000
_VERSIONS_PER_EPOCH = 2**32


def empty_directory(*, epoch: int, now: float) -> Directory:
    """Return the empty directory of a new leader.

    Parameters
    ----------
    epoch
        Number that increases with each leader, so that all versions of a new
        leader are higher than those of previous leaders.
    now
        Monotonic time, in seconds.
    """
    return Directory(
        version=epoch * _VERSIONS_PER_EPOCH,
        received_at=now,
        resumed_at=now,
        version_changed_at=now,
    )


def increment_version(directory: Directory, now: float) -> Directory:
    """Increment the version of the directory, publishing its content."""
    return replace(
        directory,
        version=directory.version + 1,
        version_changed_at=now,
        has_pending_status=False,
    )


def receive_announcements(
    directory: Directory, announcements: Iterable[Announcement], now: float
) -> tuple[Directory, tuple[str, ...]]:
    """Store announcements in the directory.

    Returns
    -------
    tuple
        The directory, and an error message for each refused announcement.
    """
    members = dict(directory.members)
    errors = []
    changed = False
    pending = directory.has_pending_status
    for announcement in announcements:
        conflict = upstream_conflict(members, announcement, now)
        if conflict is not None:
            errors.append(conflict)
            continue
        previous = members.get(announcement.upstream_id)
        changed = changed or _requires_new_version(previous, announcement)
        pending = True
        members[announcement.upstream_id] = MemberEntry(
            announcement=announcement, seen_at=now
        )
    directory = replace(
        _with_received_at(directory, now),
        members=members,
        has_pending_status=pending,
    )
    if changed:
        directory = increment_version(directory, now)
    return directory, tuple(errors)


def receive_heartbeat(
    directory: Directory, host: HostRecord, now: float, *, is_drained: bool
) -> Result[Directory, str]:
    """Renew the lease of a host after a heartbeat.

    Parameters
    ----------
    is_drained
        Whether the host is draining and has no open connection left. Another
        process may then use its id and address at once.

    Returns
    -------
    Result
        The directory, or an error that names both processes that claim the
        id or address.
    """
    conflict = host_conflict(directory.hosts, host, now)
    if conflict is not None:
        return Err(conflict)
    entry = HostEntry(host=host, is_drained=is_drained, seen_at=now)
    return Ok(
        replace(
            _with_received_at(directory, now),
            hosts={**directory.hosts, host.host_id: entry},
        )
    )


def expire(directory: Directory, now: float) -> Directory:
    """Remove expired entries and publish pending changes of status.

    While this host is isolated, no entries expire.
    """
    if not directory.is_isolated(now):
        directory = _remove_expired(directory, now)
    is_due = now - directory.version_changed_at >= POSITION_INTERVAL_S
    if directory.has_pending_status and is_due:
        return increment_version(directory, now)
    return directory


def group_report(
    directory: Directory, record: GroupRecord, now: float
) -> GroupReport:
    """Combine the committed record of a group with its announced members.

    Spares are left out, because they have no copy of the data.
    """
    entries = [
        directory.members[upstream_id]
        for upstream_id in sorted(record.member_ids)
        if upstream_id in directory.members
    ]
    return GroupReport(
        group_id=record.group_id,
        term=record.term,
        primary=None if record.is_promoting else record.primary,
        member_ids=record.member_ids,
        members=tuple(
            MemberReport(
                announcement=entry.announcement,
                age_ms=int((now - entry.seen_at) * _MS_PER_S),
            )
            for entry in entries
        ),
        term_history=record.term_history,
    )


def views_by_group(
    directory: Directory,
) -> dict[GroupId, dict[UpstreamId, MemberView]]:
    """Return the announced upstreams of each group, spares included."""
    views: dict[GroupId, dict[UpstreamId, MemberView]] = {}
    for upstream_id, entry in directory.members.items():
        group = views.setdefault(entry.announcement.group_id, {})
        group[upstream_id] = _member_view(entry)
    return views


def spare_upstreams(
    directory: Directory, records: Mapping[GroupId, GroupRecord]
) -> tuple[Announcement, ...]:
    """Return the announced upstreams that are not committed members."""
    return tuple(
        entry.announcement
        for upstream_id, entry in directory.members.items()
        if not _is_committed_member(
            records, entry.announcement.group_id, upstream_id
        )
    )


def members_to_register(
    directory: Directory,
    records: Mapping[GroupId, GroupRecord],
    limits: Mapping[GroupId, int],
) -> tuple[Announcement, ...]:
    """Return the spares to register as members, up to each group's limit.

    Parameters
    ----------
    limits
        Value of `group.members` for each announced group.
    """
    counts = {
        group_id: len(record.member_ids) for group_id, record in records.items()
    }
    chosen = []
    for announcement in spare_upstreams(directory, records):
        group_id = announcement.group_id
        is_wanted = counts.get(group_id, 0) < limits.get(group_id, 0)
        if is_wanted and not announcement.leaving:
            counts[group_id] = counts.get(group_id, 0) + 1
            chosen.append(announcement)
    return tuple(chosen)


def _with_received_at(directory: Directory, now: float) -> Directory:
    if directory.is_isolated(now):
        return replace(directory, received_at=now, resumed_at=now)
    return replace(directory, received_at=now)


def _is_expired(
    directory: Directory, seen_at: float, now: float, limit_s: float
) -> bool:
    return now - max(seen_at, directory.resumed_at) >= limit_s


def _remove_expired(directory: Directory, now: float) -> Directory:
    members = {
        upstream_id: entry
        for upstream_id, entry in directory.members.items()
        if not _is_expired(directory, entry.seen_at, now, ANNOUNCEMENT_EXPIRY_S)
    }
    hosts = {
        host_id: entry
        for host_id, entry in directory.hosts.items()
        if not _is_expired(directory, entry.seen_at, now, HOST_LEASE_S)
    }
    has_lost_member = len(members) < len(directory.members)
    directory = replace(directory, members=members, hosts=hosts)
    return increment_version(directory, now) if has_lost_member else directory


def _requires_new_version(
    entry: MemberEntry | None, announcement: Announcement
) -> bool:
    """Whether anything but positions, ages and counts changed."""
    if entry is None:
        return True
    previous = entry.announcement
    if previous.status.role is not announcement.status.role:
        return True
    if previous.status.promised_term != announcement.status.promised_term:
        return True
    return replace(previous, status=announcement.status) != announcement


def _member_view(entry: MemberEntry) -> MemberView:
    announcement = entry.announcement
    return MemberView(
        upstream_id=announcement.upstream_id,
        group_id=announcement.group_id,
        region=announcement.region,
        failure_domain=announcement.failure_domain,
        host=announcement.host,
        port=announcement.port,
        connection_limit=announcement.connection_limit,
        slots=announcement.slots,
        leaving=announcement.leaving,
        status=announcement.status,
        observed_at=entry.seen_at,
    )


def _is_committed_member(
    records: Mapping[GroupId, GroupRecord],
    group_id: GroupId,
    upstream_id: UpstreamId,
) -> bool:
    record = records.get(group_id)
    return record is not None and upstream_id in record.member_ids
