"""Hybrid logical clock of one process."""

import time
from collections.abc import Callable

from result import Err, Ok

from lavendergate.core import hybrid_clock

_MS_PER_S = 1000


def _wall_ms() -> int:
    return int(time.time() * _MS_PER_S)


class ProcessClock:
    """Stamps events and messages of one process.

    Parameters
    ----------
    last
        Stamp that the first one has to exceed, such as the last stamp that
        the process wrote before a restart.
    max_drift_ms
        How far a received stamp may be ahead of this host's wall time.
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
        """Return the stamp of a local event or of a message to send."""
        self._last = hybrid_clock.advance(self._last, self._wall_ms())
        return self._last

    def receive(self, received: int) -> int:
        """Take a received stamp into account.

        Returns
        -------
        int
            Drift of the sender in milliseconds if the stamp was refused
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
        """Make all further stamps greater than a former one of this host."""
        self._last = max(self._last, stamp)
