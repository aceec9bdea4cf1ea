"""The durable replication log of a member."""

import os
import struct
import zlib
from collections.abc import Sequence
from pathlib import Path

import msgspec

_FRAME_HEADER = struct.Struct('>II')
_SYNCED_LENGTH = struct.Struct('>Q')


class Statement(msgspec.Struct, frozen=True, array_like=True):
    """A statement in SQLite's dialect that has the same effect on replicas.

    Parameters
    ----------
    sql
        Statement with literal values.
    now_us
        Time that ``NOW()`` returns, in microseconds since the epoch.
    seed
        Seed of ``RAND()`` and ``UUID()``.
    """

    sql: str
    now_us: int
    seed: int


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A committed write transaction."""

    term: int
    position: int
    statements: tuple[Statement, ...]


class TermRun(msgspec.Struct, frozen=True, array_like=True):
    """A term and the first position written in it."""

    term: int
    first_position: int


class ReplicationLog:
    """Append-only file of entries that are synced before they are visible.

    A second file stores the synced length and is written after each sync. A
    restart truncates the log to this length: the page cache keeps bytes that
    a killed process wrote but had not synced, and a member must not serve
    them.

    Parameters
    ----------
    directory
        Directory of the two files.
    """

    def __init__(self, *, directory: Path) -> None:
        flags = os.O_RDWR | os.O_CREAT
        self._file = os.open(directory / 'log.bin', flags, 0o644)
        self._length_file = os.open(directory / 'log.synced', flags, 0o644)
        self._entries: list[Entry] = []
        self._ends: list[int] = []
        self._runs: list[TermRun] = []
        self._load()

    @property
    def last_term(self) -> int:
        """Term of the last entry, 0 for the empty log."""
        return self._entries[-1].term if self._entries else 0

    @property
    def last_position(self) -> int:
        """Position of the last entry, 0 for the empty log."""
        return len(self._entries)

    @property
    def runs(self) -> tuple[TermRun, ...]:
        """First position of each term in the log, oldest first."""
        return tuple(self._runs)

    def term_at(self, position: int) -> int | None:
        """Return the term at a position, or None if there is no entry.

        Position 0, which precedes the first entry, has term 0.
        """
        if position == 0:
            return 0
        if not 0 < position <= len(self._entries):
            return None
        return self._entries[position - 1].term

    def after(self, position: int, limit: int) -> list[Entry]:
        """Return at most `limit` entries after a position."""
        return self._entries[position : position + limit]

    def append(self, entries: Sequence[Entry]) -> None:
        """Write and sync entries, then make them visible to readers.

        Raises
        ------
        ValueError
            If an entry's position is not the next one or its term is lower
            than that of the last entry.
        """
        for offset, entry in enumerate(entries, start=1):
            self._check_order(entry, self.last_position + offset)
        frames = [_frame(entry) for entry in entries]
        start = self._length
        os.pwrite(self._file, b''.join(frames), start)
        os.fdatasync(self._file)
        self._write_length(start + sum(map(len, frames)))
        for entry, frame in zip(entries, frames, strict=True):
            self._index_entry(entry, self._length + len(frame))

    def truncate(self, position: int) -> int:
        """Remove the entries after a position and return their number."""
        removed = len(self._entries) - position
        if removed <= 0:
            return 0
        length = self._ends[position - 1] if position else 0
        self._write_length(length)
        os.ftruncate(self._file, length)
        os.fsync(self._file)
        del self._entries[position:]
        del self._ends[position:]
        self._runs = [
            run for run in self._runs if run.first_position <= position
        ]
        return removed

    def match(self, runs: Sequence[TermRun], last_position: int) -> int:
        """Return the last position that this log shares with another one.

        Entries with equal term and position are identical, and so are all
        entries before them.

        Parameters
        ----------
        runs, last_position
            First position of each term in the other log, and its end.
        """
        position = min(last_position, self.last_position)
        while position and self.term_at(position) != _term_at(runs, position):
            position -= 1
        return position

    def close(self) -> None:
        """Close the files."""
        os.close(self._file)
        os.close(self._length_file)

    @property
    def _length(self) -> int:
        return self._ends[-1] if self._ends else 0

    def _check_order(self, entry: Entry, expected: int) -> None:
        if entry.position != expected or entry.term < self.last_term:
            raise ValueError(
                f'entry ({entry.term}, {entry.position}) does not continue '
                f'the log at ({self.last_term}, {self.last_position}); '
                'follow the primary again'
            )

    def _index_entry(self, entry: Entry, end: int) -> None:
        if entry.term != self.last_term:
            self._runs.append(
                TermRun(term=entry.term, first_position=entry.position)
            )
        self._entries.append(entry)
        self._ends.append(end)

    def _write_length(self, length: int) -> None:
        os.pwrite(self._length_file, _SYNCED_LENGTH.pack(length), 0)

    def _load(self) -> None:
        packed = os.pread(self._length_file, _SYNCED_LENGTH.size, 0)
        length = _SYNCED_LENGTH.unpack(packed)[0] if packed else 0
        os.ftruncate(self._file, length)
        data = os.pread(self._file, length, 0)
        offset = 0
        while offset < length:
            size, checksum = _FRAME_HEADER.unpack_from(data, offset)
            offset += _FRAME_HEADER.size
            payload = data[offset : offset + size]
            if zlib.crc32(payload) != checksum:
                raise ValueError(
                    f'the log is damaged at byte {offset}; remove the data '
                    'directory and let the member follow its primary'
                )
            offset += size
            self._index_entry(
                msgspec.msgpack.decode(payload, type=Entry), offset
            )


def _frame(entry: Entry) -> bytes:
    payload = msgspec.msgpack.encode(entry)
    return _FRAME_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def _term_at(runs: Sequence[TermRun], position: int) -> int:
    term = 0
    for run in runs:
        if run.first_position > position:
            break
        term = run.term
    return term
