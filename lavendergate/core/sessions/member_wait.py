"""How long a statement waits before it is refused.

While a statement cannot be served, for instance because its service has no
primary, it is refused early: a caller that learns soon that nothing ran can
decide what to do and retry, while one that waits until the deadline cannot.
"""

from lavendergate.core.routes import Route

# Fraction of the target latency that a statement may wait for a member. The
# rest is needed to run it.
_WAIT_FRACTION = 0.25
# Least time in which a repeated statement can still be answered, in seconds.
_RETRY_TIME_S = 0.02
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


def has_time_for_retry(
    pause_s: float, now: float, deadline: float, *, wait_s: float = 0
) -> bool:
    """Return whether a statement may be sent again after a pause.

    If not, it is refused at once, since a later refusal tells nothing more.

    Parameters
    ----------
    pause_s
        Pause before the statement is sent again, in seconds.
    now, deadline
        Current time and the time by which the statement must be answered, in
        seconds.
    wait_s
        Predicted time until the statement would be served, in seconds, as
        the refusal of the last attempt told.
    """
    return now + max(pause_s, wait_s) + _RETRY_TIME_S < deadline
