"""Replicated state machine, driven by the committed log entries."""

from collections.abc import Sequence

from lavendergate.controllers.log_storage.readable import readable
from lavendergate.controllers.pending import PendingProposals
from lavendergate.core.commands import Command
from lavendergate.core.consensus.payload import decode_command
from lavendergate.core.consensus.types import Entry, Snapshot
from lavendergate.core.control_records import FindChangeProblem
from lavendergate.core.control_state import ControlState, apply, decode_state

# What the disk holds was checked at the start.
_LEADER = 'the leader'


class AppliedState:
    """State after all entries that have been applied.

    Parameters
    ----------
    find_change_problem
        Returns why a change of the settings is invalid, or None.
    proposals
        Pending proposals, which receive the answers.
    """

    def __init__(
        self,
        *,
        find_change_problem: FindChangeProblem,
        proposals: PendingProposals,
    ) -> None:
        self._find_change_problem = find_change_problem
        self._proposals = proposals
        self._state = ControlState()

    @property
    def state(self) -> ControlState:
        """Current state."""
        return self._state

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state with that of a snapshot."""
        with readable('the snapshot', _LEADER):
            self._state = decode_state(snapshot.state)

    def validate(self, command: Command) -> None:
        """Apply a command to the state and discard the result.

        An exception is raised before the command is in the log. In the log,
        it would crash every host at each start.
        """
        next_index = self._state.applied_index + 1
        apply(self._state, next_index, command, self._find_change_problem)

    def apply(self, entries: Sequence[Entry]) -> None:
        """Apply committed entries and answer their proposals."""
        for entry in entries:
            with readable(f'entry {entry.index}', _LEADER):
                command = decode_command(entry.payload)
            applied, answer = apply(
                self._state, entry.index, command, self._find_change_problem
            )
            self._state = applied
            self._proposals.answer(entry.index, entry.term, answer)
