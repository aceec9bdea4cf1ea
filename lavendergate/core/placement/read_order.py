"""Order in which the members are tried for a read."""

from dataclasses import dataclass

from lavendergate.core.types import LogPosition, UpstreamId

# Maximum age in seconds of a report for which a replica that had not applied
# the position still counts as behind. After this time it may have caught up.
LAG_REPORT_VALIDITY_S = 0.1
# Time that a failed statement costs its caller, in seconds: the retry at
# another member, or the repetition of a whole transaction.
_FAILURE_COST_S = 0.5
# Only the primary runs writes, so its expected latency counts double to leave
# slots for them.
_PRIMARY_FACTOR = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadCandidate:
    """State of a member as measured by one proxy.

    Parameters
    ----------
    latency_s
        Smoothed latency of a statement in seconds, including the network
        round trip and, through a home, the wait there.
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
    is_expected_behind
        Whether the member is expected to lag behind the read's position.
    refuses
        Whether it refused reads of older positions lately.
    pace
        Fraction of its slots that the member can use at present, from 0 to 1.
    error_share
        Fraction of its statements that failed lately, from 0 to 1.
    is_withheld
        Whether this read exceeds the share of the member at its pace.
    """

    upstream_id: UpstreamId
    is_primary: bool
    latency_s: float
    in_flight: int
    slots: int
    applied: LogPosition | None
    applied_age_s: float
    is_suspect: bool
    is_expected_behind: bool = False
    refuses: bool = False
    pace: float = 1
    error_share: float = 0
    is_withheld: bool = False

    @property
    def expected_s(self) -> float:
        """Expected cost of an additional statement, in seconds."""
        usable_slots = max(1, self.slots * self.pace)
        latency_s = self.latency_s * (1 + self.in_flight / usable_slots)
        return latency_s + self.error_share * _FAILURE_COST_S

    def is_behind(self, position: LogPosition) -> bool:
        """Return whether the member would refuse a read of a position."""
        if self.is_primary:
            return False
        if self.applied is not None and self.applied >= position:
            return False
        if self.is_expected_behind:
            return True
        if self.applied is None:
            return False
        return self.applied_age_s < LAG_REPORT_VALIDITY_S


def order_for_read(
    candidates: tuple[ReadCandidate, ...], position: LogPosition
) -> tuple[UpstreamId, ...]:
    """Return the members to try for a read, best first.

    Under a load of many reads on few slots, reads go to the replicas that
    have applied the position, which leaves the slots of the primary to
    writes. A replica above its pace comes after the others, unless all
    replicas are: the primary would get their reads then. A replica that
    refuses the position is left out while another member can run the read; to
    ask it after the primary had no room only adds to the load.

    Parameters
    ----------
    candidates
        Members that accept reads.
    position
        Position that the member must have applied.
    """
    is_any_at_pace = any(
        not (
            member.is_primary
            or member.is_withheld
            or member.is_suspect
            or member.is_behind(position)
        )
        for member in candidates
    )
    usable = tuple(
        member
        for member in candidates
        if not (member.refuses and member.is_behind(position))
    )
    if all(member.is_suspect for member in usable):
        usable = candidates
    ranked = sorted(
        usable,
        key=lambda member: _rank(member, position, honors_pace=is_any_at_pace),
    )
    return tuple(candidate.upstream_id for candidate in ranked)


def _rank(
    candidate: ReadCandidate, position: LogPosition, *, honors_pace: bool
) -> tuple[bool, bool, bool, float]:
    factor = _PRIMARY_FACTOR if candidate.is_primary else 1
    return (
        candidate.is_suspect,
        candidate.is_behind(position),
        honors_pace and candidate.is_withheld,
        candidate.expected_s * factor,
    )
