"""Ejection of slow members with hysteresis."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from statistics import median_low

from lavendergate.core.types import GroupView, Region, UpstreamId

# Number of consecutive slow evaluations after which a member is ejected.
SLOW_EVALUATIONS = 3
MIN_SAMPLES = 5
# A member is not slow if its median exceeds that of the others by less than
# this: callers do not notice the difference.
MIN_DIFFERENCE_MS = 5.0
FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 80.0
# After this time without ejection since its readmission, the duration of the
# member's next ejection is `FIRST_EJECTION_S` again.
BACKOFF_RESET_S = 60.0
# The lowest latency of the last one to two such periods counts as that of a
# member without a queue.
LOWEST_PERIOD_S = 30.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LatencySample:
    """Latency of one member since the last evaluation.

    Parameters
    ----------
    median_ms
        Median latency in milliseconds, after subtraction of the network
        latency to another region.
    count
        Number of statements that were measured.
    """

    median_ms: float
    count: int


@dataclass(kw_only=True, slots=True)
class RecentLowest:
    """Lowest latency of a member in the present and the last period.

    Parameters
    ----------
    started_at
        Start of the present period, in seconds.
    """

    started_at: float
    _present_ms: float = math.inf
    _last_ms: float = math.inf

    @property
    def value_ms(self) -> float:
        """Lowest latency in milliseconds; infinite before the first."""
        return min(self._present_ms, self._last_ms)

    def record(self, latency_ms: float, now: float) -> None:
        """Record a latency, and begin another period when one has ended."""
        if now - self.started_at >= LOWEST_PERIOD_S:
            self.started_at = now
            self._last_ms, self._present_ms = self._present_ms, math.inf
        self._present_ms = min(self._present_ms, latency_ms)


@dataclass(frozen=True, kw_only=True, slots=True)
class _MemberState:
    slow_evaluations: int = 0
    ejected_until: float | None = None
    ejection_s: float = FIRST_EJECTION_S
    readmitted_at: float | None = None


_INITIAL_STATE = _MemberState()


@dataclass(frozen=True, kw_only=True, slots=True)
class EjectionState:
    """Ejection state of the members of one group."""

    members: Mapping[UpstreamId, _MemberState] = field(default_factory=dict)

    @property
    def ejected(self) -> frozenset[UpstreamId]:
        """Members that are ejected and get no reads at present."""
        return frozenset(
            upstream_id
            for upstream_id, member in self.members.items()
            if member.ejected_until is not None
        )


def way_ms(
    view: GroupView, region: Region, lowest_ms: Mapping[UpstreamId, float]
) -> dict[UpstreamId, float]:
    """Return the additional latency of the members in other regions.

    It is estimated as the difference between a member's lowest latency and
    that of the members in the proxy's region, or of all if none is there. A
    member in another region that has always been slow looks like one that is
    far away.

    Parameters
    ----------
    region
        Region of the proxy.
    lowest_ms
        Lowest recent latency by member, in milliseconds.
    """
    near_ms = [
        lowest_ms[member.upstream_id]
        for member in view.members
        if member.region == region and member.upstream_id in lowest_ms
    ]
    base_ms = min(near_ms or lowest_ms.values(), default=0)
    return {
        member.upstream_id: max(0, lowest_ms[member.upstream_id] - base_ms)
        for member in view.members
        if member.region != region and member.upstream_id in lowest_ms
    }


def evaluate_ejections(
    state: EjectionState,
    samples: Mapping[UpstreamId, LatencySample],
    now: float,
    *,
    replicas: frozenset[UpstreamId],
    factor: float,
) -> EjectionState:
    """Eject slow members and readmit those whose ejection has ended.

    Parameters
    ----------
    samples
        Latency by member since the last evaluation.
    replicas
        Members that may be ejected. At least one of them always stays
        available.
    factor
        Ratio of a member's latency to the median of the other members from
        which on the member counts as slow, from the setting
        `ejection.factor`. For hysteresis, the member counts as fast again
        only below the square root of this ratio.
    """
    members = {
        upstream_id: _evaluate_member(
            state.members.get(upstream_id, _INITIAL_STATE),
            _latency_ratio(upstream_id, samples),
            now,
            factor,
        )
        for upstream_id in replicas
    }
    available = [
        upstream_id
        for upstream_id, member in members.items()
        if member.ejected_until is None
    ]
    if replicas and not available:
        earliest = min(
            replicas,
            key=lambda candidate: _readmission_order(members, candidate),
        )
        members[earliest] = _readmit(members[earliest], now)
    return EjectionState(members=members)


def _readmission_order(
    members: Mapping[UpstreamId, _MemberState],
    upstream_id: UpstreamId,
) -> tuple[float, UpstreamId]:
    return (members[upstream_id].ejected_until or 0, upstream_id)


def _latency_ratio(
    upstream_id: UpstreamId,
    samples: Mapping[UpstreamId, LatencySample],
) -> float | None:
    """Return the ratio of a member's latency to the other members' median.

    None means that there are too few samples.
    """
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
    latency_ratio: float | None,
    now: float,
    factor: float,
) -> _MemberState:
    if member.ejected_until is not None:
        has_ended = now >= member.ejected_until
        return _readmit(member, now) if has_ended else member
    if latency_ratio is None:
        return member
    if latency_ratio >= factor:
        return _record_slow_evaluation(member, now)
    readmitted_at = member.readmitted_at
    if readmitted_at is not None and now - readmitted_at >= BACKOFF_RESET_S:
        return _INITIAL_STATE
    if latency_ratio < factor**0.5:
        return replace(member, slow_evaluations=0)
    return member


def _record_slow_evaluation(member: _MemberState, now: float) -> _MemberState:
    slow_evaluations = member.slow_evaluations + 1
    if slow_evaluations < SLOW_EVALUATIONS:
        return replace(member, slow_evaluations=slow_evaluations)
    return _MemberState(
        ejected_until=now + member.ejection_s,
        ejection_s=member.ejection_s,
    )


def _readmit(member: _MemberState, now: float) -> _MemberState:
    return _MemberState(
        ejection_s=min(member.ejection_s * 2, MAX_EJECTION_S),
        readmitted_at=now,
        # A readmitted member is ejected again after `SLOW_EVALUATIONS` - 1
        # slow evaluations.
        slow_evaluations=1,
    )
