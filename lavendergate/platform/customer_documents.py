"""Customers in the operator's route document.

Messages name a customer and never show a key.
"""

import re
from collections.abc import Iterable

import msgspec

from lavendergate.core.bounds.decoding import SEARCH_ERRORS
from lavendergate.core.bounds.ranges import Amount, Count

# msgspec ends its messages with the path of the faulty value.
_CUSTOMER_PATH = re.compile(r'\$\.tenants\[(\d+)\]')


class CustomerDocument(
    msgspec.Struct, frozen=True, kw_only=True, rename='camel'
):
    """A customer with its keys and limits."""

    name: str
    api_keys: tuple[str, ...]
    priority: Count = 0
    rate_per_s: Amount | None = None
    burst: Amount = 0


class _AnyCustomers(msgspec.Struct, frozen=True, kw_only=True):
    tenants: tuple[msgspec.Raw, ...] = ()


class _NamedCustomer(msgspec.Struct, frozen=True, kw_only=True):
    name: str


def find_customer_problem(
    documents: Iterable[CustomerDocument],
) -> str | None:
    """Return why customers are invalid; None if they are valid."""
    names: set[str] = set()
    owners: dict[str, str] = {}
    for document in documents:
        name = document.name
        if name in names:
            return f'two entries of tenants have the name {name!r}'
        names.add(name)
        problem = _find_entry_problem(document)
        if problem is not None:
            return f'tenant {name!r} {problem}'
        for key in document.api_keys:
            owner = owners.setdefault(key, name)
            if owner != name:
                return (
                    f'tenants {owner!r} and {name!r} share a key: each key '
                    'must belong to one tenant'
                )
    return None


def describe_entry(content: bytes, error: Exception) -> str:
    """Return which customer a decoding error is about, for its message.

    Returns
    -------
    An empty text if the error is not about a customer, or if that customer
    has no name.
    """
    found = _CUSTOMER_PATH.search(str(error))
    if found is None:
        return ''
    try:
        entries = msgspec.json.decode(content, type=_AnyCustomers).tenants
        entry = entries[int(found.group(1))]
        name = msgspec.json.decode(entry, type=_NamedCustomer).name
    except SEARCH_ERRORS:
        return ''
    return f' (tenant {name!r})'


def _find_entry_problem(document: CustomerDocument) -> str | None:
    if not _can_stand_in_line(document.name):
        return 'needs a name without blanks and control characters'
    if not all(map(_can_stand_in_line, document.api_keys)):
        return 'has a key that is empty or contains a blank'
    return None


def _can_stand_in_line(text: str) -> bool:
    """Return whether a text can be a word of the statement protocol."""
    return bool(text) and text.isprintable() and ' ' not in text
