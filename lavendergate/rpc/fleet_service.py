"""Messages that keep the view of all hosts of a fleet alike."""

import msgspec

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


class PrimaryNotice(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Member that leads a service."""

    service: GroupId
    upstream_id: UpstreamId
    term: Term


class PositionNotice(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Position of a service's primary.

    Parameters
    ----------
    age_ms
        Time from the question to the primary to this notice, rounded up.
    """

    service: GroupId
    position: LogPosition
    age_ms: int


class PrimaryReach(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Whether a proxy reached the primary of a service lately."""

    service: GroupId
    upstream_id: UpstreamId
    reachable: bool


class FleetVersion(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
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


class SyncRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
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


class SyncReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
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
    primaries
        Services whose primary changed.
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


class MergeRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Announcements that reached another control host."""

    entries: tuple[MemberEntry, ...]


class MergeReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Whether the receiver leads and took the announcements."""

    accepted: bool


class FleetProposal(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A route table for the replicated log."""

    command: PublishRoutes


class FleetProposalReply(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Whether the command is committed; if not, it may be later."""

    accepted: bool


class RoutesRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Asks the leader for the newest route table."""


class RoutesReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The newest route table, packed; None if that is not certain."""

    content: bytes | None


class JoinRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Asks the leader to let a control host into the group."""

    host: ControlHost


class JoinReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
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
