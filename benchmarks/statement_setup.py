"""Deployments, parameters and results of the statement simulation."""

from dataclasses import dataclass, field

from lavendergate.core.admission import (
    AdmissionRequest,
    QueueClass,
)
from lavendergate.core.types import (
    GroupId,
    Region,
    UpstreamId,
)

GROUP = GroupId('group')
REGIONS = tuple(Region(name) for name in ('here', 'there', 'elsewhere'))
MEMBERS = tuple(UpstreamId(name) for name in ('primary', 'r1', 'r2'))
PRIMARY = MEMBERS[0]
SERVICE_S = 0.004
DEADLINE_S = 2.0
PROXIES = 6
SESSIONS = 200


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """Size, latencies and mix of one deployment.

    Parameters
    ----------
    slots
        Statements that a member executes at the same time.
    connections
        Connection limit of each member.
    member_ms
        One-way network latency between proxy and member, in milliseconds.
    caller_ms
        One-way network latency between caller and proxy, in milliseconds.
    max_age_ms
        Bound of the bounded reads, in milliseconds.
    mix
        Share of each queue class in the statements; the shares add up to 1.
    """

    name: str
    slots: int
    connections: int
    member_ms: float
    caller_ms: float
    max_age_ms: int
    mix: dict[QueueClass, float]


GLASREINIGUNG = Deployment(
    name='Glasreinigung',
    slots=2,
    connections=16,
    member_ms=0.5,
    caller_ms=1,
    max_age_ms=2000,
    mix={
        QueueClass.stale: 0.70,
        QueueClass.session: 0.15,
        QueueClass.write: 0.12,
        QueueClass.billing: 0.03,
    },
)
PALMETTO = Deployment(
    name='Palmetto',
    slots=3,
    connections=40,
    member_ms=1.5,
    caller_ms=3,
    max_age_ms=5000,
    mix={
        QueueClass.stale: 0.45,
        QueueClass.session: 0.30,
        QueueClass.write: 0.25,
    },
)


@dataclass(frozen=True, kw_only=True)
class Setup:
    """Parameters of one run.

    Parameters
    ----------
    load
        Offered load in multiples of the capacity of all slots of the group.
    lags
        Replication lag of each replica, in seconds.
    region_ms
        One-way latency between regions in milliseconds, with one member and a
        third of the proxies in each region; None if all are in one region.
    entry_proxies
        Indexes of the proxies that have callers.
    duration_s
        Virtual time during which statements arrive, in seconds.
    uses_admission
        Whether the proxies use the admission queue and the adaptive limits.
    """

    deployment: Deployment
    load: float
    lags: tuple[float, float]
    duration_s: float
    uses_admission: bool = False
    region_ms: float | None = None
    entry_proxies: tuple[int, ...] = tuple(range(PROXIES))

    def proxy_region(self, proxy: int) -> Region:
        """Return the region of a proxy."""
        return REGIONS[0 if self.region_ms is None else proxy % len(REGIONS)]

    def member_region(self, name: UpstreamId) -> Region:
        """Return the region of a member."""
        index = 0 if self.region_ms is None else MEMBERS.index(name)
        return REGIONS[index]

    def one_way_s(self, proxy: int, name: UpstreamId) -> float:
        """Return the network latency between a proxy and a member."""
        one_way_ms = self.deployment.member_ms
        if self.proxy_region(proxy) != self.member_region(name):
            one_way_ms += self.region_ms or 0
        return one_way_ms / 1000


@dataclass(kw_only=True)
class Statement:
    """One statement of a caller.

    Parameters
    ----------
    session, proxy
        Indexes of the session and of the proxy that serves it.
    arrived_at
        Virtual time at which the caller sent the statement, in seconds.
    service_s
        Execution time on the member, in seconds.
    position
        Position in the log of a committed write; 0 if there is none.
    """

    kind: QueueClass
    session: int
    proxy: int
    arrived_at: float
    service_s: float
    admission: AdmissionRequest | None = None
    position: int = 0


@dataclass(kw_only=True)
class Result:
    """Counts and latencies of one run.

    Parameters
    ----------
    replica_reads
        Reads that a replica answered in time.
    stale_answers
        Answers that were older than the read allowed.
    """

    latencies_ms: list[float] = field(default_factory=list)
    done: dict[QueueClass, int] = field(default_factory=dict)
    offered: dict[QueueClass, int] = field(default_factory=dict)
    replica_reads: int = 0
    stale_answers: int = 0
    duration_s: float = 0

    @property
    def reads(self) -> int:
        """Number of reads that were answered before the deadline."""
        return sum(
            self.done.get(kind, 0)
            for kind in (QueueClass.stale, QueueClass.session)
        )

    @property
    def goodput(self) -> float:
        """Statements answered before the deadline, per second."""
        return sum(self.done.values()) / self.duration_s
