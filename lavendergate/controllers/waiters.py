"""Synchronisation between tasks: one-time results and change signals."""

from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any, Generic, Protocol, TypeVar

import anyio

from lavendergate.core.service_order.fair_share import Ticket
from lavendergate.core.service_order.order import ServiceOrder

ResultT = TypeVar('ResultT')


class TaskStarter(Protocol):
    """Starts tasks in the background, as a task group does."""

    def start_soon(
        self,
        run: Callable[..., Coroutine[Any, Any, object]],
        /,
        *arguments: Any,
    ) -> object:
        """Start a task."""


class Waiter(Generic[ResultT]):
    """A result that is set once; later results are ignored."""

    def __init__(self) -> None:
        self._event = anyio.Event()
        self._results: list[ResultT] = []

    def resolve(self, result: ResultT) -> None:
        """Set the result, unless it is already set."""
        if not self._results:
            self._results.append(result)
            self._event.set()

    async def wait(self) -> ResultT:
        """Wait for the result."""
        await self._event.wait()
        return self._results[0]


class Signal:
    """Wakes all tasks that wait for the next change."""

    def __init__(self) -> None:
        self._changed = anyio.Event()

    def notify(self) -> None:
        """Wake the tasks that are waiting."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait(self, timeout_s: float) -> None:
        """Wait for the next change, at most `timeout_s` seconds."""
        changed = self._changed
        with anyio.move_on_after(timeout_s):
            await changed.wait()


class OrderedWait:
    """Wakes one waiting task for each notification, most urgent first.

    A task that is woken in vain waits on with the same ticket and keeps its
    place.
    """

    def __init__(self) -> None:
        self._order = ServiceOrder()
        self._events: dict[int, anyio.Event] = {}

    @property
    def has_waiting(self) -> bool:
        """Whether a task waits that was not woken."""
        return self._order.count > 0

    def notify(self) -> None:
        """Wake the task that is next."""
        ticket = self._order.pop()
        if ticket is not None:
            self._events[id(ticket)].set()

    def notify_all(self) -> None:
        """Wake all waiting tasks."""
        while self._order.count:
            self.notify()

    async def wait(self, ticket: Ticket, timeout_s: float) -> None:
        """Wait until it is the task's turn, or for the timeout, in seconds.

        A task that is cancelled after it was woken passes this on.

        Parameters
        ----------
        ticket
            Its place in the order; the same for each wait of a task.
        """
        # An earlier copy may still be in the order, marked as done.
        ticket = replace(ticket, is_done=False)
        self._order.add(ticket)
        event = anyio.Event()
        self._events[id(ticket)] = event
        try:
            with anyio.move_on_after(timeout_s):
                await event.wait()
        except BaseException:
            if event.is_set():
                self.notify()
            raise
        finally:
            self._order.cancel(ticket)
            self._events.pop(id(ticket), None)
