"""Ejection of slow members with hysteresis."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from statistics import median_low

from lavendergate.core.types import UpstreamId

# Evaluations in a row that must find a member slow.
SLOW_EVALUATIONS = 3
MIN_SAMPLES = 5
# Smaller differences do not matter to callers.
MIN_DIFFERENCE_MS = 5.0
FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 80.0
# A member that stays fast for this long after its return starts over.
FORGIVEN_AFTER_S = 60.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LatencySample:
    """Latency of one member since the last evaluation.

    Parameters
    ----------
    median_ms
        Median latency, the distance to another region subtracted.
    count
        Number of statements that it stands for.
    """

    median_ms: float
    count: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _MemberState:
    slow_evaluations: int = 0
    ejected_until: float | None = None
    ejection_s: float = FIRST_EJECTION_S
    returned_at: float | None = None


_FRESH = _MemberState()


@dataclass(frozen=True, kw_only=True, slots=True)
class EjectionState:
    """State of ejection in one group."""

    members: Mapping[UpstreamId, _MemberState] = field(default_factory=dict)

    @property
    def ejected(self) -> frozenset[UpstreamId]:
        """Members that get no reads at present."""
        return frozenset(
            upstream_id
            for upstream_id, member in self.members.items()
            if member.ejected_until is not None
        )


def evaluate(
    state: EjectionState,
    samples: Mapping[UpstreamId, LatencySample],
    now: float,
    *,
    replicas: frozenset[UpstreamId],
    factor: float,
) -> EjectionState:
    """Eject members that are slow and return those whose time is over.

    Parameters
    ----------
    samples
        Latency of all members since the last evaluation.
    replicas
        Members that may be ejected. At least one of them stays.
    factor
        Ratio to the median of the other members from which a member is
        slow, from `ejection.factor`. A member counts as fast again below
        the square root of it.
    """
    members = {
        upstream_id: _evaluate_member(
            state.members.get(upstream_id, _FRESH),
            _slowness(upstream_id, samples),
            now,
            factor,
        )
        for upstream_id in replicas
    }
    staying = [
        upstream_id
        for upstream_id, member in members.items()
        if member.ejected_until is None
    ]
    if replicas and not staying:
        best = min(replicas, key=lambda one: _return_order(members, one))
        members[best] = _return(members[best], now)
    return EjectionState(members=members)


def _return_order(
    members: Mapping[UpstreamId, _MemberState],
    upstream_id: UpstreamId,
) -> tuple[float, UpstreamId]:
    return (members[upstream_id].ejected_until or 0, upstream_id)


def _slowness(
    upstream_id: UpstreamId,
    samples: Mapping[UpstreamId, LatencySample],
) -> float | None:
    """Return the ratio to the other members, None if it is not known."""
    own = samples.get(upstream_id)
    others = [
        sample.median_ms
        for other, sample in samples.items()
        if other != upstream_id and sample.count >= MIN_SAMPLES
    ]
    if own is None or own.count < MIN_SAMPLES or not others:
        return None
    reference = median_low(others)
    if own.median_ms - reference < MIN_DIFFERENCE_MS:
        return 1
    return own.median_ms / max(reference, 1e-3)


def _evaluate_member(
    member: _MemberState,
    slowness: float | None,
    now: float,
    factor: float,
) -> _MemberState:
    if member.ejected_until is not None:
        is_over = now >= member.ejected_until
        return _return(member, now) if is_over else member
    if slowness is None:
        return member
    if slowness >= factor:
        return _count_slow(member, now)
    returned_at = member.returned_at
    if returned_at is not None and now - returned_at >= FORGIVEN_AFTER_S:
        return _FRESH
    if slowness < factor**0.5:
        return replace(member, slow_evaluations=0)
    return member


def _count_slow(member: _MemberState, now: float) -> _MemberState:
    slow_evaluations = member.slow_evaluations + 1
    if slow_evaluations < SLOW_EVALUATIONS:
        return replace(member, slow_evaluations=slow_evaluations)
    return _MemberState(
        ejected_until=now + member.ejection_s,
        ejection_s=member.ejection_s,
    )


def _return(member: _MemberState, now: float) -> _MemberState:
    return _MemberState(
        ejection_s=min(member.ejection_s * 2, MAX_EJECTION_S),
        returned_at=now,
        # One slow evaluation less is enough the second time.
        slow_evaluations=1,
    )
