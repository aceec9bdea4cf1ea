"""Order of the statements that wait for the same member.

Statements of open transactions go first, because each holds a connection
until its end. Among the others, the most urgent class goes first: the
priority of the route decides, then that of the customer. A class that is
less urgent still gets each eighth turn, so that it does not starve.
"""

import heapq
from dataclasses import dataclass, field

from lavendergate.core.service_order.fair_share import FairShare, Ticket
from lavendergate.core.sessions.context import StatementContext

# Each time that this number of turns has gone to more urgent classes, one goes
# to a less urgent class.
TURNS_PER_LESS_URGENT = 8

ServiceClass = tuple[int, int]


def service_class(context: StatementContext) -> ServiceClass:
    """Return the class of a statement; lower is more urgent."""
    return (context.route_priority, context.customer_priority)


@dataclass(kw_only=True, slots=True)
class ServiceOrder:
    """Statements that wait, in the order in which they are served."""

    _transactions: list[tuple[ServiceClass, Ticket]] = field(
        default_factory=list
    )
    _transaction_count: int = 0
    _classes: dict[ServiceClass, FairShare] = field(default_factory=dict)
    _turns: int = 0
    _urgent_turns: int = 0

    @property
    def count(self) -> int:
        """Number of statements that wait."""
        return self._transaction_count + sum(
            share.count for share in self._classes.values()
        )

    def add(self, ticket: Ticket) -> None:
        """Add a statement."""
        of = service_class(ticket.context)
        if ticket.is_new:
            share = self._classes.get(of)
            if share is None:
                share = FairShare(served_as=self._turns)
                self._classes[of] = share
            share.add(ticket)
        else:
            heapq.heappush(self._transactions, (of, ticket))
            self._transaction_count += 1

    def cancel(self, ticket: Ticket) -> None:
        """Remove a statement that does not wait any longer."""
        if ticket.is_done:
            return
        ticket.is_done = True
        if ticket.is_new:
            self._classes[service_class(ticket.context)].discard(ticket)
        else:
            self._transaction_count -= 1
            if not self._transaction_count:
                self._transactions.clear()

    def pop(self) -> Ticket | None:
        """Remove and return the next statement; None if none waits."""
        ticket = self._pop_transaction() or self._pop_new()
        if ticket is not None:
            ticket.is_done = True
        return ticket

    def count_before(self, context: StatementContext) -> int:
        """Return how many waiting statements go before another new one."""
        own = service_class(context)
        before = self._transaction_count
        for of, share in self._classes.items():
            if of < own:
                before += share.count
            elif of == own:
                before += share.count_before(context.customer)
        return before

    def count_more_urgent(self, context: StatementContext) -> int:
        """Return how many transactions and more urgent statements wait."""
        own = service_class(context)
        return self._transaction_count + sum(
            share.count for of, share in self._classes.items() if of < own
        )

    def _pop_transaction(self) -> Ticket | None:
        while self._transactions:
            _, ticket = heapq.heappop(self._transactions)
            if not ticket.is_done:
                self._transaction_count -= 1
                return ticket
        return None

    def _pop_new(self) -> Ticket | None:
        waiting = sorted(
            of for of, share in self._classes.items() if share.count
        )
        if not waiting:
            return None
        chosen = waiting[0]
        if len(waiting) == 1:
            self._urgent_turns = 0
        else:
            self._urgent_turns += 1
            if self._urgent_turns >= TURNS_PER_LESS_URGENT:
                self._urgent_turns = 0
                chosen = min(
                    waiting[1:], key=lambda of: self._classes[of].served_as
                )
        self._turns += 1
        share = self._classes[chosen]
        share.served_as = self._turns
        return share.pop()
