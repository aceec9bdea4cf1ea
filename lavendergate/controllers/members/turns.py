"""Turns of statements at one member."""

import random
from collections.abc import Callable

import anyio

from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.service_order.fair_share import Ticket
from lavendergate.core.service_order.queue import ServiceQueue
from lavendergate.core.sessions.context import StatementContext
from lavendergate.core.sessions.statements import RefusalCode, Refused
from lavendergate.observability.exposition import HttpMetrics
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent

# Time without a refusal after which a member has room again, in seconds.
_ROOM_AFTER_S = 1.0
_MS_PER_S = 1000


class NoConnectionError(Exception):
    """No statement was sent, for want of a connection or of time.

    Parameters
    ----------
    refusal
        Refusal to return to the caller.
    """

    def __init__(self, *, refusal: Refused) -> None:
        super().__init__(refusal.text)
        self.refusal = refusal


class NoTimeError(NoConnectionError):
    """Too little time was left to run a statement, so it was not sent.

    Parameters
    ----------
    wait_s
        Predicted wait for a turn at the member, in seconds; 0 if unknown.
    position
        Number of statements that would go before it.
    """

    def __init__(self, *, wait_s: float = 0, position: int = 0) -> None:
        text = (
            'too little time was left before the deadline to run the statement'
        )
        if wait_s:
            # Callers that were refused together return one after the other.
            return_s = wait_s * random.uniform(1, 2)
            text = (
                f'{text}: {position} statements go before it and the '
                f'predicted wait is {round(wait_s * _MS_PER_S)} ms; '
                f'retry in {round(return_s * _MS_PER_S)} ms'
            )
        super().__init__(
            refusal=Refused(
                code=RefusalCode.busy, text=text, retry_after_s=wait_s
            )
        )


class MemberTurns:
    """Lets statements wait for their turn, and reports refusals.

    Parameters
    ----------
    entry
        The member, as named in events.
    clock
        Monotonic time, in seconds.
    events, metrics
        Receive refusals and waits.
    """

    def __init__(
        self,
        *,
        entry: MemberEntry,
        clock: Callable[[], float],
        events: EventLog,
        metrics: HttpMetrics,
    ) -> None:
        self.queue = ServiceQueue()
        self._entry = entry
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._granted: dict[int, anyio.Event] = {}
        self._refused_at = float('-inf')
        self._refused_count = 0

    async def take(
        self,
        *,
        is_new: bool,
        deadline: float,
        context: StatementContext,
        statement_s: float,
    ) -> None:
        """Wait until a statement may be sent to the member.

        Parameters
        ----------
        is_new
            Whether the statement is outside of a transaction.
        deadline
            Time until which the statement can be sent, in seconds.
        context
            Customer and priorities of the statement, which decide when it is
            its turn.
        statement_s
            Mean time that a statement takes at the member, in seconds.

        Raises
        ------
        NoTimeError
            If the statement would have to wait longer than that.
        """
        queue = self.queue
        started_at = self._clock()
        if queue.try_start(context):
            self._record_room(started_at)
            return
        wait_s = queue.expected_wait_s(context, statement_s, started_at)
        refusal = NoTimeError(
            wait_s=wait_s, position=queue.count_before(context)
        )
        if is_new and started_at + wait_s > deadline:
            self._record_refusal(context, 'predicted', started_at, wait_s)
            raise refusal
        ticket = queue.enqueue(
            is_new=is_new, deadline=deadline, context=context
        )
        event = anyio.Event()
        self._granted[id(ticket)] = event
        try:
            with anyio.move_on_after(deadline - started_at):
                await event.wait()
                self._record_wait(context, 'served', started_at)
                return
        except BaseException:
            self._give_up_turn(ticket, event)
            raise
        finally:
            self._granted.pop(id(ticket), None)
        self._give_up_turn(ticket, event)
        self._record_refusal(context, 'expired', started_at, wait_s)
        raise refusal

    def _record_wait(
        self, context: StatementContext, outcome: str, started_at: float
    ) -> None:
        self._metrics.queue_seconds.labels(
            str(context.route_priority), outcome
        ).observe(self._clock() - started_at)

    def _record_refusal(
        self,
        context: StatementContext,
        outcome: str,
        started_at: float,
        wait_s: float,
    ) -> None:
        self._record_wait(context, outcome, started_at)
        self._refused_at = self._clock()
        self._refused_count += 1
        if self._refused_count == 1:
            self._events.emit(
                SessionEvent.member_full,
                upstream=self._entry.upstream_id,
                service=self._entry.service,
                priority=context.route_priority,
                waiting=self.queue.waiting_count,
                wait_ms=round(wait_s * _MS_PER_S),
            )

    def _record_room(self, now: float) -> None:
        """Report a free turn after refusals."""
        if self._refused_count and now - self._refused_at > _ROOM_AFTER_S:
            self._events.emit(
                SessionEvent.member_has_room,
                upstream=self._entry.upstream_id,
                service=self._entry.service,
                refused=self._refused_count,
            )
            self._refused_count = 0

    def end(self) -> None:
        """End a turn and start the next one."""
        self.queue.finish(self._clock())
        self._start_waiting()

    def _start_waiting(self) -> None:
        while ticket := self.queue.take_next():
            self._granted[id(ticket)].set()

    def _give_up_turn(self, ticket: Ticket, event: anyio.Event) -> None:
        if event.is_set():
            # The turn was given at the same moment.
            self.end()
        else:
            self.queue.cancel(ticket)
