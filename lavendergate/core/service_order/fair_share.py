"""Fair order between the customers of one service class.

Start-time fair queueing: each served statement moves its customer one unit
ahead on a common virtual clock, and the customer that is least far ahead is
served next. A customer that sends many statements delays its own only.
"""

import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

from lavendergate.core.customers.table import CustomerName
from lavendergate.core.sessions.context import StatementContext

_order = itertools.count()


@dataclass(order=True, kw_only=True, slots=True)
class Ticket:
    """A waiting statement.

    Parameters
    ----------
    deadline
        Time by which the statement must have been started, in seconds.
    is_new
        Whether the statement is outside of a transaction.
    context
        Customer and priorities of the statement.
    is_done
        Whether the statement was started, or does not wait any longer.
    """

    deadline: float
    _number: int = field(default_factory=lambda: next(_order))
    is_new: bool = field(default=True, compare=False)
    context: StatementContext = field(compare=False)
    is_done: bool = field(default=False, compare=False)


@dataclass(kw_only=True, slots=True)
class CustomerLine:
    """Waiting statements of one customer, least remaining time first.

    Parameters
    ----------
    start_tag
        Virtual time at which the next statement of the customer is due.
    count
        Number of statements that wait.
    """

    start_tag: float = 0
    count: int = 0
    _waiting: list[Ticket] = field(default_factory=list)

    def add(self, ticket: Ticket) -> None:
        """Add a statement."""
        heapq.heappush(self._waiting, ticket)
        self.count += 1

    def pop(self) -> Ticket:
        """Remove and return the next statement that still waits."""
        while True:
            ticket = heapq.heappop(self._waiting)
            if not ticket.is_done:
                self.count -= 1
                return ticket

    def discard(self) -> None:
        """Stop counting a statement that is done."""
        self.count -= 1
        if not self.count:
            self._waiting.clear()


@dataclass(kw_only=True, slots=True)
class FairShare:
    """Waiting statements of one service class.

    Parameters
    ----------
    served_as
        Number of the turn in which the class was served last.
    count
        Number of statements that wait.
    """

    served_as: int = 0
    count: int = 0
    _virtual_time: float = 0
    _lines: dict[CustomerName | None, CustomerLine] = field(
        default_factory=dict
    )

    def add(self, ticket: Ticket) -> None:
        """Add a statement."""
        customer = ticket.context.customer
        line = self._lines.get(customer)
        if line is None:
            line = CustomerLine(start_tag=self._virtual_time)
            self._lines[customer] = line
        elif not line.count:
            line.start_tag = max(line.start_tag, self._virtual_time)
        line.add(ticket)
        self.count += 1

    def discard(self, ticket: Ticket) -> None:
        """Stop counting a statement that is done."""
        self._lines[ticket.context.customer].discard()
        self.count -= 1

    def pop(self) -> Ticket:
        """Remove and return the next statement."""
        customer, line = min(
            self._waiting_lines(), key=lambda item: item[1].start_tag
        )
        self._virtual_time = line.start_tag
        line.start_tag += 1
        ticket = line.pop()
        self.count -= 1
        if not self.count:
            # All customers start level in the next busy period.
            self._lines.clear()
        return ticket

    def count_before(self, customer: CustomerName | None) -> int:
        """Return how many statements go before another one of a customer."""
        own = self._lines.get(customer)
        own_count = own.count if own is not None else 0
        return sum(
            line.count if customer == other else min(line.count, own_count + 1)
            for other, line in self._waiting_lines()
        )

    def _waiting_lines(
        self,
    ) -> Iterator[tuple[CustomerName | None, CustomerLine]]:
        for customer, line in self._lines.items():
            if line.count:
                yield customer, line
