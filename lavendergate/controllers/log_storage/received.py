"""Checks of messages of the replicated log, before they are handled."""

import logging
from collections.abc import Callable

from lavendergate.controllers.log_storage.readable import decode_entry
from lavendergate.core.bounds.decoding import InvalidValueError
from lavendergate.core.bounds.ranges import MAX_LOG_POSITION
from lavendergate.core.consensus.contradictions import contradiction
from lavendergate.core.consensus.messages import (
    AppendRequest,
    Envelope,
    Message,
    SnapshotRequest,
)
from lavendergate.core.consensus.state import NodeState
from lavendergate.core.control_state import decode_state
from lavendergate.core.errors import quoted

_logger = logging.getLogger(__name__)

# A leader sends a refused message again at each of its heartbeats.
_INTERVAL_S = 10.0


class ReceivedMessages:
    """Refuses messages that this build cannot read, or that contradict it.

    Once persisted, an entry that cannot be decoded would end the host at each
    of its starts.

    Parameters
    ----------
    clock
        Monotonic time, in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._refused = 0
        self._log_at = float('-inf')

    @property
    def refused(self) -> int:
        """Number of refused messages."""
        return self._refused

    def is_valid(self, envelope: Envelope) -> bool:
        """Return whether a message may be handled.

        A refused one is counted, and logged at most once in 10 s.
        """
        return self._is_allowed(
            envelope, problem_with_message(envelope.message)
        )

    def is_consistent(self, envelope: Envelope, node: NodeState) -> bool:
        """Return whether a valid message may be handled in a node's state.

        One that contradicts the state is refused, counted and logged, too.
        """
        return self._is_allowed(envelope, contradiction(node, envelope))

    def _is_allowed(self, envelope: Envelope, problem: str | None) -> bool:
        if problem is None:
            return True
        self._refused += 1
        now = self._clock()
        if now >= self._log_at:
            self._log_at = now + _INTERVAL_S
            _logger.warning(
                'a log message of %s was refused, %d since the start: %s',
                quoted(envelope.sender.host_id),
                self._refused,
                problem,
            )
        return False


def problem_with_message(message: Message) -> str | None:
    """Return why a message cannot be handled, or None if it can."""
    for entry_id in message.entry_ids:
        # The types of entries are those of the storage, with its range.
        if entry_id.index > MAX_LOG_POSITION:
            return f'index {entry_id.index} is above {MAX_LOG_POSITION}'
        if entry_id.term > message.term:
            return (
                f'entry {entry_id.index} is of term {entry_id.term}, later '
                f'than term {message.term} of the message'
            )
    try:
        match message:
            case AppendRequest():
                return _problem_with_entries(message)
            case SnapshotRequest(snapshot=snapshot):
                decode_state(snapshot.state)
    except InvalidValueError as error:
        return str(error)
    return None


def _problem_with_entries(request: AppendRequest) -> str | None:
    first = request.previous.index + 1
    for expected, entry in enumerate(request.entries, start=first):
        if entry.index != expected:
            return f'entry {entry.index} is in the place of entry {expected}'
        decode_entry(entry)
    return None
