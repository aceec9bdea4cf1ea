"""In-memory part of the replicated log."""

from dataclasses import dataclass, replace

from lavendergate.core.consensus.types import (
    LOG_ORIGIN,
    ConsensusTerm,
    Entry,
    EntryId,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Log:
    """Entries after `base`; earlier ones are only in the snapshot.

    Parameters
    ----------
    base
        Last entry that was removed by compaction.
    entries
        Entries with consecutive indexes from ``base.index + 1``.
    """

    base: EntryId = LOG_ORIGIN
    entries: tuple[Entry, ...] = ()

    @property
    def last(self) -> EntryId:
        """Term and index of the last entry."""
        return self.entries[-1].entry_id if self.entries else self.base

    def term_at(self, index: int) -> ConsensusTerm | None:
        """Return the term of an entry, or None if it is not in memory."""
        if index == self.base.index:
            return self.base.term
        offset = index - self.base.index - 1
        if 0 <= offset < len(self.entries):
            return self.entries[offset].term
        return None

    def contains(self, entry_id: EntryId) -> bool:
        """Return whether the log contains the entry.

        Entries up to the base are committed and therefore in the log of
        every leader; their terms are not compared.
        """
        if entry_id.index <= self.base.index:
            return True
        return self.term_at(entry_id.index) == entry_id.term

    def between(self, first: int, last: int) -> tuple[Entry, ...]:
        """Return the entries from index `first` to `last`, both included."""
        start = max(first - self.base.index - 1, 0)
        return self.entries[start : max(last - self.base.index, 0)]

    def append(self, entries: tuple[Entry, ...]) -> 'Log':
        """Return the log with entries added at the end."""
        return replace(self, entries=self.entries + entries)

    def truncate(self, first: int) -> 'Log':
        """Return the log without the entries from index `first` on."""
        kept = self.entries[: max(first - self.base.index - 1, 0)]
        return replace(self, entries=kept)

    def compact(self, index: int) -> 'Log':
        """Return the log without the entries up to and including `index`."""
        term = self.term_at(index)
        if term is None or index <= self.base.index:
            return self
        return Log(
            base=EntryId(term=term, index=index),
            entries=self.entries[index - self.base.index :],
        )
