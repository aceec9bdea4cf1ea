"""Deployments, settings and results of the event model."""

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
REGION = Region('region')
MEMBERS = tuple(UpstreamId(name) for name in ('primary', 'r1', 'r2'))
PRIMARY = MEMBERS[0]
SERVICE_S = 0.004
DEADLINE_S = 2.0
PROXIES = 6
SESSIONS = 200


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """Size, latencies and mix of one deployment."""

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
    """One run: load in multiples of the slots' capacity, lags in seconds."""

    deployment: Deployment
    load: float
    lags: tuple[float, float]
    duration_s: float
    admits: bool = False


@dataclass(kw_only=True)
class Statement:
    """One statement on its way."""

    kind: QueueClass
    session: int
    proxy: int
    arrived: float
    service_s: float
    admission: AdmissionRequest | None = None
    position: int = 0


@dataclass(kw_only=True)
class Result:
    """Counts and latencies of one run."""

    latencies_ms: list[float] = field(default_factory=list)
    done: dict[QueueClass, int] = field(default_factory=dict)
    offered: dict[QueueClass, int] = field(default_factory=dict)
    replica_reads: int = 0
    stale_answers: int = 0
    duration_s: float = 0

    @property
    def reads(self) -> int:
        """Reads that were answered in time."""
        return sum(
            self.done.get(kind, 0)
            for kind in (QueueClass.stale, QueueClass.session)
        )

    @property
    def goodput(self) -> float:
        """Statements answered in time, per second."""
        return sum(self.done.values()) / self.duration_s
