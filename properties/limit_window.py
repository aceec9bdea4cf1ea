"""Checks the operations of one customer against its sliding window."""

from collections import deque
from collections.abc import Iterable


def most_in_window(times: Iterable[float], window_s: float) -> int:
    """Return the most operations that ran in any window.

    Parameters
    ----------
    times
        When each operation ran, in seconds, in any order.
    """
    most = 0
    window: deque[float] = deque()
    for ran_at in sorted(times):
        window.append(ran_at)
        while window[0] < ran_at - window_s:
            window.popleft()
        most = max(most, len(window))
    return most
