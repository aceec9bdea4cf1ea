"""Decides whether a session may run statements, and for which customer."""

from dataclasses import dataclass

from lavendergate.core.customers.table import (
    Customer,
    CustomerName,
    CustomerTable,
    KeyDigest,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Admitted:
    """The session may run statements.

    Parameters
    ----------
    customer
        Customer of the statements; None if callers are not identified.
    """

    customer: Customer | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class UnknownKey:
    """No customer holds the key of the session, or it sent none."""


@dataclass(frozen=True, kw_only=True, slots=True)
class UnprovenKey:
    """The customer table may lack the withdrawal of the session's key."""


Identity = Admitted | UnknownKey | UnprovenKey


def identify(
    table: CustomerTable | None,
    digest: KeyDigest | None,
    *,
    is_public: bool,
    is_proven: bool,
) -> Identity:
    """Return the customer of a statement, or why it has none.

    Parameters
    ----------
    table
        Customers in force; None if callers are not identified.
    digest
        Digest of the session's key; None if the caller sent none.
    is_public
        Whether the route may be used without a key.
    is_proven
        Whether the table is known to be recent enough.
    """
    if table is None or is_public:
        return Admitted()
    if digest is None:
        return UnknownKey()
    if not is_proven:
        return UnprovenKey()
    customer = table.owner(digest)
    return UnknownKey() if customer is None else Admitted(customer=customer)


def has_changed_customer(
    former: Customer | None, present: Customer | None
) -> bool:
    """Return whether a session's next statement is for another customer.

    A customer with other priorities or limits is still the same one.
    """
    return _name_of(former) != _name_of(present)


def _name_of(customer: Customer | None) -> CustomerName | None:
    return None if customer is None else customer.name
