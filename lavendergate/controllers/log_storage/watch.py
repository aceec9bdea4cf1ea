"""Reports writes of the control log that the disk does not complete."""

from collections.abc import Callable

import anyio

from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent

_POLL_INTERVAL_S = 0.1
_MS_PER_S = 1000


class StorageWatch:
    """Logs when a write takes too long, and when it has ended.

    Parameters
    ----------
    wait_s
        Returns the time that the present write has taken, in seconds; 0
        without one.
    limit_s
        Time after which a write is reported, in seconds.
    """

    def __init__(
        self, *, wait_s: Callable[[], float], limit_s: float, events: EventLog
    ) -> None:
        self._wait_s = wait_s
        self._limit_s = limit_s
        self._events = events
        self._reported_s: float = 0

    async def run(self) -> None:
        """Watch the writes until cancelled."""
        while True:
            self._check(self._wait_s())
            await anyio.sleep(_POLL_INTERVAL_S)

    def _check(self, waited_s: float) -> None:
        if self._reported_s and waited_s < self._reported_s:
            self._events.emit(
                SessionEvent.log_storage_regained,
                waited_ms=round(self._reported_s * _MS_PER_S),
            )
            self._reported_s = 0
        if waited_s < self._limit_s:
            return
        if not self._reported_s:
            self._events.emit(
                SessionEvent.log_storage_stalled,
                waited_ms=round(waited_s * _MS_PER_S),
            )
        self._reported_s = waited_s
