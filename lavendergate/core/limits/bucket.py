"""Token bucket from which an owner grants operations."""

import math
from dataclasses import dataclass

from lavendergate.core.limits.budget import OwnerLimit

# Time to return after which a customer without any rate is told, in seconds.
_LONGEST_RETRY_S = 5.0


@dataclass(kw_only=True, slots=True)
class TokenBucket:
    """Operations that an owner may grant.

    Parameters
    ----------
    limit
        Part of the customer's limit that the owner grants.
    filled_at
        Time up to which the bucket was refilled, in seconds.
    tokens
        Operations that may be granted at `filled_at`.
    """

    limit: OwnerLimit
    filled_at: float
    tokens: float = 0

    def take(self, wanted: int, now: float) -> int:
        """Take up to `wanted` whole operations; return their number."""
        self.refill(now)
        granted = min(wanted, math.floor(self.tokens))
        self.tokens -= granted
        return granted

    def change(self, limit: OwnerLimit, now: float) -> None:
        """Apply a changed limit.

        The bucket is never filled up by it: limits that go down and up again
        would otherwise give a new burst each time.
        """
        if limit != self.limit:
            self.refill(now)
            self.limit = limit
            self.tokens = min(self.tokens, limit.capacity)

    def retry_after_s(self, now: float) -> float:
        """Return the time until one operation can be granted, in seconds."""
        self.refill(now)
        if self.limit.rate_per_s <= 0:
            return _LONGEST_RETRY_S
        missing = max(0, 1 - self.tokens)
        return min(_LONGEST_RETRY_S, missing / self.limit.rate_per_s)

    def refill(self, now: float) -> None:
        """Add the operations of the time since the last refill."""
        elapsed_s = max(0, now - self.filled_at)
        self.filled_at = max(self.filled_at, now)
        filled = self.tokens + elapsed_s * self.limit.rate_per_s
        self.tokens = min(self.limit.capacity, filled)
