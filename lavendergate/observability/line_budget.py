"""Limits how often something is logged."""

from collections.abc import Callable

_WINDOW_S = 1.0


class LineBudget:
    """Allows a number of lines a second, and counts those beyond it.

    Parameters
    ----------
    clock
        Monotonic time, in seconds.
    lines_per_s
        Lines that may be written within one second.

    Examples
    --------
    >>> budget = LineBudget(clock=lambda: 0, lines_per_s=1)
    >>> budget.take(), budget.take(), budget.suppressed
    (True, False, 1)
    """

    def __init__(self, *, clock: Callable[[], float], lines_per_s: int) -> None:
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._window_end = float('-inf')
        self._taken = 0
        self._suppressed = 0

    @property
    def suppressed(self) -> int:
        """Lines that were not allowed since the last reset."""
        return self._suppressed

    def take(self) -> bool:
        """Return whether a line may be written now."""
        now = self._clock()
        if now >= self._window_end:
            self._window_end = now + _WINDOW_S
            self._taken = 0
        if self._taken >= self._lines_per_s:
            self._suppressed += 1
            return False
        self._taken += 1
        return True

    def reset(self) -> int:
        """Return and clear the number of suppressed lines."""
        suppressed, self._suppressed = self._suppressed, 0
        return suppressed
