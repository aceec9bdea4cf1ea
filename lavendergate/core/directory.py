"""State of the directory of announced upstreams and live hosts."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from lavendergate.core.records import HostRecord
from lavendergate.core.reports import Announcement
from lavendergate.core.types import HostId, UpstreamId

ANNOUNCEMENT_EXPIRY_S = 2.0
HOST_LEASE_S = 3.0

# A new version is sent in the answers to all waiting heartbeats, with the
# reports of all groups: 4.8 KB for three groups. Proxies learn positions faster
# from their own statements, so changed positions alone cause a new version only
# twice a second. Ten versions a second would be 48 KB/s, four times the 12 KB/s
# that control traffic is allowed.
POSITION_INTERVAL_S = 0.5

# Four announcement intervals or two heartbeat intervals. A host that receives
# nothing for this long is itself isolated, because not all senders fail at
# once.
ISOLATION_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberEntry:
    """Last announcement of an upstream, and when it arrived."""

    announcement: Announcement
    seen_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class HostEntry:
    """A proxy host that renews its lease by heartbeats.

    Parameters
    ----------
    is_drained
        Whether the host is draining and has no open connection left.
    seen_at
        When the last heartbeat arrived.
    """

    host: HostRecord
    is_drained: bool
    seen_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Directory:
    """Announced upstreams and live hosts.

    All times are monotonic, in seconds.

    Parameters
    ----------
    version
        Number that increases with each published change.
    received_at
        When the last message from another host or upstream arrived.
    resumed_at
        Since when messages have arrived without a gap. An entry expires only
        when its time limit has also passed since then, so none expires right
        when a partition ends.
    version_changed_at
        When the version last changed.
    has_pending_status
        Whether a changed status has not been published in a version yet.
    members
        Last announcement of each upstream, including spares: upstreams that
        are announced but are not committed members of their group.
    """

    version: int
    received_at: float
    resumed_at: float
    version_changed_at: float
    has_pending_status: bool = False
    members: Mapping[UpstreamId, MemberEntry] = field(default_factory=dict)
    hosts: Mapping[HostId, HostEntry] = field(default_factory=dict)

    def is_isolated(self, now: float) -> bool:
        """Whether this host is isolated: nothing arrived for `ISOLATION_S`."""
        return now - self.received_at >= ISOLATION_S

    def live_hosts(self) -> tuple[HostRecord, ...]:
        """Return the hosts in the directory.

        Hosts whose lease has expired are removed by
        `lavendergate.core.membership.expire`.
        """
        return tuple(entry.host for entry in self.hosts.values())
