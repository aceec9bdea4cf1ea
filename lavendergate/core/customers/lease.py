"""Lease on the customer table of a proxy.

A key that was taken away must stop working everywhere within a fixed time
after the acknowledgement, also on a proxy that receives no changes. A proxy
therefore admits keys only for that time after the latest moment at which its
table is proven to have been the newest one.

All times are in seconds on a clock that also runs while the host is
suspended; steps of the time of day do not change it.
"""

from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class KeyLease:
    """Time until which the keys of the present table may be admitted.

    Parameters
    ----------
    duration_s
        Time after the proof for which keys are admitted, in seconds; None
        for no limit.
    """

    duration_s: float | None
    _proven_at: float = float('-inf')

    def renew(self, proven_at: float) -> None:
        """Record that the present table was the newest one at a time.

        A table that replaces it is at least as new, so the proof stays valid.
        """
        self._proven_at = max(self._proven_at, proven_at)

    def covers(self, arrived_at: float) -> bool:
        """Return whether a statement may use a key of the table.

        Parameters
        ----------
        arrived_at
            Arrival of the statement. The caller sent it before, so a key
            that was still valid then may run it also if it waits.
        """
        if self.duration_s is None:
            return True
        return arrived_at <= self._proven_at + self.duration_s


def confirmation_time(
    sent_at: float, lease_s: float, lease_duration_s: float
) -> float:
    """Return a time at which the control leader is known to have led.

    The leader leases primaries for a fixed time from its latest confirmation
    by a majority, and states the remaining time counted from the sending of
    the request. The version of the route table in the same reply is at least
    the one that was committed at the confirmation.

    Parameters
    ----------
    sent_at
        When the request was sent.
    lease_s
        Remaining duration of the lease, counted from `sent_at`.
    lease_duration_s
        Whole duration of the lease.
    """
    return sent_at + lease_s - lease_duration_s
