"""What queues and connections need to know of a statement's caller."""

from dataclasses import dataclass

from lavendergate.core.customers.table import CustomerName


@dataclass(frozen=True, kw_only=True, slots=True)
class StatementContext:
    """Customer and priorities of a statement.

    Parameters
    ----------
    customer
        Customer of the caller; None if callers are not identified, and for
        statements of the system itself.
    customer_priority, route_priority
        Priorities of the customer and of the route; 0 is the highest.
    is_system
        Whether the system itself issues the statement. It may run on a
        connection of any customer.
    """

    customer: CustomerName | None = None
    customer_priority: int = 0
    route_priority: int = 0
    is_system: bool = False


# Context of statements that the system issues itself.
SYSTEM_CONTEXT = StatementContext(is_system=True)
