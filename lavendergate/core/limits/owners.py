"""Chooses the owner proxies of a customer's limit.

All proxies that know the same proxies choose the same owners. A proxy that
joins or leaves changes the owners of few customers.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

from lavendergate.core.customers.table import CustomerName
from lavendergate.core.relays.homes import ProxyAddress
from lavendergate.core.types import FailureDomain


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotId:
    """One of the parts into which the limit of a customer is divided."""

    customer: CustomerName
    number: int


@dataclass(frozen=True, kw_only=True)
class ProxySet:
    """Live proxies by failure domain, with the owners that follow from them.

    Parameters
    ----------
    domains
        Addresses of the live proxies of each failure domain.
    """

    domains: Mapping[FailureDomain, frozenset[str]]
    _owners: dict[SlotId, str | None] = field(
        default_factory=dict, compare=False, repr=False
    )

    def __contains__(self, address: str) -> bool:
        """Return whether a proxy is live."""
        return any(address in live for live in self.domains.values())

    def owner(self, slot: SlotId) -> str | None:
        """Return the owner of a slot; None if no proxy is live."""
        if slot not in self._owners:
            self._owners[slot] = choose_owner(slot, self.domains)
        return self._owners[slot]

    def without(self, address: str) -> 'ProxySet':
        """Return the set without one proxy."""
        remaining = {
            domain: live - {address} for domain, live in self.domains.items()
        }
        return ProxySet(
            domains={domain: live for domain, live in remaining.items() if live}
        )


def collect_proxies(proxies: Iterable[ProxyAddress]) -> ProxySet:
    """Return the set of some proxies."""
    domains: dict[FailureDomain, set[str]] = {}
    for proxy in proxies:
        domains.setdefault(proxy.failure_domain, set()).add(proxy.address)
    return ProxySet(
        domains={domain: frozenset(live) for domain, live in domains.items()}
    )


def choose_owner(
    slot: SlotId, domains: Mapping[FailureDomain, frozenset[str]]
) -> str | None:
    """Return the owner of a slot.

    The slots of a customer are in different failure domains while there are
    enough, so that the loss of a domain takes one part of the limit only.
    """
    domain = _choose_domain(slot, domains)
    if domain is None:
        return None
    return max(
        domains[domain],
        key=lambda address: _weight(slot, slot.number, address),
    )


def _choose_domain(
    slot: SlotId, domains: Mapping[FailureDomain, frozenset[str]]
) -> FailureDomain | None:
    if not domains:
        return None
    left = set(domains)
    for number in range(slot.number):
        left.discard(_heaviest(slot, number, left))
        left = left or set(domains)
    return _heaviest(slot, slot.number, left)


def _heaviest(
    slot: SlotId, number: int, domains: Iterable[FailureDomain]
) -> FailureDomain:
    return max(domains, key=lambda one: _weight(slot, number, one))


def _weight(slot: SlotId, number: int, name: str) -> tuple[int, str]:
    key = f'{slot.customer} {number} {name}'
    return xxhash.xxh3_64_intdigest(key.encode()), name
