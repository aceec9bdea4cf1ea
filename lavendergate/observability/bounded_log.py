"""Event log with an upper limit of lines a second."""

from collections.abc import Callable

from lavendergate.observability.event_type import Event, FieldValue, Level
from lavendergate.observability.log import EventLog
from lavendergate.observability.process_events import ProcessEvent

# A line costs about a tenth of a millisecond of processor time.
DEFAULT_LINES_PER_S = 100
_WINDOW_S = 1.0


class BoundedEventLog(EventLog):
    """Passes events on, up to a number a second, and counts the others.

    Warnings and errors pass always: there are few of them, and they say
    what changed.

    Parameters
    ----------
    target
        Writes the events.
    clock
        Monotonic time, in seconds.
    lines_per_s
        Most events below a warning that pass in a second.
    """

    def __init__(
        self,
        *,
        target: EventLog,
        clock: Callable[[], float],
        lines_per_s: int = DEFAULT_LINES_PER_S,
    ) -> None:
        self._target = target
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._window_ends = float('-inf')
        self._written = 0
        self._dropped = 0

    def emit(self, event: Event, **fields: FieldValue) -> None:
        """Pass an event on, or count it."""
        now = self._clock()
        if now >= self._window_ends:
            self._start_window(now)
        is_urgent = event.level in {Level.warning, Level.error}
        if self._written >= self._lines_per_s and not is_urgent:
            self._dropped += 1
            return
        self._written += 1
        self._target.emit(event, **fields)

    def _start_window(self, now: float) -> None:
        self._window_ends = now + _WINDOW_S
        self._written = 0
        dropped, self._dropped = self._dropped, 0
        if dropped:
            self._target.emit(
                ProcessEvent.events_dropped,
                dropped=dropped,
                reason='more lines a second than the limit',
            )
