"""Which position of a log a read must include.

A position that a primary reported is a lower bound for what was
acknowledged before the question left. A read may be served from any member
that holds a position whose question left late enough.
"""

from collections import deque
from dataclasses import dataclass, field

from lavendergate.core.routes import Consistency
from lavendergate.core.types import LogPosition

# Older samples serve no bound of today's routes.
SAMPLE_AGE_LIMIT_S = 10.0
_MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class PositionSample:
    """A primary's position.

    Parameters
    ----------
    asked_at
        When the question left this host, on a clock that also runs while
        the host is suspended, in seconds.
    """

    position: LogPosition
    asked_at: float


@dataclass(kw_only=True, slots=True)
class PositionHistory:
    """Recent positions of the primary of one service."""

    _samples: deque[PositionSample] = field(default_factory=deque)

    @property
    def newest_asked_at(self) -> float:
        """When the question of the newest sample left."""
        return self._samples[-1].asked_at if self._samples else float('-inf')

    def add(self, sample: PositionSample) -> None:
        """Record a sample, unless a later question is answered already."""
        samples = self._samples
        if sample.asked_at < self.newest_asked_at:
            return
        samples.append(sample)
        oldest = sample.asked_at - SAMPLE_AGE_LIMIT_S
        while samples[0].asked_at < oldest:
            samples.popleft()

    def forget_beyond(self, position: LogPosition) -> None:
        """Drop samples of a log that was rolled back to a position."""
        self._samples = deque(
            sample for sample in self._samples if sample.position <= position
        )

    def since(self, asked_at: float) -> PositionSample | None:
        """Return the oldest sample that was asked at a time or later.

        The oldest one is the easiest for a replica to hold.
        """
        for sample in self._samples:
            if sample.asked_at >= asked_at:
                return sample
        return None


def sample_needed_since(
    consistency: Consistency, max_staleness_ms: int, arrived_at: float
) -> float:
    """Return how old a position may be for a read.

    Parameters
    ----------
    consistency
        Consistency of the route.
    max_staleness_ms
        Age of commits that the read may lack.
    arrived_at
        When the read, or its transaction, arrived, in seconds.
    """
    match consistency:
        case Consistency.primary:
            return arrived_at
        case Consistency.bounded_staleness | Consistency.read_own_writes:
            return arrived_at - max_staleness_ms / _MS_PER_S


def required_position(
    sample: PositionSample, own: LogPosition | None
) -> LogPosition:
    """Return the position that a read's member must hold."""
    return sample.position if own is None else max(sample.position, own)
