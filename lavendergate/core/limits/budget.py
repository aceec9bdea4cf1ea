"""Divides the limit of a customer and its tolerance among owner proxies."""

from dataclasses import dataclass

from lavendergate.core.customers.table import OperationLimit

# Owners of one customer. Customers mostly stay below two thirds of their
# limit, which two owners still grant while the third one is lost.
OWNERS_PER_CUSTOMER = 3
# Parts of the tolerance that leases use, and the refill with the division among
# owners. The rest covers the times at which owners apply a changed limit.
_LEASE_PART = 0.2
_GRANTED_PART = 0.75
# Longest time between the grant of an operation and its use, in seconds.
_MAX_LEASE_S = 0.4
# Operations beyond its part of the burst that an owner may collect. They make
# up for demand that is distributed unevenly among the owners.
_EXTRA_PER_OWNER = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Tolerance:
    """Excess over a limit that is tolerated in a sliding window.

    Parameters
    ----------
    window_s
        Length of the window, in seconds.
    overage
        Tolerated excess as a fraction of the limit.
    slack
        Tolerated excess in operations, in addition to `overage`.
    """

    window_s: float
    overage: float = 0
    slack: float = 0

    @property
    def owners(self) -> int:
        """Number of owners among which a limit is divided.

        Each owner must be able to collect a whole operation, also where the
        burst is zero; without slack, one owner keeps the whole limit.
        """
        extra = OWNERS_PER_CUSTOMER * _EXTRA_PER_OWNER
        is_covered = self.slack * _GRANTED_PART >= extra
        return OWNERS_PER_CUSTOMER if is_covered else 1

    def allowed(self, limit: OperationLimit) -> float:
        """Return the operations that may run in any window."""
        return self._limited(limit) + self.excess(limit)

    def excess(self, limit: OperationLimit) -> float:
        """Return the operations that are tolerated beyond a limit."""
        return self.overage * self._limited(limit) + self.slack

    def _limited(self, limit: OperationLimit) -> float:
        return limit.rate_per_s * self.window_s + limit.burst


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerLimit:
    """Part of a customer's limit that one owner grants.

    Parameters
    ----------
    rate_per_s
        Operations per second that the owner may grant.
    capacity
        Operations that it may grant at once.
    lease_s
        Time after the question within which a granted operation must be
        used, in seconds.
    """

    rate_per_s: float
    capacity: float
    lease_s: float


def divide(limit: OperationLimit, tolerance: Tolerance) -> OwnerLimit:
    """Return the part of a limit that each owner grants.

    An operation that is used `lease_s` after its grant adds the refill of that
    time to a window, so the lease is as long as the tolerance covers. What the
    tolerance leaves beyond that raises the rate: a customer may use its rate
    and its burst in every window, and a bucket that gives the burst only once
    would refuse operations that are below the limit.
    """
    excess = tolerance.excess(limit)
    owners = tolerance.owners
    granted = _GRANTED_PART * excess
    extra = min(_EXTRA_PER_OWNER, granted / owners)
    rate = limit.rate_per_s
    if rate <= 0:
        # Without a rate, only the burst is granted, once.
        capacity = limit.burst / owners + (extra if limit.burst > 0 else 0)
        return OwnerLimit(rate_per_s=0, capacity=capacity, lease_s=_MAX_LEASE_S)
    rate += (granted - extra * owners) / tolerance.window_s
    return OwnerLimit(
        rate_per_s=rate / owners,
        capacity=max(1.0, limit.burst / owners + extra),
        lease_s=min(_MAX_LEASE_S, _LEASE_PART * excess / rate),
    )
