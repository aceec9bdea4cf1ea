"""Directory of the live proxies on the control leader."""

from collections.abc import Callable
from dataclasses import dataclass

from lavendergate.core.types import FailureDomain
from lavendergate.rpc.fleet_service import ProxyChanges, RelayOffer


@dataclass(kw_only=True, slots=True)
class _Proxy:
    failure_domain: FailureDomain
    offered_at: float
    version: int
    is_live: bool = True


class ProxyDirectory:
    """Proxies that offer to be homes, with versions for incremental sync.

    Parameters
    ----------
    clock
        Monotonic time, in seconds.
    lifetime_s
        Time after the last offer for which a proxy counts as live, in seconds.
    """

    def __init__(
        self, *, clock: Callable[[], float], lifetime_s: float
    ) -> None:
        self._clock = clock
        self._lifetime_s = lifetime_s
        self._proxies: dict[str, _Proxy] = {}
        self._version = 0

    def record(self, offer: RelayOffer) -> None:
        """Record the offer of a proxy, or that it is stopping."""
        known = self._proxies.get(offer.address)
        if known is None or known.is_live == offer.is_stopping:
            if known is None and offer.is_stopping:
                return
            self._version += 1
            self._proxies[offer.address] = _Proxy(
                failure_domain=offer.failure_domain,
                offered_at=self._clock(),
                version=self._version,
                is_live=not offer.is_stopping,
            )
            return
        known.offered_at = self._clock()

    def changes_since(
        self, version: int, *, is_complete: bool
    ) -> ProxyChanges | None:
        """Return the changes since a version; None if there are none.

        Parameters
        ----------
        is_complete
            Whether all live proxies have had time to make their offers.
        """
        self._expire()
        if version == self._version:
            return None
        live: dict[FailureDomain, list[str]] = {}
        gone = []
        for address, proxy in self._proxies.items():
            if proxy.version <= version:
                continue
            if proxy.is_live:
                live.setdefault(proxy.failure_domain, []).append(address)
            elif version:
                gone.append(address)
        return ProxyChanges(
            version=self._version if is_complete else 0,
            live={domain: tuple(known) for domain, known in live.items()},
            gone=tuple(gone),
        )

    def _expire(self) -> None:
        oldest = self._clock() - self._lifetime_s
        for proxy in self._proxies.values():
            if proxy.is_live and proxy.offered_at < oldest:
                self._version += 1
                proxy.version = self._version
                proxy.is_live = False
