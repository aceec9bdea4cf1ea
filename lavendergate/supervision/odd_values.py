"""Logs values that were dropped because they are out of their bounds."""

from collections.abc import Callable, Sequence

from lavendergate.observability.log import EventLog
from lavendergate.observability.process_events import ProcessEvent

# A peer that holds an odd value sends it with each of its answers.
_INTERVAL_S = 10.0


class OddValueLog:
    """Logs dropped values, at most one event in 10 s for each place.

    Parameters
    ----------
    clock
        Monotonic time, in seconds.
    """

    def __init__(self, *, events: EventLog, clock: Callable[[], float]) -> None:
        self._events = events
        self._clock = clock
        self._counts: dict[str, int] = {}
        self._next_at: dict[str, float] = {}

    def report(self, place: str, problems: Sequence[str]) -> None:
        """Count dropped values; log the first one if it is time to.

        Parameters
        ----------
        place
            Name of the message or file that held the values.
        problems
            Why they were dropped, one text for each.
        """
        if not problems:
            return
        dropped = self._counts.get(place, 0) + len(problems)
        now = self._clock()
        if now < self._next_at.get(place, now):
            self._counts[place] = dropped
            return
        self._counts[place] = 0
        self._next_at[place] = now + _INTERVAL_S
        self._events.emit(
            ProcessEvent.odd_values_dropped,
            place=place,
            dropped=dropped,
            reason=problems[0],
        )
