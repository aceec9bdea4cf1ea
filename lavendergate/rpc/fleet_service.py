"""RPC methods that synchronise the fleet state across all hosts.

The fleet state consists of the route table, the members, and the primaries
with their log positions.
"""

from typing import Annotated, ClassVar

import msgspec

from lavendergate.core.bounds.ranges import (
    IN_COUNT,
    IN_NAME,
    Count,
    DurationS,
    HostAndPort,
    Integer,
)
from lavendergate.core.commands import PublishRoutes
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.types import (
    FailureDomain,
    GroupId,
    HostId,
    LogPosition,
    Term,
    UpstreamId,
)
from lavendergate.rpc.consensus_service import ControlHost
from lavendergate.rpc.service import Method


class PrimaryNotice(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Current primary of a service."""

    service: GroupId
    upstream_id: UpstreamId
    term: Annotated[Term, IN_COUNT]


class PositionNotice(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Log position of a service's primary.

    Parameters
    ----------
    age_ms
        Upper bound of the age of `position` in milliseconds: the time since
        the position was requested from the primary, rounded up.
    proved_age_ms
        Upper bound of the time since all other members were asked, in
        milliseconds, if they knew no newer primary; None without such a proof.
    """

    service: GroupId
    position: LogPosition
    age_ms: Integer
    proved_age_ms: Integer | None = None


class PrimaryReachability(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Whether a proxy recently reached the primary of a service."""

    service: GroupId
    upstream_id: UpstreamId
    reachable: bool


class FleetVersion(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Version of a control host's fleet state that the requester holds.

    Parameters
    ----------
    source
        Identifies the control host, and the run of its process, that
        assigned `version`; versions of different sources are unrelated.
    version
        Number of the state; each change increases it.
    """

    source: str = ''
    version: Count = 0


class RelayOffer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Offer of a proxy to be the home of members.

    Parameters
    ----------
    address
        Address on which the proxy runs statements for others, ``ip:port``.
    is_stopping
        Whether the proxy takes no more statements.
    known_version
        Version of the live proxies that it has from the same source; 0 for
        none.
    """

    address: HostAndPort
    failure_domain: Annotated[FailureDomain, IN_NAME]
    is_stopping: bool
    known_version: Count


class ProxyChanges(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Changes of the live proxies.

    Parameters
    ----------
    version
        Version after the changes; 0 while the leader has not heard from all
        live proxies yet. Such changes are not to be applied.
    live
        Addresses of the new live proxies, by failure domain.
    gone
        Addresses of proxies that are no longer live.
    """

    version: Count
    live: dict[FailureDomain, tuple[str, ...]]
    gone: tuple[str, ...]


class SyncRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Long poll for the changes of the fleet state since a version.

    Parameters
    ----------
    is_proxy
        Whether the requester opens connections to members.
    known
        Version of the state that the requester holds.
    routes_version
        Version of the route table that the requester holds.
    reach
        Reachability of the primaries that the requester recently used.
    wait_s
        Longest time, in seconds, to delay the reply until there is a change.
    withheld
        Services that the last reply of the leader named in `withheld`; the
        leader replies as soon as it leases one of them again.
    relay
        Offer of a proxy to be the home of members.
    unfollowed
        Services whose writes the proxy holds; the leader replies as soon as
        it has seen enough replicas follow one of their terms.
    """

    host_id: HostId
    is_proxy: bool
    known: FleetVersion
    routes_version: int
    reach: tuple[PrimaryReachability, ...]
    wait_s: DurationS
    withheld: tuple[GroupId, ...] = ()
    relay: RelayOffer | None = None
    unfollowed: tuple[GroupId, ...] = ()


class SyncReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Changes of the fleet state since the requested version.

    Parameters
    ----------
    is_leader
        Whether the replying host is the leader and is confirmed by a
        majority.
    control_hosts
        Addresses of the control hosts, ``ip:port``.
    routes
        Encoded route table; None if the requester has this version.
    entries
        Members whose entries changed.
    primaries
        Services whose primary changed.
    proxies
        Number of proxies that recently sent a request; 0 if unknown.
    lease_ms
        Duration of the leases on the primaries in milliseconds, counted from
        the sending of the request; 0 if none is granted.
    withheld
        Services that are not leased.
    replacing
        Services whose primary is being replaced.
    proxy_changes
        Changes of the live proxies since the version in the request.
    leader_term
        Term of the replying leader; 0 if it is not known.
    previous_term
        Newest earlier term in which a leader can have published proxies.
    unfollowed
        Services whose term is new to the leader and which too few replicas
        have reported to it; None if it does not know.
    """

    separable_fields: ClassVar[tuple[str, ...]] = (
        'entries',
        'primaries',
        'positions',
    )

    version: FleetVersion
    is_leader: bool
    leader: str | None
    control_hosts: tuple[str, ...]
    routes_version: int
    routes: bytes | None
    entries: tuple[MemberEntry, ...]
    primaries: tuple[PrimaryNotice, ...]
    positions: tuple[PositionNotice, ...]
    proxies: Integer
    lease_ms: Integer = 0
    withheld: tuple[GroupId, ...] = ()
    replacing: tuple[GroupId, ...] = ()
    proxy_changes: ProxyChanges | None = None
    leader_term: Count = 0
    previous_term: Count = 0
    unfollowed: tuple[GroupId, ...] | None = None


class MergeRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Forwards entries of members announced to another control host."""

    separable_fields: ClassVar[tuple[str, ...]] = ('entries',)

    entries: tuple[MemberEntry, ...]


class MergeReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Result of a merge.

    Parameters
    ----------
    accepted
        Whether the receiver is the leader and merged the entries.
    """

    accepted: bool


class RoutesProposal(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Proposes a route table for the replicated log."""

    command: PublishRoutes


class RoutesProposalReply(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Result of a proposal.

    Parameters
    ----------
    accepted
        Whether the command is committed. If False, it may still be
        committed later.
    """

    accepted: bool


class RoutesRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Asks the leader for the latest route table."""


class RoutesReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Latest route table.

    Parameters
    ----------
    content
        Encoded route table; None if the receiver cannot confirm that its
        table is the latest.
    """

    content: bytes | None


class JoinRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Asks the leader to add a control host to the cluster."""

    host: ControlHost


class JoinReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Result of a request to join.

    Parameters
    ----------
    leader
        Address of the leader, if the receiver is not the leader.
    """

    accepted: bool
    leader: str | None = None


class LeaveRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Announces to the control hosts that one of them stops."""

    host: ControlHost


class LeaveReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Confirms an announcement.

    Parameters
    ----------
    is_leader
        Whether the receiver leads, and has adapted the voters if the group
        then bears more losses.
    """

    is_leader: bool


class SilentHost(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A control host that does not answer.

    Parameters
    ----------
    silent_ms
        Time since its last answer to any leader, in milliseconds.
    """

    host_id: HostId
    incarnation: str
    silent_ms: int


class SilenceReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Silent control hosts that the leader, or the receiver, knows of."""

    hosts: tuple[SilentHost, ...]


SYNC = Method(
    path='/lavendergate.Fleet/Sync',
    request_type=SyncRequest,
    reply_type=SyncReply,
)
MERGE = Method(
    path='/lavendergate.Fleet/Merge',
    request_type=MergeRequest,
    reply_type=MergeReply,
)
PROPOSE_ROUTES = Method(
    path='/lavendergate.Fleet/Propose',
    request_type=RoutesProposal,
    reply_type=RoutesProposalReply,
)
READ_ROUTES = Method(
    path='/lavendergate.Fleet/ReadRoutes',
    request_type=RoutesRequest,
    reply_type=RoutesReply,
)
JOIN = Method(
    path='/lavendergate.Fleet/Join',
    request_type=JoinRequest,
    reply_type=JoinReply,
)
LEAVE = Method(
    path='/lavendergate.Fleet/Leave',
    request_type=LeaveRequest,
    reply_type=LeaveReply,
)
REPORT_SILENCES = Method(
    path='/lavendergate.Fleet/ReportSilences',
    request_type=SilenceReport,
    reply_type=SilenceReport,
)
