"""Time for which a member is known to have run without a break.

A connection ends with the process at its other end. An answer on a connection
therefore shows that the member has run since the connection was opened, and
overlapping connections show it for all their time.
"""

from dataclasses import dataclass

_NEVER = float('-inf')


@dataclass(kw_only=True, slots=True)
class RunningSpan:
    """Latest unbroken time in which one start of a member ran.

    All times are in seconds on one monotonic clock.

    Parameters
    ----------
    since, until
        Begin and end of the time; it is empty before the first answer.
    """

    since: float = float('inf')
    until: float = _NEVER

    def extend(self, since: float, until: float) -> None:
        """Record that the member ran without a break between two times.

        Parameters
        ----------
        since
            When the connection had been opened.
        until
            When the answered question was sent.
        """
        if since > until:
            return
        if since > self.until:
            self.since, self.until = since, until
        elif until >= self.since:
            self.since = min(self.since, since)
            self.until = max(self.until, until)

    def since_at(self, moment: float) -> float:
        """Return since when the member had run at a time; infinity if unknown.

        A time that no answer covers says nothing: the member may have been
        restarted before it.
        """
        is_covered = self.since <= moment <= self.until
        return self.since if is_covered else float('inf')
