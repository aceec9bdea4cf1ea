"""How long a statement waits before it is refused.

While a statement cannot be served, for instance because its service has no
primary, it is refused early: a caller that learns soon that nothing ran can
decide what to do and retry, while one that waits until the deadline cannot.
"""

from lavendergate.core.routes import Route

# Fraction of the target latency that a statement may wait for a member. The
# rest is needed to run it.
_WAIT_FRACTION = 0.25
_MS_PER_S = 1000


def member_wait_deadline(
    route: Route, started_at: float, deadline: float
) -> float:
    """Return the time until which a statement waits for a member to run it.

    Parameters
    ----------
    started_at, deadline
        Arrival time of the statement and the time by which it must be
        answered, in seconds.
    """
    wait_s = _WAIT_FRACTION * route.target_latency_ms / _MS_PER_S
    return min(deadline, started_at + wait_s)
