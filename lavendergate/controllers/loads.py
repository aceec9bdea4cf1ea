"""Load of the members, measured by the statements of this proxy."""

from collections.abc import Mapping
from statistics import median_low

import anyio

from lavendergate.core.adaptive_limit import AdaptiveLimit
from lavendergate.core.ejection import (
    EjectionState,
    LatencySample,
    RecentLowest,
    evaluate_ejections,
    way_ms,
)
from lavendergate.core.member_load import MEASURE_INTERVAL_S, MemberLoad
from lavendergate.core.types import GroupId, GroupView, Region, UpstreamId

_MS_PER_S = 1000
# Weight of a new latency in the moving average, so that about the last ten
# statements determine it.
_LATENCY_WEIGHT = 0.2
# Latency recorded for a statement without an answer, so that the next reads
# prefer another member for a while.
_FAILURE_LATENCY_MS = 500.0


class MemberLoads:
    """Counts statements in flight and measures latency, by member."""

    def __init__(self) -> None:
        self._loads: dict[UpstreamId, MemberLoad] = {}
        self._limits: dict[UpstreamId, AdaptiveLimit] = {}
        self._samples: dict[UpstreamId, list[float]] = {}
        self._measured_at: dict[UpstreamId, float] = {}
        self._lowest: dict[UpstreamId, RecentLowest] = {}
        self._ejections: dict[GroupId, EjectionState] = {}

    @property
    def by_member(self) -> Mapping[UpstreamId, MemberLoad]:
        """Load of each member that was used."""
        return self._loads

    def record_read(self, upstream_id: UpstreamId) -> None:
        """Record that a read is sent to a member, before it has a connection.

        Other reads do not measure the member's latency meanwhile.
        """
        self._load(upstream_id).routed_at = anyio.current_time()

    def begin_statement(self, upstream_id: UpstreamId) -> float:
        """Count a started statement.

        Returns
        -------
        float
            Start on the runtime's clock, in seconds, for `end_statement`.
        """
        self._load(upstream_id).in_flight += 1
        return anyio.current_time()

    def end_statement(self, upstream_id: UpstreamId, started_at: float) -> None:
        """Stop counting a statement and record its latency."""
        now = anyio.current_time()
        load = self._load(upstream_id)
        latency_ms = (now - started_at) * _MS_PER_S
        limit = self._limits.get(upstream_id)
        if limit is not None:
            limit.record(latency_ms, load.in_flight, now)
        load.in_flight -= 1
        self._record_latency(upstream_id, latency_ms)

    def record_failure(self, upstream_id: UpstreamId) -> None:
        """Record a statement to which a member gave no answer."""
        self._load(upstream_id).record_failure()
        self._record_latency(upstream_id, _FAILURE_LATENCY_MS)

    def record_answer(self, upstream_id: UpstreamId) -> None:
        """Record that a member answered a read."""
        self._load(upstream_id).record_answer()

    def set_slots(self, upstream_id: UpstreamId, slots: int) -> None:
        """Set how many statements the member executes at the same time."""
        self._load(upstream_id).slots = slots

    def in_flight_limit(self, upstream_id: UpstreamId, share: int) -> int:
        """Return how many statements this proxy may have in flight at a member.

        Parameters
        ----------
        share
            Connections granted to this proxy; the upper bound of the result.
        """
        limit = self._limits.get(upstream_id)
        if limit is None:
            limit = AdaptiveLimit.create(share, anyio.current_time())
            self._limits[upstream_id] = limit
        if limit.share != share:
            # A larger share raises the limit at once; if latency then grows,
            # the adaptive limit lowers it again.
            limit.limit = max(limit.limit + share - limit.share, 1)
            limit.share = share
        return min(limit.allowed, share) if share else 0

    def evaluate_ejection(
        self, view: GroupView, *, factor: float, region: Region
    ) -> None:
        """Eject slow replicas of a group, and readmit ejected ones.

        Parameters
        ----------
        view
            The group.
        factor
            Ratio to the median latency of the other members from which a
            replica is slow.
        region
            Region of this proxy. The way to a member in another region does
            not make it slow.
        """
        now = anyio.current_time()
        taken = {
            upstream_id: latencies
            for upstream_id in view.member_ids
            if (latencies := self._take_samples(upstream_id, now))
        }
        lowest_ms = {
            upstream_id: self._lowest[upstream_id].value_ms
            for upstream_id in view.member_ids & self._lowest.keys()
        }
        added_ms = way_ms(view, region, lowest_ms)
        samples = {
            upstream_id: LatencySample(
                median_ms=median_low(latencies) - added_ms.get(upstream_id, 0),
                count=len(latencies),
            )
            for upstream_id, latencies in taken.items()
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

    def _take_samples(self, upstream_id: UpstreamId, now: float) -> list[float]:
        latencies = self._samples.pop(upstream_id, [])
        if latencies:
            lowest = self._lowest.setdefault(
                upstream_id, RecentLowest(started_at=now)
            )
            lowest.record(min(latencies), now)
        return latencies

    def _load(self, upstream_id: UpstreamId) -> MemberLoad:
        load = self._loads.get(upstream_id)
        if load is None:
            load = MemberLoad()
            self._loads[upstream_id] = load
        return load

    def _record_latency(
        self, upstream_id: UpstreamId, latency_ms: float
    ) -> None:
        load = self._load(upstream_id)
        now = anyio.current_time()
        measured_at = self._measured_at.get(upstream_id, float('-inf'))
        self._measured_at[upstream_id] = now
        is_outdated = now - measured_at >= MEASURE_INTERVAL_S
        weight = 1 if is_outdated else _LATENCY_WEIGHT
        load.latency_ms += weight * (latency_ms - load.latency_ms)
        self._samples.setdefault(upstream_id, []).append(latency_ms)
