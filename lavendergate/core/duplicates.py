"""Detection of duplicate identities and addresses of members and hosts."""

from collections.abc import Mapping

from lavendergate.core.directory import (
    ANNOUNCEMENT_EXPIRY_S,
    HOST_LEASE_S,
    HostEntry,
    MemberEntry,
)
from lavendergate.core.records import HostRecord
from lavendergate.core.reports import Announcement
from lavendergate.core.types import HostId, UpstreamId


def upstream_conflict(
    members: Mapping[UpstreamId, MemberEntry],
    announcement: Announcement,
    now: float,
) -> str | None:
    """Return why an announcement is refused, or None if it is accepted.

    The reason names both upstreams that have the same identity or address.
    """
    previous = members.get(announcement.upstream_id)
    if previous is not None and _is_same_process(previous, announcement):
        return None
    for entry in members.values():
        holder = entry.announcement
        is_unexpired = now - entry.seen_at < ANNOUNCEMENT_EXPIRY_S
        if is_unexpired and _is_upstream_conflict(holder, announcement):
            return (
                f'announcement of {_describe_upstream(announcement)} refused: '
                f'{_describe_upstream(holder)} holds the same identity or '
                f'address; stop one of them, or wait '
                f'{ANNOUNCEMENT_EXPIRY_S:g} s after its end'
            )
    return None


def _is_same_process(entry: MemberEntry, announcement: Announcement) -> bool:
    holder = entry.announcement
    is_same_address = (holder.host, holder.port) == (
        announcement.host,
        announcement.port,
    )
    return is_same_address and holder.incarnation == announcement.incarnation


def _is_upstream_conflict(first: Announcement, second: Announcement) -> bool:
    if first.upstream_id == second.upstream_id:
        return first.incarnation != second.incarnation
    return (first.host, first.port) == (second.host, second.port)


def _describe_upstream(announcement: Announcement) -> str:
    return (
        f'upstream {announcement.upstream_id} '
        f'(incarnation {announcement.incarnation}, '
        f'{announcement.host}:{announcement.port})'
    )


def host_conflict(
    hosts: Mapping[HostId, HostEntry], host: HostRecord, now: float
) -> str | None:
    """Return why a heartbeat is refused, or None if it is accepted.

    The reason names both hosts that have the same identity or address.
    """
    for entry in hosts.values():
        is_unexpired = now - entry.seen_at < HOST_LEASE_S
        is_active = is_unexpired and not entry.is_drained
        if is_active and _is_host_conflict(entry.host, host):
            return (
                f'heartbeat of {_describe_host(host)} refused: '
                f'{_describe_host(entry.host)} holds the same identity or '
                f'address; give one of them another identity, or wait '
                f'{HOST_LEASE_S:g} s after its end'
            )
    return None


def _is_host_conflict(first: HostRecord, second: HostRecord) -> bool:
    if first.host_id == second.host_id:
        return first.incarnation != second.incarnation
    return first.address == second.address


def _describe_host(host: HostRecord) -> str:
    return (
        f'host {host.host_id} (incarnation {host.incarnation}, {host.address})'
    )
