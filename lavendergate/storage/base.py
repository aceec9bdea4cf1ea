"""Interface of the durable storage of the replicated log."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from lavendergate.core.consensus.log import Log
from lavendergate.core.consensus.types import (
    Entry,
    HardState,
    NodeId,
    Snapshot,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredState:
    """State that a node loads from its storage when it starts."""

    identity: NodeId
    hard_state: HardState
    log: Log
    snapshot: Snapshot | None


class StorageError(Exception):
    """The storage is unusable; the message says how to recover."""


class DamagedFileError(StorageError):
    """The content of a file differs from the bytes that were synced.

    Parameters
    ----------
    path
        The damaged file.
    offset
        Offset of the first invalid record in the file, in bytes.
    """

    def __init__(self, *, path: str, offset: int) -> None:
        super().__init__(
            f'{path} is damaged at byte {offset}, before its end: synced '
            'records are lost, so this host must not vote with this log. '
            'It may only rejoin with an empty data directory: outside the '
            'hosting platform, move the directory away, start the host and '
            'run `lavendergatectl cluster replace` for it'
        )
        self.path = path
        self.offset = offset


class UnreadableRecordError(StorageError):
    """A record is complete, but this build cannot decode it.

    Its checksum is right: no byte is lost, and the build that wrote the
    record can read it.

    Parameters
    ----------
    path
        File that holds the record.
    offset
        Offset of the record in the file, in bytes.
    reason
        Why it cannot be decoded.
    """

    def __init__(self, *, path: str, offset: int, reason: str) -> None:
        super().__init__(
            f'this build cannot read the record at byte {offset} of {path}: '
            f'{reason}. Keep the data directory, and start the build that '
            'wrote it'
        )
        self.path = path
        self.offset = offset


class UnreadableLogError(StorageError):
    """An entry of the replicated log is intact, but cannot be decoded.

    The other hosts of the group hold the same entry, so emptying the data
    directories would lose the state of the group.

    Parameters
    ----------
    location
        Directory or peer that the entry comes from.
    part
        The entry, or the state of the snapshot.
    reason
        Why it cannot be decoded.
    """

    def __init__(self, *, location: str, part: str, reason: str) -> None:
        super().__init__(
            f'this build cannot read {part} from {location}: {reason}. Keep '
            'the data directory, and start the build that wrote it'
        )


class LogStorage(ABC):
    """Durable storage of one node.

    Changes are buffered in memory until `sync` makes them durable.
    """

    @property
    def is_blocking(self) -> bool:
        """Whether the methods block and must run in a worker thread."""
        return True

    @property
    def location(self) -> str:
        """Where the state is stored, for messages."""
        return 'the storage'

    @abstractmethod
    def load(self) -> StoredState:
        """Read the stored state, or create an identity in an empty storage.

        Raises
        ------
        StorageError
            If the storage is damaged, in use, holds a record that this build
            cannot read, or belongs to another host.
        """

    def reload(self) -> StoredState:
        """Read the stored state again after a failed write.

        Buffered changes are lost. What is returned is durable, including
        records of writes whose sync failed.

        Raises
        ------
        StorageError, OSError
            If the storage cannot be read, or still takes no writes.
        """
        self.close()
        return self.load()

    @abstractmethod
    def save_hard_state(self, hard_state: HardState) -> None:
        """Buffer the hard state."""

    @abstractmethod
    def append(self, entries: tuple[Entry, ...]) -> None:
        """Buffer entries that follow the last entry of the log."""

    @abstractmethod
    def truncate(self, first: int) -> None:
        """Buffer the removal of all entries from index `first` on."""

    @abstractmethod
    def save_snapshot(self, snapshot: Snapshot, log: Log) -> None:
        """Replace the log by a snapshot and the entries to keep.

        This change and all buffered ones are durable on return.

        Parameters
        ----------
        snapshot
            State machine up to and including the entry ``snapshot.last``.
        log
            Entries to keep. Its base is at or before ``snapshot.last``.
        """

    @abstractmethod
    def sync(self) -> None:
        """Make all buffered changes durable."""

    @abstractmethod
    def close(self) -> None:
        """Release the storage; buffered changes are lost."""
