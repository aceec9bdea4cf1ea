"""How long a statement waits before it is refused.

Answers load that cannot be served at the moment, as while a service has no
primary: a caller that learns at once that nothing ran can decide and come
back, and one that is kept waiting in vain cannot.
"""

from lavendergate.core.routes import Route

# Share of the target latency that a statement may wait for a member. The
# rest is needed to run it.
_WAIT_SHARE = 0.25
_MS_PER_S = 1000


def waits_for_primary_until(
    route: Route, started_at: float, deadline: float
) -> float:
    """Return until when a statement waits for a member that can run it.

    Parameters
    ----------
    started_at, deadline
        Arrival and end of the time to answer, in seconds.
    """
    wait_s = _WAIT_SHARE * route.target_latency_ms / _MS_PER_S
    return min(deadline, started_at + wait_s)
