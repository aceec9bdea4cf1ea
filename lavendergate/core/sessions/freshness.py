"""Log position that a read must include.

A position that a primary reported includes at least every write acknowledged
before the request for it was sent. A read may therefore be served by any member
that has applied a position whose request was sent late enough.
"""

from collections import deque
from dataclasses import dataclass, field

from lavendergate.core.routes import Consistency
from lavendergate.core.types import LogPosition

# Age in seconds after which samples are dropped. It exceeds the staleness bound
# of every route in use.
SAMPLE_AGE_LIMIT_S = 10.0
_MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class PositionSample:
    """Log position that a primary reported.

    Parameters
    ----------
    asked_at
        Time when the request for the position was sent, in seconds, on a
        clock that also runs while the host is suspended.
    """

    position: LogPosition
    asked_at: float


@dataclass(kw_only=True, slots=True)
class PositionHistory:
    """Recent log positions of the primary of one service."""

    _samples: deque[PositionSample] = field(default_factory=deque)

    @property
    def newest_asked_at(self) -> float:
        """Time when the request of the newest sample was sent, in seconds."""
        return self._samples[-1].asked_at if self._samples else float('-inf')

    def add(self, sample: PositionSample) -> None:
        """Add a sample, unless a later request was already answered."""
        samples = self._samples
        if sample.asked_at < self.newest_asked_at:
            return
        samples.append(sample)
        oldest = sample.asked_at - SAMPLE_AGE_LIMIT_S
        while samples[0].asked_at < oldest:
            samples.popleft()

    def forget_beyond(self, position: LogPosition) -> None:
        """Remove samples beyond `position`, where the log was truncated."""
        self._samples = deque(
            sample for sample in self._samples if sample.position <= position
        )

    def since(self, asked_at: float) -> PositionSample | None:
        """Return the oldest sample that was requested at this time or later.

        A replica is most likely to have applied the oldest of the positions.
        """
        for sample in self._samples:
            if sample.asked_at >= asked_at:
                return sample
        return None


def earliest_sample_time(
    consistency: Consistency, max_staleness_ms: int, arrived_at: float
) -> float:
    """Return the earliest request time of a position that a read may use.

    Parameters
    ----------
    consistency
        Consistency of the route.
    max_staleness_ms
        Maximum age in milliseconds of commits that the read may miss.
    arrived_at
        Arrival time of the read or of its transaction, in seconds.
    """
    match consistency:
        case Consistency.primary:
            return arrived_at
        case Consistency.bounded_staleness | Consistency.read_own_writes:
            return arrived_at - max_staleness_ms / _MS_PER_S


def required_position(
    sample: PositionSample, own: LogPosition | None
) -> LogPosition:
    """Return the position that a member must have applied to serve a read.

    Parameters
    ----------
    own
        Position of the session's last write, if any.
    """
    return sample.position if own is None else max(sample.position, own)
