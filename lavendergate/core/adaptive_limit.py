"""Adaptive limit of the statements in flight to one member."""

import math
from collections import deque
from dataclasses import dataclass
from statistics import median_low

MIN_LIMIT = 1
# A window ends when it has enough samples for a median and some time has
# passed, so that one burst does not count as a trend.
WINDOW_SAMPLES = 20
WINDOW_S = 0.1
# Windows whose lowest median stands for the latency without a queue.
REMEMBERED_WINDOWS = 300
# A median of twice the lowest one means a queue as long as the service.
TOLERANCE = 2.0
LOWEST_GRADIENT = 0.5
SMOOTHING = 0.2


@dataclass(kw_only=True, slots=True)
class AdaptiveLimit:
    """Limit between 1 and the share, from the latency of a member.

    Parameters
    ----------
    share
        Upper bound, the connections that this proxy may hold.
    limit
        Current limit; fractions accumulate, drivers use `allowed`.
    """

    share: int
    limit: float
    _latencies: list[float]
    _medians: deque[float]
    _window_start: float
    _highest_in_flight: int

    @classmethod
    def create(cls, share: int, now: float) -> 'AdaptiveLimit':
        """Create a limit that starts at the share."""
        return cls(
            share=share,
            limit=max(share, MIN_LIMIT),
            _latencies=[],
            _medians=deque(maxlen=REMEMBERED_WINDOWS),
            _window_start=now,
            _highest_in_flight=0,
        )

    @property
    def allowed(self) -> int:
        """Statements that may be in flight."""
        return max(MIN_LIMIT, min(int(self.limit), self.share))

    def record(self, latency_ms: float, in_flight: int, now: float) -> None:
        """Record the end of a statement.

        Parameters
        ----------
        latency_ms
            Time on the member, waits for confirmation excluded.
        in_flight
            Statements that were in flight, this one included.
        now
            Monotonic clock, in seconds.
        """
        self._latencies.append(latency_ms)
        if in_flight > self._highest_in_flight:
            self._highest_in_flight = in_flight
        if len(self._latencies) < WINDOW_SAMPLES:
            return
        if now - self._window_start >= WINDOW_S:
            self._close_window(now)

    def _close_window(self, now: float) -> None:
        current = max(median_low(self._latencies), 1e-3)
        self._medians.append(current)
        gradient = TOLERANCE * min(self._medians) / current
        gradient = max(LOWEST_GRADIENT, min(1, gradient))
        # The square root leaves room to grow while the latency allows it.
        target = self.limit * gradient + math.sqrt(self.limit)
        # An idle member says nothing about a higher limit.
        if target < self.limit or self._highest_in_flight * 2 >= self.limit:
            self.limit += SMOOTHING * (target - self.limit)
        self.limit = max(MIN_LIMIT, min(self.limit, self.share))
        self._latencies.clear()
        self._highest_in_flight = 0
        self._window_start = now
