"""Messages that keep the view of all hosts of a fleet alike."""

from dataclasses import dataclass

from lavendergate.core.commands import PublishRoutes
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.types import (
    GroupId,
    HostId,
    LogPosition,
    Term,
    UpstreamId,
)
from lavendergate.rpc.consensus_service import ControlHost
from lavendergate.rpc.service import Method


@dataclass(frozen=True, kw_only=True, slots=True)
class PrimaryNotice:
    """Member that leads a service."""

    service: GroupId
    upstream_id: UpstreamId
    term: Term


@dataclass(frozen=True, kw_only=True, slots=True)
class PositionNotice:
    """Position of a service's primary.

    Parameters
    ----------
    age_ms
        Time from the question to the primary to this notice, rounded up.
    """

    service: GroupId
    position: LogPosition
    age_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PrimaryReach:
    """Whether a proxy reached the primary of a service lately."""

    service: GroupId
    upstream_id: UpstreamId
    reachable: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetVersion:
    """How much of a control host's view the asker holds.

    Parameters
    ----------
    source
        Control host, and its start, that numbered `version`.
    version
        Number of the view; it grows with each change.
    """

    source: str = ''
    version: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class SyncRequest:
    """Asks for what changed since a version.

    Parameters
    ----------
    is_proxy
        Whether the asker opens connections to members.
    reach
        How the asker reaches the primaries that it used lately.
    wait_s
        How long the answer may wait for a change, in seconds.
    """

    host_id: HostId
    is_proxy: bool
    known: FleetVersion
    routes_version: int
    reach: tuple[PrimaryReach, ...]
    wait_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class SyncReply:
    """What changed.

    Parameters
    ----------
    is_leader
        Whether the answer is that of the leader with a majority behind it.
    control_hosts
        Addresses of the control hosts, ``ip:port``.
    routes
        Packed route table; None if the asker has it.
    entries
        Members whose entries changed.
    proxies
        Number of proxies that asked lately; 0 while it is not known.
    """

    version: FleetVersion
    is_leader: bool
    leader: str | None
    control_hosts: tuple[str, ...]
    routes_version: int
    routes: bytes | None
    entries: tuple[MemberEntry, ...]
    primaries: tuple[PrimaryNotice, ...]
    positions: tuple[PositionNotice, ...]
    proxies: int


@dataclass(frozen=True, kw_only=True, slots=True)
class MergeRequest:
    """Announcements that reached another control host."""

    entries: tuple[MemberEntry, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class MergeReply:
    """Whether the receiver leads and took the announcements."""

    accepted: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetProposal:
    """A route table for the replicated log."""

    command: PublishRoutes


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetProposalReply:
    """Whether the command is committed; if not, it may be later."""

    accepted: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutesRequest:
    """Asks the leader for the newest route table."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutesReply:
    """The newest route table, packed; None if that is not certain."""

    content: bytes | None


@dataclass(frozen=True, kw_only=True, slots=True)
class JoinRequest:
    """Asks the leader to let a control host into the group."""

    host: ControlHost


@dataclass(frozen=True, kw_only=True, slots=True)
class JoinReply:
    """Where the request has to go, if the receiver does not lead."""

    accepted: bool
    leader: str | None = None


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
PROPOSE_FLEET = Method(
    path='/lavendergate.Fleet/Propose',
    request_type=FleetProposal,
    reply_type=FleetProposalReply,
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
