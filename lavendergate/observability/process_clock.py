"""Hybrid logical clock of one process."""

import time
from collections.abc import Callable

from result import Err, Ok

from lavendergate.core import hybrid_clock

_MS_PER_S = 1000


def _wall_ms() -> int:
    return int(time.time() * _MS_PER_S)


class ProcessClock:
    """Timestamps the events and messages of one process.

    Parameters
    ----------
    last
        Timestamp that the first one must exceed, such as the last timestamp
        that the process wrote before a restart.
    max_drift_ms
        Maximum by which a received timestamp may be ahead of this host's
        wall time, in milliseconds.
    wall_ms
        Source of the wall time, in milliseconds.
    """

    def __init__(
        self,
        *,
        last: int = 0,
        max_drift_ms: int = hybrid_clock.DEFAULT_MAX_DRIFT_MS,
        wall_ms: Callable[[], int] = _wall_ms,
    ) -> None:
        self._last = last
        self._max_drift_ms = max_drift_ms
        self._wall_ms = wall_ms

    def stamp(self) -> int:
        """Return the timestamp of a local event or of a message to send."""
        self._last = hybrid_clock.advance(self._last, self._wall_ms())
        return self._last

    def receive(self, received: int) -> int:
        """Advance the clock past a received timestamp.

        Returns
        -------
        int
            Drift of the sender in milliseconds if the timestamp was refused
            (for event 3040), otherwise 0.
        """
        merged = hybrid_clock.merge(
            self._last,
            received,
            self._wall_ms(),
            max_drift_ms=self._max_drift_ms,
        )
        match merged:
            case Ok(stamp):
                self._last = stamp
                return 0
            case Err(drift):
                return drift.drift_ms

    def start_after(self, stamp: int) -> None:
        """Make all further timestamps greater than an earlier one."""
        self._last = max(self._last, stamp)
