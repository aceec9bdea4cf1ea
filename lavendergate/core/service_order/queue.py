"""Queue of one member: how many statements run, and which one is next.

A member serves statements in the order of their arrival and rejects what
exceeds its slots and its queue, whatever the statement is worth. A proxy
therefore sends only as many statements as the member executes at the same
time, and keeps the others in its own order.
"""

from dataclasses import dataclass, field

from lavendergate.core.service_order.drain import DrainRate
from lavendergate.core.service_order.fair_share import Ticket
from lavendergate.core.service_order.order import (
    TURNS_PER_LESS_URGENT,
    ServiceOrder,
    service_class,
)
from lavendergate.core.sessions.context import StatementContext


@dataclass(kw_only=True, slots=True)
class ServiceQueue:
    """Statements that run at a member or wait for it.

    Parameters
    ----------
    limit
        Number of statements at the member at the same time; None for no
        limit. It may change at any time.
    running
        Number of statements at the member.
    """

    limit: int | None = None
    running: int = 0
    _order: ServiceOrder = field(default_factory=ServiceOrder)
    _drain: DrainRate = field(default_factory=DrainRate)

    @property
    def waiting_count(self) -> int:
        """Number of waiting statements."""
        return self._order.count

    def try_start(self, context: StatementContext) -> bool:
        """Take a turn if one is free and nobody waits."""
        if self.limit is not None:
            if self.running >= self.limit or self.waiting_count:
                return False
        self.running += 1
        return True

    def count_before(self, context: StatementContext) -> int:
        """Return how many waiting statements go before another new one."""
        return self._order.count_before(context)

    def expected_wait_s(
        self, context: StatementContext, statement_s: float, now: float
    ) -> float:
        """Return the expected wait of another new statement, in seconds.

        More urgent statements that arrive meanwhile go first, so the wait of
        a class grows with their share in the turns.

        Parameters
        ----------
        statement_s
            Mean time that a statement takes at the member, in seconds. It is
            used until the rate of the queue has been measured.
        now
            Time, in seconds.
        """
        if self.limit is None:
            return 0
        interval_s = self._drain.interval_s(
            now, statement_s / max(1, self.limit)
        )
        urgent = self._order.count_more_urgent(context)
        own = self._order.count_before(context) - urgent + 1
        share = self._drain.share_of(service_class(context))
        # However many urgent statements wait, a class gets a turn as often as
        # `TURNS_PER_LESS_URGENT` says.
        turns = min(urgent + own / share, own * TURNS_PER_LESS_URGENT)
        return turns * interval_s

    def enqueue(
        self, *, is_new: bool, deadline: float, context: StatementContext
    ) -> Ticket:
        """Add a statement to those that wait.

        Parameters
        ----------
        is_new
            Whether the statement is outside of a transaction.
        deadline
            Time by which it must have been started, in seconds.
        """
        ticket = Ticket(is_new=is_new, deadline=deadline, context=context)
        self._order.add(ticket)
        return ticket

    def cancel(self, ticket: Ticket) -> None:
        """Remove a statement that does not wait any longer."""
        self._order.cancel(ticket)

    def finish(self, now: float) -> None:
        """End a turn.

        Parameters
        ----------
        now
            Time, in seconds.
        """
        self.running -= 1
        self._drain.record_end(now, is_backlogged=self.waiting_count > 0)

    def take_next(self) -> Ticket | None:
        """Start the turn of the next waiting statement, if one is free."""
        if self.limit is not None and self.running >= self.limit:
            return None
        ticket = self._order.pop()
        if ticket is not None:
            self.running += 1
            # Only the turns of a backlog show what urgent classes leave.
            self._drain.record_start(service_class(ticket.context))
        return ticket
