"""Order in which the members are tried for a read."""

from dataclasses import dataclass

from lavendergate.core.types import LogPosition, UpstreamId

# Maximum age in seconds of a report for which a replica that had not applied
# the position still counts as behind. After this time it may have caught up.
LAG_REPORT_VALIDITY_S = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadCandidate:
    """State of a member as measured by one proxy.

    Parameters
    ----------
    latency_s
        Smoothed latency of a statement in seconds, including the network
        round trip.
    in_flight
        Number of statements of this proxy in flight to the member.
    slots
        Number of statements that the member executes concurrently.
    applied
        Applied position that the member reported last; None if it has not
        reported any.
    applied_age_s
        Age of that report, in seconds.
    is_suspect
        Whether a request to the member failed after its last answer.
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
        """Expected latency of an additional statement, in seconds."""
        return self.latency_s * (1 + self.in_flight / max(1, self.slots))


def order_for_read(
    candidates: tuple[ReadCandidate, ...], position: LogPosition
) -> tuple[UpstreamId, ...]:
    """Return the members to try for a read, best first.

    Under a load of many reads on few slots, reads go to the replicas that
    have applied the position, which leaves the slots of the primary to
    writes.

    Parameters
    ----------
    candidates
        Members that accept reads.
    position
        Position that the member must have applied.
    """
    ranked = sorted(candidates, key=lambda member: _rank(member, position))
    return tuple(candidate.upstream_id for candidate in ranked)


def _rank(
    candidate: ReadCandidate, position: LogPosition
) -> tuple[bool, bool, float]:
    is_behind = not candidate.is_primary and _is_behind(candidate, position)
    # Only the primary runs writes, so its expected latency counts
    # double to leave slots for them.
    weight = 2 if candidate.is_primary else 1
    return (candidate.is_suspect, is_behind, candidate.expected_s * weight)


def _is_behind(candidate: ReadCandidate, position: LogPosition) -> bool:
    if candidate.applied is None or candidate.applied >= position:
        return False
    return candidate.applied_age_s < LAG_REPORT_VALIDITY_S
