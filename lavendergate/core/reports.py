"""Reports about members and groups that hosts send to each other.

Monotonic clocks differ between hosts, so a report has the age of an
observation, which the receiver converts to a time of its own clock.
"""

from dataclasses import dataclass

from lavendergate.core.types import (
    FailureDomain,
    GroupId,
    GroupView,
    MemberStatus,
    MemberView,
    Region,
    Term,
    TermStart,
    UpstreamId,
)

_MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class Announcement:
    """What an upstream announces about itself.

    Parameters
    ----------
    incarnation
        Random id of the announcing process, new at each start. Two current
        incarnations of one upstream are an error: two processes run with the
        same upstream id.
    """

    upstream_id: UpstreamId
    group_id: GroupId
    region: Region
    failure_domain: FailureDomain
    host: str
    port: int
    connection_limit: int
    slots: int
    leaving: bool
    incarnation: str
    status: MemberStatus


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberReport:
    """An announcement, and its age when the report was sent."""

    announcement: Announcement
    age_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupReport:
    """State of a group as known to the control role.

    Parameters
    ----------
    term
        Term of the last confirmed primary.
    primary
        Confirmed primary, or None while a promotion is running.
    """

    group_id: GroupId
    term: Term
    primary: UpstreamId | None
    member_ids: frozenset[UpstreamId]
    members: tuple[MemberReport, ...]
    term_history: tuple[TermStart, ...]


def member_view(report: MemberReport, now: float) -> MemberView:
    """Convert a report to a view with times of the receiver's clock.

    Parameters
    ----------
    report
        Report as it was received.
    now
        Receiver's monotonic clock, in seconds.
    """
    announcement = report.announcement
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
        observed_at=now - report.age_ms / _MS_PER_S,
    )


def group_view(report: GroupReport, now: float) -> GroupView:
    """Convert a report to a view with times of the receiver's clock."""
    return GroupView(
        group_id=report.group_id,
        term=report.term,
        primary=report.primary,
        member_ids=report.member_ids,
        members=tuple(member_view(member, now) for member in report.members),
        term_history=report.term_history,
    )
