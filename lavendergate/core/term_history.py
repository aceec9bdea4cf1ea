"""Checks of log positions against a group's history of terms."""

from lavendergate.core.types import LogPosition, TermStart

TermHistory = tuple[TermStart, ...]


def next_start(history: TermHistory, position: LogPosition) -> TermStart | None:
    """Return the first term in the history after the position's term."""
    for start in history:
        if start.term > position.term:
            return start
    return None


def is_on_log(history: TermHistory, position: LogPosition) -> bool:
    """Tell whether the history does not exclude the position.

    An entry of an older term is on the log if it is below the start of the
    next term; otherwise the next primary did not have it.
    """
    start = next_start(history, position)
    return start is None or position.position < start.first_position


def holds(
    history: TermHistory,
    last_entry: LogPosition,
    required: LogPosition,
) -> bool:
    """Tell whether a log that ends with `last_entry` holds `required`.

    Parameters
    ----------
    history
        Starts of the group's recent terms, oldest first.
    last_entry
        Last entry of a member's log.
    required
        Entry that a session wrote or read.

    Returns
    -------
    bool
        False also where the history does not reach back or forward far
        enough to tell.
    """
    if last_entry.term == required.term:
        return last_entry.position >= required.position
    if last_entry.term < required.term:
        return required.position == 0
    for start in history:
        if start.term > required.term:
            # The terms up to the member's are known only if the first one
            # after the required term is not newer than the member's.
            is_known = start.term <= last_entry.term
            return is_known and required.position < start.first_position
    return False
