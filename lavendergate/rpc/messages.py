"""Messages between lavendergate processes, and from agents of upstreams."""

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
    """Delivers announcements, each signed by the agent of the upstream."""

    announcements: tuple[bytes, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class AnnounceReply:
    """Reply to announcements.

    Parameters
    ----------
    hosts
        Addresses of hosts that accept announcements, ``ip:port``.
    problem
        Why announcements were refused; None if there was no error.
    """

    hosts: tuple[str, ...]
    problem: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ShareDemand:
    """Connections of a proxy to a member: open, wanted and granted.

    Parameters
    ----------
    granted_connections
        Limit that the proxy currently obeys: the connections of its grant
        or, once the lease has expired, only the reserved ones. None if the
        proxy has received no grant.
    """

    upstream_id: UpstreamId
    open_connections: int
    wanted_connections: int
    granted_connections: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RetiredConnection:
    """Connection that a proxy closed before the member answered.

    It may still be open at the member.

    Parameters
    ----------
    connection_id
        Id that the member assigned to the connection.
    """

    upstream_id: UpstreamId
    connection_id: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeResult:
    """Result of probing a member over a new connection.

    Parameters
    ----------
    age_ms
        Time since the probe, in milliseconds.
    """

    upstream_id: UpstreamId
    reachable: bool
    age_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatRequest:
    """State of a proxy, sent to one control host.

    Parameters
    ----------
    incarnation
        Random identifier of the run of the proxy's process.
    address
        Address for callers, ``ip:port``.
    directory_version
        Version of the group reports that the proxy holds.
    suspected
        Members on which statements or new connections recently failed.
    draining
        Whether the proxy is shutting down and returning its shares.
    clock
        Hybrid logical clock of the sender.
    retired
        Connections that the control hosts are to close on the members.
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
    """Limit on the connections of a proxy to a member.

    Parameters
    ----------
    connections
        Total number of connections, including the reserved ones.
    reserved
        Connections that the proxy keeps while it is registered.
    lease_s
        Time, in seconds from the sending of the heartbeat, during which the
        proxy may open connections beyond the reserved ones.
    """

    upstream_id: UpstreamId
    connections: int
    reserved: int
    lease_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatReply:
    """Changes since the state that a heartbeat reported.

    Parameters
    ----------
    problem
        Why the heartbeat was refused, and how to resolve it; None if
        accepted.
    leader
        Address of the control leader, ``ip:port``; the next heartbeat goes
        there.
    has_quorum
        Whether the control leader recently reached a majority.
    settings
        The settings, if newer than the proxy's version.
    groups
        All group reports, if newer than the proxy's directory version.
    shares
        Current grants of the proxy.
    probe
        Members that the proxy is to probe over new connections.
    clock
        Hybrid logical clock of the sender.
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
    """Moves the primary of a group to another member.

    Parameters
    ----------
    target
        New primary; None selects the member that is furthest ahead.
    former
        Primary that is to be replaced. If another member is primary already,
        as after an attempt that a change of leader interrupted, nothing is
        left to do. None if the request is the first one.
    """

    group_id: GroupId
    target: UpstreamId | None
    former: UpstreamId | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class SwitchoverReply:
    """Result of a switchover.

    Parameters
    ----------
    interrupted
        Primary whose replacement did not begin, since its term was not
        committed; the request may be repeated with it as `former`.
    """

    accepted: bool
    problem: str | None = None
    leader: str | None = None
    interrupted: UpstreamId | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusRequest:
    """Asks a control host for the state of the whole system."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ProxyStatus:
    """State of one proxy as reported by its last heartbeat.

    Parameters
    ----------
    age_ms
        Time since the last heartbeat, in milliseconds.
    """

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
        Index of the last log entry that the reply reflects.
    problems
        What is wrong, since when, and what to do; one line per problem.
    """

    leader: str | None
    has_quorum: bool
    commit_index: int
    settings: SettingsDocument
    groups: tuple[GroupReport, ...]
    proxies: tuple[ProxyStatus, ...]
    control_hosts: tuple[ControlHostStatus, ...]
    problems: tuple[str, ...]
