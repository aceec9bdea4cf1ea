"""Messages between lavendergate processes, and from upstreams' agents."""

from dataclasses import dataclass

from lavendergate.core.reports import GroupReport
from lavendergate.core.settings.document import SettingsDocument
from lavendergate.core.types import (
    FailureDomain,
    GroupId,
    HostId,
    Region,
    SettingsVersion,
    UpstreamId,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class AnnounceRequest:
    """Announcements, each signed by the upstream's agent."""

    announcements: tuple[bytes, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class AnnounceReply:
    """Hosts that accept announcements, as ``ip:port``."""

    hosts: tuple[str, ...]
    problem: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ShareDemand:
    """Connections that a proxy has open to a member, and would use.

    Parameters
    ----------
    granted_connections
        Connections of the grant that the proxy obeys at the time of the
        report; after the end of its lease, the reserved ones. None if the
        proxy has received no grant.
    """

    upstream_id: UpstreamId
    open_connections: int
    wanted_connections: int
    granted_connections: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RetiredConnection:
    """A connection that a proxy closed without an answer.

    Parameters
    ----------
    connection_id
        Number by which the member lists the connection.
    """

    upstream_id: UpstreamId
    connection_id: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeResult:
    """Result of a probe on a new connection."""

    upstream_id: UpstreamId
    reachable: bool
    age_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatRequest:
    """State of a proxy, sent to one control host.

    Parameters
    ----------
    address
        Address for callers, ``ip:port``.
    directory_version
        Version of the last group reports that the proxy holds.
    suspected
        Members on which statements or new connections failed lately.
    draining
        Whether the proxy is shutting down and hands its shares back.
    clock
        Hybrid logical clock of the sender.
    retired
        Connections that control is to close at the members.
    """

    host_id: HostId
    incarnation: str
    region: Region
    failure_domain: FailureDomain
    address: str
    settings_version: SettingsVersion
    directory_version: int
    demands: tuple[ShareDemand, ...]
    probes: tuple[ProbeResult, ...]
    suspected: tuple[UpstreamId, ...]
    announcements: tuple[bytes, ...]
    draining: bool
    clock: int
    retired: tuple[RetiredConnection, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ShareGrant:
    """Connections that a proxy may hold to a member.

    Parameters
    ----------
    connections
        Connections in all, the reserved ones included.
    reserved
        Connections that stay with the proxy while it is registered.
    lease_s
        Time from the sending of the heartbeat for which connections beyond
        the reserved ones may be opened, in seconds.
    """

    upstream_id: UpstreamId
    connections: int
    reserved: int
    lease_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatReply:
    """What changed for a proxy.

    Parameters
    ----------
    problem
        Why the heartbeat was refused, with the remedy; None if accepted.
    leader
        Address of the control leader for the next heartbeat, ``ip:port``.
    has_quorum
        Whether the control leader reached a majority lately.
    settings
        The settings, if newer than the proxy's version.
    groups
        All group reports, if newer than the proxy's directory version.
    shares
        Current grants of the proxy.
    probe
        Members that the proxy is to probe on new connections.
    """

    problem: str | None
    leader: str | None
    has_quorum: bool
    settings: SettingsDocument | None
    directory_version: int
    groups: tuple[GroupReport, ...] | None
    shares: tuple[ShareGrant, ...]
    probe: tuple[UpstreamId, ...]
    clock: int


@dataclass(frozen=True, kw_only=True, slots=True)
class SwitchoverRequest:
    """Moves the primary of a group to another member."""

    group_id: GroupId
    target: UpstreamId | None


@dataclass(frozen=True, kw_only=True, slots=True)
class SwitchoverReply:
    """Result of a switchover."""

    accepted: bool
    problem: str | None = None
    leader: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusRequest:
    """Asks a control host for the state of the whole system."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ProxyStatus:
    """State of one proxy as its last heartbeat gave it."""

    host_id: HostId
    address: str
    region: Region
    failure_domain: FailureDomain
    age_ms: int
    settings_version: SettingsVersion
    draining: bool
    demands: tuple[ShareDemand, ...]
    shares: tuple[ShareGrant, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ControlHostStatus:
    """State of one control host."""

    host_id: HostId
    address: str
    role: str
    consensus_term: int
    commit_index: int
    settings_version: SettingsVersion


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusReply:
    """State of the whole system as one control host knows it.

    Parameters
    ----------
    commit_index
        Index of the replicated log up to which the answer is current.
    problems
        What is wrong, since when and what to do, one line each.
    """

    leader: str | None
    has_quorum: bool
    commit_index: int
    settings: SettingsDocument
    groups: tuple[GroupReport, ...]
    proxies: tuple[ProxyStatus, ...]
    control_hosts: tuple[ControlHostStatus, ...]
    problems: tuple[str, ...]
