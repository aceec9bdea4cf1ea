"""Change records of the log file, and their replay into a state."""

from dataclasses import dataclass, field

import msgspec

from lavendergate.core.consensus.log import Log
from lavendergate.core.consensus.types import (
    LOG_ORIGIN,
    Entry,
    EntryId,
    HardState,
    NodeId,
    Snapshot,
)


class _Change(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Base of all changes; class name and field order are stored."""


class HardStateChange(_Change, frozen=True, kw_only=True, tag=True):
    """Replaces the hard state."""

    hard_state: HardState


class Appended(_Change, frozen=True, kw_only=True, tag=True):
    """Appends entries to the log."""

    entries: tuple[Entry, ...]


class Truncated(_Change, frozen=True, kw_only=True, tag=True):
    """Removes all entries from index `first` on."""

    first: int


class Rebased(_Change, frozen=True, kw_only=True, tag=True):
    """Starts an empty log whose first entry follows the entry `base`."""

    base: EntryId


Change = HardStateChange | Appended | Truncated | Rebased


class IdentityFile(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the identity file."""

    identity: NodeId
    format_version: int = 1


@dataclass(kw_only=True, slots=True)
class Replay:
    """State after applying changes in the order they were written."""

    hard_state: HardState = field(default_factory=HardState)
    base: EntryId = LOG_ORIGIN
    entries: list[Entry] = field(default_factory=list)

    def apply(self, change: Change) -> None:
        """Apply one change."""
        match change:
            case HardStateChange(hard_state=hard_state):
                self.hard_state = hard_state
            case Appended(entries=entries):
                self.entries.extend(entries)
            case Truncated(first=first):
                self.entries = self.entries[: first - self.base.index - 1]
            case Rebased(base=base):
                self.base = base
                self.entries = []

    def log_consistent_with(self, snapshot: Snapshot | None) -> Log:
        """Return the log that is consistent with a snapshot.

        A snapshot is written before the log that belongs to it. After a
        crash between the two, the old log can follow the snapshot only if it
        contains the snapshot's last entry; otherwise the log is empty.
        """
        log = Log(base=self.base, entries=tuple(self.entries))
        if snapshot is None:
            return log
        if log.term_at(snapshot.last.index) == snapshot.last.term:
            return log
        return Log(base=snapshot.last)


def initial_changes(hard_state: HardState, log: Log) -> tuple[Change, ...]:
    """Return the changes that form the first record of a log file."""
    return (
        HardStateChange(hard_state=hard_state),
        Rebased(base=log.base),
        Appended(entries=log.entries),
    )


encoder = msgspec.msgpack.Encoder()
change_decoder: msgspec.msgpack.Decoder[tuple[Change, ...]] = (
    msgspec.msgpack.Decoder(tuple[Change, ...])
)
snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)
identity_decoder = msgspec.msgpack.Decoder(IdentityFile)
