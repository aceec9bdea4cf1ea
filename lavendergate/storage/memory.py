"""In-memory storage that loses unsynced changes in a simulated crash."""

from lavendergate.core.consensus.log import Log
from lavendergate.core.consensus.types import (
    Entry,
    HardState,
    NodeId,
    Snapshot,
)
from lavendergate.storage import records
from lavendergate.storage.base import LogStorage, StorageError, StoredState


class MemoryStorage(LogStorage):
    """Fake storage for tests.

    Parameters
    ----------
    identity
        Identity of the node.
    """

    def __init__(self, *, identity: NodeId) -> None:
        self._identity = identity
        self._synced: list[records.Change] = []
        self._buffered: list[records.Change] = []
        self._hard_state = HardState()
        self._snapshot: Snapshot | None = None
        self._operations_left: int | None = None

    @property
    def is_blocking(self) -> bool:
        """Whether the methods block."""
        return False

    def fail_after(self, operations: int | None) -> None:
        """Fail all operations after the next `operations` ones.

        Parameters
        ----------
        operations
            Number of writes and syncs that still succeed; None: all succeed.
        """
        self._operations_left = operations

    def crash(self) -> None:
        """Discard unsynced changes and end the failure of operations."""
        self._buffered = []
        self._operations_left = None

    def load(self) -> StoredState:
        """Return the synced state."""
        replay = records.Replay()
        for change in self._synced:
            replay.apply(change)
        self._hard_state = replay.hard_state
        return StoredState(
            identity=self._identity,
            hard_state=replay.hard_state,
            log=replay.log_consistent_with(self._snapshot),
            snapshot=self._snapshot,
        )

    def reload(self) -> StoredState:
        """Return the synced state; fails while operations fail."""
        self._consume_operation()
        return super().reload()

    def save_hard_state(self, hard_state: HardState) -> None:
        """Buffer the hard state."""
        self._consume_operation()
        self._hard_state = hard_state
        self._buffered.append(records.HardStateChange(hard_state=hard_state))

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Buffer entries."""
        self._consume_operation()
        self._buffered.append(records.Appended(entries=entries))

    def truncate(self, first: int) -> None:
        """Buffer a truncation."""
        self._consume_operation()
        self._buffered.append(records.Truncated(first=first))

    def save_snapshot(self, snapshot: Snapshot, log: Log) -> None:
        """Replace the snapshot, then the log.

        The two steps count as separate operations for `fail_after`, so that
        a failure can leave a new snapshot beside the old log.
        """
        self.sync()
        self._consume_operation()
        self._snapshot = snapshot
        self._consume_operation()
        self._synced = list(records.initial_changes(self._hard_state, log))

    def sync(self) -> None:
        """Add the buffered changes to the synced ones."""
        self._consume_operation()
        self._synced.extend(self._buffered)
        self._buffered = []

    def close(self) -> None:
        """Discard the buffered changes."""
        self._buffered = []

    def _consume_operation(self) -> None:
        if self._operations_left is None:
            return
        if self._operations_left == 0:
            raise StorageError(
                'simulated storage failure requested by fail_after'
            )
        self._operations_left -= 1
