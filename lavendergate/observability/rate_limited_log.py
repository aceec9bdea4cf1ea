"""Event log with a limit on the events written per second."""

from collections.abc import Callable

from lavendergate.observability.event_type import Event, FieldValue, Level
from lavendergate.observability.log import EventLog
from lavendergate.observability.process_events import ProcessEvent

# Writing a line costs about 0.1 ms of processor time.
DEFAULT_EVENTS_PER_S = 100
_WINDOW_S = 1.0


class RateLimitedEventLog(EventLog):
    """Forwards a limited number of events per second; counts the others.

    Warnings and errors are always forwarded, because they are few and
    operators act on them.

    Parameters
    ----------
    target
        Event log that writes the forwarded events.
    clock
        Monotonic time, in seconds.
    events_per_s
        Events per second from which on events below level warning are
        dropped.
    """

    def __init__(
        self,
        *,
        target: EventLog,
        clock: Callable[[], float],
        events_per_s: int = DEFAULT_EVENTS_PER_S,
    ) -> None:
        self._target = target
        self._clock = clock
        self._events_per_s = events_per_s
        self._window_end = float('-inf')
        self._forwarded = 0
        self._dropped = 0

    def emit(self, event: Event, **fields: FieldValue) -> None:
        """Forward an event, or drop and count it."""
        now = self._clock()
        if now >= self._window_end:
            self._start_window(now)
        is_urgent = event.level in {Level.warning, Level.error}
        if self._forwarded >= self._events_per_s and not is_urgent:
            self._dropped += 1
            return
        self._forwarded += 1
        self._target.emit(event, **fields)

    def _start_window(self, now: float) -> None:
        self._window_end = now + _WINDOW_S
        self._forwarded = 0
        dropped, self._dropped = self._dropped, 0
        if dropped:
            self._target.emit(
                ProcessEvent.events_dropped,
                dropped=dropped,
                reason='more events per second than the limit',
            )
