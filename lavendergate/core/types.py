"""Identifiers and value types shared by all packages."""

import enum
from dataclasses import dataclass
from typing import Annotated, NewType

from lavendergate.core.bounds.ranges import IN_COUNT, Count

HostId = NewType('HostId', str)
UpstreamId = NewType('UpstreamId', str)
GroupId = NewType('GroupId', str)
CallerId = NewType('CallerId', str)
FailureDomain = NewType('FailureDomain', str)
Region = NewType('Region', str)
Term = NewType('Term', int)
SettingsVersion = NewType('SettingsVersion', int)

NO_TERM = Term(0)


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class LogPosition:
    """Identifies an entry of a group's replication log.

    Positions are ordered by term first: after a change of primary, the new
    primary may reuse positions that the old primary assigned to lost writes.

    Parameters
    ----------
    term
        Term in which the entry was written.
    position
        Index of the entry in the group's log, from 1; 0 is the empty log.
    """

    term: Annotated[Term, IN_COUNT]
    position: Count


LOG_START = LogPosition(term=NO_TERM, position=0)


@enum.unique
class MemberRole(enum.Enum):
    """Current role of a member in its group."""

    primary = 'primary'
    replica = 'replica'
    fenced = 'fenced'


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberStatus:
    """What a member reports about itself.

    Parameters
    ----------
    promised_term
        Highest term that the member promised when it was fenced.
    last_entry
        Last entry of the member's log that was synced to storage.
    role
        Current role of the member.
    primary_contact_ms
        Time since the member last heard from its primary, in milliseconds;
        0 on a primary.
    applied_age_ms
        Time since the member was last known to have all entries of its
        primary, in milliseconds.
    connections
        Number of connections open to the member.
    """

    promised_term: Term
    last_entry: LogPosition
    role: MemberRole
    primary_contact_ms: int
    applied_age_ms: int
    connections: int


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberView:
    """State of one member as known to a host.

    Parameters
    ----------
    upstream_id, group_id, region, failure_domain
        Identity and location of the member.
    host, port
        IP address and TCP port of the member.
    connection_limit
        Number of connections that the member allows, without the extra
        connection for administrators.
    slots
        Number of statements that the member executes concurrently.
    leaving
        Whether the member announced that it is leaving.
    status
        Last status that the member reported.
    observed_at
        Time of the observation on this host's monotonic clock, in seconds.
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
    status: MemberStatus
    observed_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class TermStart:
    """First position that a term's primary wrote or may write."""

    term: Term
    first_position: int


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupView:
    """State of one group as known to a host.

    Parameters
    ----------
    group_id
        The group.
    term
        Term of the last confirmed primary.
    primary
        Confirmed primary, or None while no primary is confirmed.
    member_ids
        Committed members, which count for majorities.
    members
        Members whose announcements have not expired.
    term_history
        First position of each recent term, oldest first.
    """

    group_id: GroupId
    term: Term
    primary: UpstreamId | None
    member_ids: frozenset[UpstreamId]
    members: tuple[MemberView, ...]
    term_history: tuple[TermStart, ...]

    @property
    def majority(self) -> int:
        """Number of members that form a majority."""
        return len(self.member_ids) // 2 + 1

    def member(self, upstream_id: UpstreamId) -> MemberView | None:
        """Return the view of one member, or None if it is not announced."""
        for view in self.members:
            if view.upstream_id == upstream_id:
                return view
        return None
