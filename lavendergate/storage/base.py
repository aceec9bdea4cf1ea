"""Port to the durable storage of the replicated log."""

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
    """What a node finds in its storage when it starts."""

    identity: NodeId
    hard_state: HardState
    log: Log
    snapshot: Snapshot | None


class StorageError(Exception):
    """The storage cannot be used; the message names the remedy."""


class DamagedFileError(StorageError):
    """A file holds other bytes than were synced.

    Parameters
    ----------
    path
        The damaged file.
    offset
        Position of the damage, in bytes.
    """

    def __init__(self, *, path: str, offset: int) -> None:
        super().__init__(
            f'{path} is damaged at byte {offset}, before its end: synced '
            'records are lost, so this host must not vote with them. Move '
            'the data directory away, start the host with an empty one and '
            'run `lavendergatectl cluster replace` for it'
        )
        self.path = path
        self.offset = offset


class LogStorage(ABC):
    """Durable storage of one node.

    Changes are buffered until `sync`.
    """

    @property
    def is_blocking(self) -> bool:
        """Whether the methods block, so that they belong in a thread."""
        return True

    @abstractmethod
    def load(self) -> StoredState:
        """Read the stored state; an empty storage gets a new identity.

        Raises
        ------
        StorageError
            If the storage is damaged or in use.
        """

    @abstractmethod
    def save_hard_state(self, hard_state: HardState) -> None:
        """Buffer the hard state."""

    @abstractmethod
    def append(self, entries: tuple[Entry, ...]) -> None:
        """Buffer entries that follow the last one."""

    @abstractmethod
    def truncate(self, first: int) -> None:
        """Buffer the removal of the entries from index `first`."""

    @abstractmethod
    def save_snapshot(self, snapshot: Snapshot, log: Log) -> None:
        """Replace the log by a snapshot and the entries kept beside it.

        The change and all earlier ones are durable on return.

        Parameters
        ----------
        snapshot
            The snapshot.
        log
            Entries kept; its base is not after the snapshot's last entry.
        """

    @abstractmethod
    def sync(self) -> None:
        """Make all buffered changes durable."""

    @abstractmethod
    def close(self) -> None:
        """Release the storage without syncing."""
