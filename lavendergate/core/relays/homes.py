"""Chooses the home proxies of a member.

All proxies that know the same proxies choose the same homes, without
coordination. A proxy that joins or leaves changes the homes of few members.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.types import FailureDomain, UpstreamId

# Homes of one member, among which the other proxies divide themselves. One home
# alone would spend all its processor time on a busy primary.
HOMES_PER_MEMBER = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class ProxyAddress:
    """A proxy that can be a home.

    Parameters
    ----------
    address
        Address on which other proxies reach it, ``ip:port``.
    """

    address: str
    failure_domain: FailureDomain


@dataclass(kw_only=True, slots=True)
class HomeDirectory:
    """Live proxies, and the homes that follow from them."""

    _proxies: Mapping[str, ProxyAddress] = field(default_factory=dict)
    _homes: dict[UpstreamId, tuple[FailureDomain, tuple[str, ...]]] = field(
        default_factory=dict
    )

    def replace(self, proxies: Iterable[ProxyAddress]) -> None:
        """Replace the live proxies."""
        changed = {proxy.address: proxy for proxy in proxies}
        if changed != self._proxies:
            self._proxies = changed
            self._homes = {}

    def homes_of(self, member: MemberEntry) -> tuple[str, ...]:
        """Return the addresses of a member's homes."""
        domain = member.failure_domain
        known = self._homes.get(member.upstream_id)
        if known is not None and known[0] == domain:
            return known[1]
        homes = choose_homes(member, self._proxies.values())
        self._homes[member.upstream_id] = (domain, homes)
        return homes


def choose_homes(
    member: MemberEntry, proxies: Iterable[ProxyAddress]
) -> tuple[str, ...]:
    """Return the addresses of a member's homes.

    Homes are in the failure domain of the member while it has enough proxies,
    so that a statement crosses no more domains than without a home.
    """
    candidates = tuple(proxies)
    near = tuple(
        proxy
        for proxy in candidates
        if proxy.failure_domain == member.failure_domain
    )
    if len(near) >= HOMES_PER_MEMBER:
        candidates = near
    ranked = sorted(
        candidates,
        key=lambda proxy: _weight(member.upstream_id, proxy.address),
        reverse=True,
    )
    return tuple(proxy.address for proxy in ranked[:HOMES_PER_MEMBER])


def order_homes(homes: tuple[str, ...], divided_by: str) -> tuple[str, ...]:
    """Return the homes in the order in which a proxy tries them.

    Parameters
    ----------
    divided_by
        What the homes divide among themselves: the name of the statement's
        customer, so that each home keeps connections for a part of the
        customers; without a customer, the address of the proxy.
    """
    if not homes:
        return ()
    first = xxhash.xxh3_64_intdigest(divided_by.encode()) % len(homes)
    return homes[first:] + homes[:first]


def _weight(upstream_id: UpstreamId, address: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{upstream_id} {address}'.encode())
