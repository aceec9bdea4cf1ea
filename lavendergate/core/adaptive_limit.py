"""Adaptive concurrency limit for the statements in flight to one member."""

import math
from collections import deque
from dataclasses import dataclass
from statistics import median_low

MIN_LIMIT = 1
# A measurement window ends when it has enough samples for a median and has
# lasted long enough, so that a single burst is not taken for a trend.
WINDOW_SAMPLES = 20
WINDOW_S = 0.1
# Number of past windows. The lowest of their medians is the baseline: the
# latency of the member without a queue.
BASELINE_WINDOWS = 300
# A median of twice the baseline means that a statement waits in a queue for
# as long as it runs. Above this ratio the gradient falls below 1.
TOLERANCE = 2.0
MIN_GRADIENT = 0.5
SMOOTHING = 0.2


@dataclass(kw_only=True, slots=True)
class AdaptiveLimit:
    """Limit between 1 and the share, derived from the latency of a member.

    It is 1 if the share is 0.

    Parameters
    ----------
    share
        Upper bound: number of connections that this proxy may hold to the
        member.
    limit
        Current limit. It is fractional so that small changes accumulate;
        controllers use the integer `allowed`.
    """

    share: int
    limit: float
    _latencies: list[float]
    _medians: deque[float]
    _window_start: float
    _max_in_flight: int

    @classmethod
    def create(cls, share: int, now: float) -> 'AdaptiveLimit':
        """Create a limit whose initial value is the share."""
        return cls(
            share=share,
            limit=max(share, MIN_LIMIT),
            _latencies=[],
            _medians=deque(maxlen=BASELINE_WINDOWS),
            _window_start=now,
            _max_in_flight=0,
        )

    @property
    def allowed(self) -> int:
        """Maximum number of statements in flight."""
        return max(MIN_LIMIT, min(int(self.limit), self.share))

    def record(self, latency_ms: float, in_flight: int, now: float) -> None:
        """Record the latency of a completed statement.

        Parameters
        ----------
        latency_ms
            Execution time on the member in milliseconds, without the wait for
            the confirmation of a write.
        in_flight
            Number of statements that were in flight, including this one.
        now
            Monotonic clock, in seconds.
        """
        self._latencies.append(latency_ms)
        if in_flight > self._max_in_flight:
            self._max_in_flight = in_flight
        if len(self._latencies) < WINDOW_SAMPLES:
            return
        if now - self._window_start >= WINDOW_S:
            self._close_window(now)

    def _close_window(self, now: float) -> None:
        median_ms = max(median_low(self._latencies), 1e-3)
        self._medians.append(median_ms)
        gradient = TOLERANCE * min(self._medians) / median_ms
        gradient = max(MIN_GRADIENT, min(1, gradient))
        # The square root is headroom, which lets the limit grow while the
        # latency stays near the baseline.
        target = self.limit * gradient + math.sqrt(self.limit)
        # The limit is raised only if at least half of it was used: latency on
        # an idle member does not show that a higher limit is safe.
        if target < self.limit or self._max_in_flight * 2 >= self.limit:
            self.limit += SMOOTHING * (target - self.limit)
        self.limit = max(MIN_LIMIT, min(self.limit, self.share))
        self._latencies.clear()
        self._max_in_flight = 0
        self._window_start = now
