"""Order in which members are tried for a read."""

from dataclasses import dataclass

from lavendergate.core.types import LogPosition, UpstreamId

# A replica that lacked a position a moment ago may have it now.
APPLY_GUESS_S = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadCandidate:
    """A member as one proxy sees it.

    Parameters
    ----------
    latency_s
        Smoothed time of a statement, the way there and back included.
    in_flight
        Statements of this proxy that the member works on.
    slots
        Statements that the member executes at the same time.
    applied
        Applied position that the member reported last.
    applied_age_s
        Age of that report.
    is_suspect
        Whether the member failed since its last answer.
    """

    upstream_id: UpstreamId
    is_primary: bool
    latency_s: float
    in_flight: int
    slots: int
    applied: LogPosition | None
    applied_age_s: float
    is_suspect: bool

    @property
    def expected_s(self) -> float:
        """Time that one more statement is expected to take."""
        return self.latency_s * (1 + self.in_flight / max(1, self.slots))


def order_for_read(
    candidates: tuple[ReadCandidate, ...], position: LogPosition
) -> tuple[UpstreamId, ...]:
    """Return the members to try for a read, best first.

    Answers load with many reads on few slots: replicas take them as long as
    they hold the position, so that the primary's slots are left for writes.

    Parameters
    ----------
    candidates
        Members that take reads.
    position
        What the member must have applied.
    """
    ranked = sorted(candidates, key=lambda known: _rank(known, position))
    return tuple(candidate.upstream_id for candidate in ranked)


def _rank(
    candidate: ReadCandidate, position: LogPosition
) -> tuple[bool, bool, float]:
    lags = not candidate.is_primary and _is_behind(candidate, position)
    # Writes run on the primary only, so its slots count double.
    weight = 2 if candidate.is_primary else 1
    return (candidate.is_suspect, lags, candidate.expected_s * weight)


def _is_behind(candidate: ReadCandidate, position: LogPosition) -> bool:
    if candidate.applied is None or candidate.applied >= position:
        return False
    return candidate.applied_age_s < APPLY_GUESS_S
