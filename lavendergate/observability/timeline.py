"""Merges the event files of all processes into one timeline."""

import heapq
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

import msgspec

from lavendergate.core import hybrid_clock
from lavendergate.core.bounds.decoding import CODEC_ERRORS
from lavendergate.observability.event_type import FieldValue


class Line(msgspec.Struct, frozen=True, kw_only=True):
    """One line of an event file: an occurrence of an event."""

    clock: int
    host: str
    number: int
    level: str
    time: str
    text: str
    fields: dict[str, FieldValue] = {}
    name: str = msgspec.field(default='', name='message_type')

    @property
    def milliseconds(self) -> int:
        """Wall time part of the hybrid clock, in milliseconds."""
        return hybrid_clock.milliseconds_of(self.clock)

    @property
    def sort_key(self) -> tuple[int, str]:
        """Sort key of the causal order."""
        return self.clock, self.host


_decoder = msgspec.json.Decoder(Line)


@dataclass(frozen=True, kw_only=True, slots=True)
class Filter:
    """Selection of lines of the timeline; empty criteria match all lines.

    Parameters
    ----------
    fields
        Required values of fields by name, such as ``group``,
        ``request_id`` or ``session``; an empty value matches all lines.
    host
        Host that wrote the event.
    numbers
        Event numbers; a number below 10 selects a range: 4 selects 4xxx.
    since, until
        Range of the wall time, both ends included.
    """

    fields: Mapping[str, str] = field(default_factory=dict)
    host: str = ''
    numbers: frozenset[int] = frozenset()
    since: datetime | None = None
    until: datetime | None = None

    def matches(self, line: Line) -> bool:
        """Return whether a line matches all criteria."""
        return (
            self.host in {'', line.host}
            and self._matches_number(line.number)
            and self._matches_time(line.milliseconds)
            and all(
                str(line.fields.get(name)) == wanted
                for name, wanted in self.fields.items()
                if wanted
            )
        )

    def _matches_number(self, number: int) -> bool:
        if not self.numbers:
            return True
        return not self.numbers.isdisjoint({number, number // 1000})

    def _matches_time(self, milliseconds: int) -> bool:
        is_before = self.since and milliseconds < self.since.timestamp() * 1000
        is_after = self.until and milliseconds > self.until.timestamp() * 1000
        return not (is_before or is_after)


@dataclass(frozen=True, kw_only=True, slots=True)
class SkippedLines:
    """Lines of an event file that could not be decoded.

    Parameters
    ----------
    path
        The file.
    torn
        Whether the last line is incomplete, for example after a crash.
    damaged
        Number of other lines that could not be decoded.
    """

    path: Path
    torn: bool
    damaged: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Timeline:
    """Events of all processes in causal order."""

    lines: tuple[Line, ...]
    skipped: tuple[SkippedLines, ...] = ()

    @property
    def hosts(self) -> tuple[str, ...]:
        """Hosts that wrote events, sorted by name."""
        return tuple(sorted({line.host for line in self.lines}))


def read_timeline(
    paths: Iterable[Path], selection: Filter | None = None
) -> Timeline:
    """Read and merge event files.

    Parameters
    ----------
    paths
        Event files, or directories that are searched recursively for
        files ``*.jsonl``.
    selection
        Lines to keep; all if None.

    Raises
    ------
    OSError
        If a file cannot be read.
    """
    effective_selection = selection or Filter()
    files = [file for path in paths for file in _files(path)]
    parsed = [_parse(path) for path in files]
    merged = heapq.merge(
        *(sorted(lines, key=_sort_key) for lines, _skipped in parsed),
        key=_sort_key,
    )
    return Timeline(
        lines=tuple(
            line for line in merged if effective_selection.matches(line)
        ),
        skipped=tuple(
            skipped
            for _lines, skipped in parsed
            if skipped.torn or skipped.damaged
        ),
    )


def _sort_key(line: Line) -> tuple[int, str]:
    return line.sort_key


def _files(path: Path) -> Iterator[Path]:
    if path.is_dir():
        yield from sorted(path.rglob('*.jsonl'))
    else:
        yield path


def _parse(path: Path) -> tuple[list[Line], SkippedLines]:
    raw_lines = path.read_bytes().split(b'\n')
    lines = []
    damaged = 0
    for raw in raw_lines[:-1]:
        line = _decode(raw)
        if line is not None:
            lines.append(line)
        elif raw.strip():
            damaged += 1
    # A last line without a line break was torn by a crash or is still being
    # written.
    torn = bool(raw_lines[-1].strip())
    return lines, SkippedLines(path=path, torn=torn, damaged=damaged)


def _decode(raw: bytes) -> Line | None:
    try:
        return _decoder.decode(raw)
    except CODEC_ERRORS:
        return None
