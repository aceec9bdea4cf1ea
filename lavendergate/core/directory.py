"""State of the directory of announced upstreams and live hosts."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from lavendergate.core.records import HostRecord
from lavendergate.core.reports import Announcement
from lavendergate.core.types import HostId, UpstreamId

ANNOUNCEMENT_EXPIRY_S = 2.0
HOST_LEASE_S = 3.0

# A version that changes answers all waiting heartbeats with the reports of
# all groups, 4.8 KB at three groups. Proxies learn positions faster from
# their own statements, so positions alone change the version twice a second:
# ten times a second would take four times the 12 KB/s that control may use.
POSITION_INTERVAL_S = 0.5

# Four announcement intervals or two heartbeats: a host that receives nothing
# for so long is itself cut off, since not all senders fail at once.
ISOLATION_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberEntry:
    """Last announcement of an upstream and when it arrived."""

    announcement: Announcement
    seen_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class HostEntry:
    """A proxy host whose heartbeat lease is current."""

    host: HostRecord
    is_finished: bool
    seen_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Directory:
    """Announced upstreams and live hosts.

    Parameters
    ----------
    version
        Number of the last change.
    received_at
        When the last message of another host or upstream arrived.
    resumed_at
        Since when messages arrive without a gap. Expiry is counted from here
        at the earliest, so the end of a partition expires no one at once.
    bumped_at
        When the version changed last.
    has_pending_status
        Whether a change of status waits for the next version.
    """

    version: int
    received_at: float
    resumed_at: float
    bumped_at: float
    has_pending_status: bool = False
    members: Mapping[UpstreamId, MemberEntry] = field(default_factory=dict)
    hosts: Mapping[HostId, HostEntry] = field(default_factory=dict)

    def is_isolated(self, now: float) -> bool:
        """Whether nothing arrived for so long that this host is cut off."""
        return now - self.received_at >= ISOLATION_S

    def live_hosts(self) -> tuple[HostRecord, ...]:
        """Return the hosts whose lease is current."""
        return tuple(entry.host for entry in self.hosts.values())
