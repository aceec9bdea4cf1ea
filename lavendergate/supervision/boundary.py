"""Keeps an unexpected error inside the activity in which it occurs.

A process serves many listeners, connections and requests at once. An error
that leaves one of them would end its task group, and with it the process and
all its sessions.
"""

import time
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any, TypeVarTuple, Unpack

import anyio
from anyio.abc import TaskGroup

from lavendergate.observability.line_budget import LineBudget
from lavendergate.observability.log import EventLog
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.supervision.error_text import reason_of, traceback_of

_RESTART_DELAY_S = 0.2
# Formatting a traceback takes about as long as a statement.
_LINES_PER_S = 5

ArgumentTs = TypeVarTuple('ArgumentTs')


class Boundary:
    """Logs and counts unexpected errors, and lets none of them through.

    Cancellation is not an error and passes. So does what is not an
    `Exception`, such as `KeyboardInterrupt`.

    Parameters
    ----------
    events
        Receives errors as `ProcessEvent.task_failed`, a few of each place in
        a second. All of them are counted.
    clock
        Monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        events: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._events = events
        self._clock = clock
        self._budgets: dict[str, LineBudget] = {}
        self._counts: Counter[str] = Counter()
        self._observers: list[Callable[[str], None]] = []

    @property
    def counts(self) -> dict[str, int]:
        """Number of contained errors by place."""
        return dict(self._counts)

    def observe(self, observer: Callable[[str], None]) -> None:
        """Call a function with the place of each error, and of earlier ones."""
        self._observers.append(observer)
        for place in self._counts.elements():
            observer(place)

    def report(
        self, place: str, error: BaseException, *, is_logged: bool = True
    ) -> None:
        """Log and count an error that was caught elsewhere.

        Parameters
        ----------
        place
            Name of the failed activity: a few fixed words, no value, since
            it is the label of a metric.
        is_logged
            Whether to log it; False if a similar error was logged just now.
        """
        self._counts[place] += 1
        if is_logged:
            self._log(place, error)
        for observer in self._observers:
            observer(place)

    def _log(self, place: str, error: BaseException) -> None:
        budget = self._budgets.get(place)
        if budget is None:
            budget = LineBudget(clock=self._clock, lines_per_s=_LINES_PER_S)
            self._budgets[place] = budget
        if budget.take():
            self._events.emit(
                ProcessEvent.task_failed,
                task=place,
                reason=reason_of(error),
                traceback=traceback_of(error),
                suppressed=budget.reset(),
            )

    @contextmanager
    def contain(self, place: str) -> Iterator[None]:
        """Contain the errors of a block, which may await.

        Examples
        --------
        >>> from lavendergate.observability.log import MemoryEventLog
        >>> boundary = Boundary(events=MemoryEventLog())
        >>> with boundary.contain('example'):
        ...     raise ValueError('unexpected')
        >>> boundary.counts
        {'example': 1}
        """
        try:
            yield
        except Exception as error:
            self.report(place, error)

    async def run(
        self,
        place: str,
        function: Callable[[Unpack[ArgumentTs]], Awaitable[object]],
        *arguments: Unpack[ArgumentTs],
    ) -> None:
        """Run an activity once; its errors go no further."""
        with self.contain(place):
            await function(*arguments)

    async def keep_running(
        self, place: str, function: Callable[[], Awaitable[object]]
    ) -> None:
        """Run an activity until cancelled; restart it when it ends or fails."""
        while True:
            await self.run(place, function)
            await anyio.sleep(_RESTART_DELAY_S)


class GuardedTasks:
    """Starts tasks whose unexpected errors go no further.

    Parameters
    ----------
    tasks
        Task group that runs the tasks.
    boundary
        Contains their errors; the place is the name of the function.
    """

    def __init__(self, *, tasks: TaskGroup, boundary: Boundary) -> None:
        self._tasks = tasks
        self._boundary = boundary

    def start_soon(
        self, run: Callable[..., Coroutine[Any, Any, object]], *arguments: Any
    ) -> None:
        """Start a task."""
        self._tasks.start_soon(
            self._boundary.run, run.__name__, run, *arguments
        )
