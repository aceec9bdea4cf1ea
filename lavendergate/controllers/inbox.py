"""Event queue of the replicated log's driver."""

from dataclasses import dataclass

import anyio

from lavendergate.controllers.waiters import Waiter
from lavendergate.core.consensus.events import Event
from lavendergate.core.consensus.messages import Envelope


@dataclass(frozen=True, kw_only=True, slots=True)
class InboxItem:
    """An event, and the task that waits until it is handled.

    Parameters
    ----------
    event
        The event.
    done
        Resolved with the reply to a message, or with None; None if no task
        waits.
    """

    event: Event
    done: Waiter[Envelope | None] | None = None

    def finish(self, reply: Envelope | None = None) -> None:
        """Wake the task that waits for the event to be handled."""
        if self.done is not None:
            self.done.resolve(reply)


class Inbox:
    """Queue of events for a driver."""

    def __init__(self) -> None:
        self._items: list[InboxItem] = []
        self._arrived = anyio.Event()
        self._is_closed = False

    def post(self, event: Event) -> None:
        """Add an event."""
        self._add(InboxItem(event=event))

    async def post_and_wait(self, event: Event) -> Envelope | None:
        """Add an event, and wait until it is handled and synced to disk.

        Also returns if the event is discarded, because the inbox is closed.
        """
        done: Waiter[Envelope | None] = Waiter()
        self._add(InboxItem(event=event, done=done))
        return await done.wait()

    def wake(self) -> None:
        """End the current `wait_until` without an event."""
        self._arrived.set()

    async def wait_until(self, deadline: float) -> None:
        """Wait for an event or a wake-up.

        Parameters
        ----------
        deadline
            Clock time of `anyio` at which the wait ends, in seconds.
        """
        if not self._items:
            with anyio.CancelScope(deadline=deadline):
                await self._arrived.wait()
        self._arrived = anyio.Event()

    def pop_all(self) -> tuple[InboxItem, ...]:
        """Remove and return all events."""
        items = tuple(self._items)
        self._items.clear()
        return items

    def close(self) -> None:
        """Discard all queued events, and those that are added later."""
        self._is_closed = True
        for item in self.pop_all():
            item.finish()

    def reopen(self) -> None:
        """Accept events again."""
        self._is_closed = False

    def _add(self, item: InboxItem) -> None:
        if self._is_closed:
            item.finish()
            return
        self._items.append(item)
        self._arrived.set()
