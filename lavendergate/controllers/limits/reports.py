"""Events and metrics of the operations that limits allow or refuse."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass

from lavendergate.controllers.limits.borrower import (
    Allowed,
    LimitReached,
    NoOwner,
    Verdict,
)
from lavendergate.core.customers.table import (
    Customer,
    CustomerName,
    CustomerTable,
    OperationLimit,
)
from lavendergate.observability.exposition import HttpMetrics
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent

# Customers with a series of their own in the metrics, those with the highest
# rates; the others share one, so that the number of series is bounded.
_NAMED_CUSTOMERS = 20
_OTHER_CUSTOMERS = 'other'
# Least time between two events for the same customer, in seconds.
_PERIOD_S = 5.0


@dataclass(kw_only=True, slots=True)
class _Refusals:
    reported_at: float = float('-inf')
    count: int = 0

    def add(self, now: float) -> int:
        """Count a refusal; return the number to report, 0 for none yet."""
        self.count += 1
        if now - self.reported_at < _PERIOD_S:
            return 0
        reported, self.count = self.count, 0
        self.reported_at = now
        return reported


class LimitReports:
    """Reports the decisions about operations to operators.

    Parameters
    ----------
    customers
        Returns the customers in force; None if callers are not identified.
    monotonic
        Monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        customers: Callable[[], CustomerTable | None],
        monotonic: Callable[[], float],
        events: EventLog,
        metrics: HttpMetrics,
    ) -> None:
        self._customers = customers
        self._monotonic = monotonic
        self._events = events
        self._metrics = metrics
        self._table: CustomerTable | None = None
        self._named: frozenset[CustomerName] = frozenset()
        self._reached: dict[CustomerName, _Refusals] = {}
        self._without_owner: dict[CustomerName, _Refusals] = {}

    def record(
        self, customer: Customer, limit: OperationLimit, verdict: Verdict
    ) -> None:
        """Record the decision about one operation."""
        operations = self._metrics.customer_operations
        label = self._label(customer.name)
        match verdict:
            case Allowed():
                operations.labels(label, 'allowed').inc()
            case LimitReached():
                operations.labels(label, 'limit reached').inc()
                self._report_reached(customer, limit)
            case NoOwner():
                operations.labels(label, 'no owner').inc()
                self._report_without_owner(customer)

    def _report_reached(
        self, customer: Customer, limit: OperationLimit
    ) -> None:
        refusals = self._reached.setdefault(customer.name, _Refusals())
        refused = refusals.add(self._monotonic())
        if refused:
            self._events.emit(
                SessionEvent.limit_reached,
                customer=customer.name,
                rate_per_s=limit.rate_per_s,
                burst=limit.burst,
                refused=refused,
            )

    def _report_without_owner(self, customer: Customer) -> None:
        refusals = self._without_owner.setdefault(customer.name, _Refusals())
        refused = refusals.add(self._monotonic())
        if refused:
            self._events.emit(
                SessionEvent.limit_without_owner,
                customer=customer.name,
                refused=refused,
            )

    def _label(self, name: CustomerName) -> str:
        table = self._customers()
        if table is not self._table:
            self._table = table
            self._named = _largest(table)
        return name if name in self._named else _OTHER_CUSTOMERS


def _largest(table: CustomerTable | None) -> frozenset[CustomerName]:
    if table is None:
        return frozenset()
    limited = (
        (customer.limit.rate_per_s, customer.name)
        for customer in table.customers.values()
        if customer.limit is not None
    )
    return frozenset(
        name for _, name in heapq.nlargest(_NAMED_CUSTOMERS, limited)
    )
