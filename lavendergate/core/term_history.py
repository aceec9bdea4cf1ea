"""Checks of log positions against the term history of a group."""

from lavendergate.core.types import LogPosition, TermStart

TermHistory = tuple[TermStart, ...]


def next_start(history: TermHistory, position: LogPosition) -> TermStart | None:
    """Return the start of the first later term, or None if there is none."""
    for start in history:
        if start.term > position.term:
            return start
    return None


def may_be_in_log(history: TermHistory, position: LogPosition) -> bool:
    """Whether an entry may be in the primary's log, judging by the history.

    An entry of an earlier term is in the log only if its position is below the
    first position of the next term listed. Otherwise, the primary of that term
    did not have the entry.
    """
    start = next_start(history, position)
    return start is None or position.position < start.first_position


def log_contains(
    history: TermHistory,
    last_entry: LogPosition,
    required: LogPosition,
) -> bool:
    """Whether a log that ends with `last_entry` contains `required`.

    Parameters
    ----------
    history
        First position of each recent term, oldest first.
    last_entry
        Last entry of a member's log.
    required
        Entry that a session wrote or read.

    Returns
    -------
    bool
        Also False if the history lists no term after the required one up to
        the member's.
    """
    if last_entry.term == required.term:
        return last_entry.position >= required.position
    if last_entry.term < required.term:
        return required.position == 0
    for start in history:
        if start.term > required.term:
            # If the first later term listed is newer than the member's, the
            # history lacks the member's term.
            is_known = start.term <= last_entry.term
            return is_known and required.position < start.first_position
    return False
