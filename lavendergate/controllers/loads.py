"""Load of the members as this proxy sees it."""

from collections.abc import Mapping
from statistics import median_low

import anyio

from lavendergate.core.adaptive_limit import AdaptiveLimit
from lavendergate.core.ejection import (
    EjectionState,
    LatencySample,
    evaluate_ejections,
)
from lavendergate.core.member_load import MemberLoad
from lavendergate.core.types import GroupId, GroupView, UpstreamId

_MS_PER_S = 1000
# Weight of a new latency; about the last ten statements decide.
_LATENCY_WEIGHT = 0.2
# A failure counts as one slow statement, so that the next reads prefer
# another member for a while.
_FAILURE_LATENCY_MS = 500.0


class MemberLoads:
    """Counts statements in flight and follows latencies by member."""

    def __init__(self) -> None:
        self._loads: dict[UpstreamId, MemberLoad] = {}
        self._limits: dict[UpstreamId, AdaptiveLimit] = {}
        self._samples: dict[UpstreamId, list[float]] = {}
        self._ejections: dict[GroupId, EjectionState] = {}

    @property
    def by_member(self) -> Mapping[UpstreamId, MemberLoad]:
        """Load of each member that was used."""
        return self._loads

    def begin(self, upstream_id: UpstreamId) -> float:
        """Count a statement in; return its start on the runtime's clock."""
        self._load(upstream_id).in_flight += 1
        return anyio.current_time()

    def end(self, upstream_id: UpstreamId, started_at: float) -> None:
        """Count a statement out and note its latency."""
        now = anyio.current_time()
        load = self._load(upstream_id)
        latency_ms = (now - started_at) * _MS_PER_S
        limit = self._limits.get(upstream_id)
        if limit is not None:
            limit.record(latency_ms, load.in_flight, now)
        load.in_flight -= 1
        self._note(upstream_id, latency_ms)

    def note_failure(self, upstream_id: UpstreamId) -> None:
        """Note that a member gave no answer."""
        self._note(upstream_id, _FAILURE_LATENCY_MS)

    def set_slots(self, upstream_id: UpstreamId, slots: int) -> None:
        """Set the statements that the member executes at the same time."""
        self._load(upstream_id).slots = slots

    def allowed(self, upstream_id: UpstreamId, share: int) -> int:
        """Return the statements that may be in flight within a share."""
        limit = self._limits.get(upstream_id)
        if limit is None:
            limit = AdaptiveLimit.create(share, anyio.current_time())
            self._limits[upstream_id] = limit
        if limit.share != share:
            # A larger share is tried at once; latency takes it back.
            limit.limit = max(limit.limit + share - limit.share, 1)
            limit.share = share
        return min(limit.allowed, share) if share else 0

    def evaluate_ejection(self, view: GroupView, *, factor: float) -> None:
        """Eject slow replicas of a group, or return them."""
        now = anyio.current_time()
        samples = {
            upstream_id: LatencySample(
                median_ms=median_low(latencies), count=len(latencies)
            )
            for upstream_id in view.member_ids
            if (latencies := self._samples.pop(upstream_id, None))
        }
        state = evaluate_ejections(
            self._ejections.get(view.group_id, EjectionState()),
            samples,
            now,
            replicas=view.member_ids - {view.primary},
            factor=factor,
        )
        self._ejections[view.group_id] = state
        for upstream_id in view.member_ids:
            self._load(upstream_id).is_ejected = upstream_id in state.ejected

    def _load(self, upstream_id: UpstreamId) -> MemberLoad:
        load = self._loads.get(upstream_id)
        if load is None:
            load = MemberLoad()
            self._loads[upstream_id] = load
        return load

    def _note(self, upstream_id: UpstreamId, latency_ms: float) -> None:
        load = self._load(upstream_id)
        load.latency_ms += _LATENCY_WEIGHT * (latency_ms - load.latency_ms)
        self._samples.setdefault(upstream_id, []).append(latency_ms)
