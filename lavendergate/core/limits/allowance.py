"""Operations that a proxy has borrowed from the owners of a limit."""

import math
from dataclasses import dataclass, field

# Time constant of the demand estimate, in seconds. Demand that moves to
# another proxy is followed within about this time.
_DEMAND_TIME_S = 0.5
# Part of the lease for which operations are borrowed ahead. The rest covers
# the round trip to the owner and demand that is lower than estimated.
_AHEAD_PART = 0.5


@dataclass(kw_only=True, slots=True)
class _Lease:
    operations: int
    expires_at: float


@dataclass(kw_only=True, slots=True)
class Allowance:
    """What one proxy may run for one customer without asking an owner.

    Times are in seconds on a clock that also advances while the host is
    suspended.
    """

    _leases: list[_Lease] = field(default_factory=list)
    _demand: float = 0
    _counted_at: float = float('-inf')
    _exhausted_until: dict[int, float] = field(default_factory=dict)

    def count(self, now: float) -> None:
        """Record that the customer wants to run an operation."""
        self._demand = self._decayed(now) + 1
        self._counted_at = now

    def use(self, now: float) -> bool:
        """Use one borrowed operation; return whether there was one."""
        self._leases = [
            lease
            for lease in self._leases
            if lease.operations and lease.expires_at > now
        ]
        if not self._leases:
            return False
        self._leases[0].operations -= 1
        return True

    def wanted(self, waiting: int, lease_s: float, now: float) -> int:
        """Return the number of operations to ask for.

        Parameters
        ----------
        waiting
            Operations of callers that wait for the answer.
        lease_s
            Duration of a lease, in seconds.
        """
        per_s = self._decayed(now) / _DEMAND_TIME_S
        # The callers that wait are part of the demand, and cause none later.
        ahead = math.floor(per_s * lease_s * _AHEAD_PART)
        return max(waiting, ahead)

    def add(self, operations: int, expires_at: float) -> None:
        """Add operations that an owner granted beyond the waiting ones."""
        if operations > 0:
            self._leases.append(
                _Lease(operations=operations, expires_at=expires_at)
            )

    def record_exhausted(self, slot: int, until: float) -> None:
        """Record until when the owner of a slot has nothing to grant."""
        self._exhausted_until[slot] = until

    def is_exhausted(self, slot: int, now: float) -> bool:
        """Return whether the owner of a slot has nothing to grant."""
        return self._exhausted_until.get(slot, now) > now

    def retry_after_s(self, now: float) -> float:
        """Return the time until an exhausted slot can be used again."""
        waits = [
            until - now
            for until in self._exhausted_until.values()
            if until > now
        ]
        return min(waits, default=0)

    def _decayed(self, now: float) -> float:
        elapsed_s = max(0, now - self._counted_at)
        return self._demand * math.exp(-elapsed_s / _DEMAND_TIME_S)
