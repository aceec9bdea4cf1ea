"""Customers of a route table and the keys that identify them."""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NewType

CustomerName = NewType('CustomerName', str)

KeyDigest = NewType('KeyDigest', bytes)


@dataclass(frozen=True, kw_only=True, slots=True)
class OperationLimit:
    """Limit on the operations of one customer over all proxies together.

    Parameters
    ----------
    rate_per_s
        Operations per second that the customer may run continuously.
    burst
        Operations beyond the rate that may follow each other at once.
    """

    rate_per_s: float
    burst: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Customer:
    """A customer of the route table.

    Parameters
    ----------
    priority
        Priority of the customer's statements; 0 is the highest.
    limit
        Limit on its operations; None for no limit.
    """

    name: CustomerName
    priority: int = 0
    limit: OperationLimit | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class CustomerTable:
    """Customers in force, by name and by the digest of each key.

    Keys themselves are not kept, so that no log line, error or memory dump
    of this object can show one.
    """

    customers: Mapping[CustomerName, Customer] = field(default_factory=dict)
    _owners: Mapping[KeyDigest, CustomerName] = field(
        default_factory=dict, repr=False
    )

    def find(self, key: str) -> Customer | None:
        """Return the customer that holds a key; None if nobody does."""
        return self.owner(digest_key(key))

    def owner(self, digest: KeyDigest) -> Customer | None:
        """Return the customer that holds the key with this digest, if any."""
        owner = self._owners.get(digest)
        return None if owner is None else self.customers.get(owner)

    def holds(self, customer: CustomerName, digest: KeyDigest) -> bool:
        """Return whether a customer still holds the key with this digest."""
        return self._owners.get(digest) == customer


def build_customer_table(
    customers: Iterable[tuple[Customer, Iterable[str]]],
) -> CustomerTable:
    """Return the table of customers with their keys."""
    entries = tuple((customer, tuple(keys)) for customer, keys in customers)
    return CustomerTable(
        customers={customer.name: customer for customer, _ in entries},
        _owners={
            digest_key(key): customer.name
            for customer, keys in entries
            for key in keys
        },
    )


def digest_key(key: str) -> KeyDigest:
    """Return the digest under which a key is looked up.

    Lookups compare digests, so their duration shows nothing about the keys.
    """
    return KeyDigest(hashlib.sha256(key.encode()).digest())
