"""Load of the members as this proxy sees it."""

from collections.abc import Mapping

import anyio

from lavendergate.core.member_load import MemberLoad
from lavendergate.core.types import UpstreamId

_MS_PER_S = 1000
# Weight of a new latency; about the last ten statements decide.
_LATENCY_WEIGHT = 0.2
# A failure counts as one slow statement, so that the next reads prefer
# another member for a while.
_FAILURE_LATENCY_MS = 500.0


class MemberLoads:
    """Counts statements in flight and smooths latencies by member."""

    def __init__(self) -> None:
        self._loads: dict[UpstreamId, MemberLoad] = {}

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
        load = self._load(upstream_id)
        load.in_flight -= 1
        self._smooth(load, (anyio.current_time() - started_at) * _MS_PER_S)

    def note_failure(self, upstream_id: UpstreamId) -> None:
        """Note that a member gave no answer."""
        self._smooth(self._load(upstream_id), _FAILURE_LATENCY_MS)

    def set_slots(self, upstream_id: UpstreamId, slots: int) -> None:
        """Set the slots that the member has for this proxy."""
        self._load(upstream_id).slots = slots

    def _load(self, upstream_id: UpstreamId) -> MemberLoad:
        load = self._loads.get(upstream_id)
        if load is None:
            load = MemberLoad()
            self._loads[upstream_id] = load
        return load

    def _smooth(self, load: MemberLoad, latency_ms: float) -> None:
        load.latency_ms += _LATENCY_WEIGHT * (latency_ms - load.latency_ms)
