"""Customer tables for tests."""

from lavendergate.core.customers.table import (
    Customer,
    CustomerName,
    CustomerTable,
    build_customer_table,
)

NORTH = CustomerName('north')
SOUTH = CustomerName('south')
NORTH_KEY = 'north-key-8f2c'
SOUTH_KEY = 'south-key-77ab'


def table(**keys: tuple[str, ...]) -> CustomerTable:
    """Return a table of customers with their keys."""
    return build_customer_table(
        (Customer(name=CustomerName(name), priority=1), held)
        for name, held in keys.items()
    )


def usual_table() -> CustomerTable:
    """Return a table of two customers with a key each."""
    return table(north=(NORTH_KEY,), south=(SOUTH_KEY,))
