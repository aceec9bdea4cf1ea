"""Merges the event files of all processes into one timeline."""

import heapq
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

import msgspec

from lavendergate.core import hybrid_clock
from lavendergate.observability.event_type import FieldValue


class Line(msgspec.Struct, frozen=True, kw_only=True):
    """One event of a file."""

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
        """Milliseconds of the hybrid clock."""
        return hybrid_clock.milliseconds_of(self.clock)

    @property
    def order(self) -> tuple[int, str]:
        """Place in the causal order."""
        return self.clock, self.host


_decoder = msgspec.json.Decoder(Line)


@dataclass(frozen=True, kw_only=True, slots=True)
class Filter:
    """Selects lines of the timeline; an empty field selects all.

    Parameters
    ----------
    fields
        Name of a field to the value that it must have, such as ``group``,
        ``request_id`` or ``session``.
    host
        Host that wrote the event.
    numbers
        Event numbers; a number below 10 selects its range, 4 is 4xxx.
    since, until
        Wall time range, both ends included.
    """

    fields: Mapping[str, str] = field(default_factory=dict)
    host: str = ''
    numbers: frozenset[int] = frozenset()
    since: datetime | None = None
    until: datetime | None = None

    def selects(self, line: Line) -> bool:
        """Tell whether a line belongs to the selection."""
        return (
            self.host in {'', line.host}
            and self._selects_number(line.number)
            and self._selects_time(line.milliseconds)
            and all(
                str(line.fields.get(name)) == wanted
                for name, wanted in self.fields.items()
                if wanted
            )
        )

    def _selects_number(self, number: int) -> bool:
        if not self.numbers:
            return True
        return not self.numbers.isdisjoint({number, number // 1000})

    def _selects_time(self, milliseconds: int) -> bool:
        is_late = self.since and milliseconds < self.since.timestamp() * 1000
        is_early = self.until and milliseconds > self.until.timestamp() * 1000
        return not (is_late or is_early)


@dataclass(frozen=True, kw_only=True, slots=True)
class Skipped:
    """Lines of a file that could not be read.

    Parameters
    ----------
    torn
        Whether the last line is incomplete, as after a crash.
    damaged
        Number of other unreadable lines.
    """

    path: Path
    torn: bool
    damaged: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Timeline:
    """Events in causal order."""

    lines: tuple[Line, ...]
    skipped: tuple[Skipped, ...] = ()

    @property
    def hosts(self) -> tuple[str, ...]:
        """Hosts that appear, by name."""
        return tuple(sorted({line.host for line in self.lines}))


def read_timeline(
    paths: Iterable[Path], selection: Filter | None = None
) -> Timeline:
    """Read and merge event files.

    Parameters
    ----------
    paths
        Files of any processes, or directories with files ``*.jsonl``.
    selection
        Lines to keep; all if None.

    Raises
    ------
    OSError
        If a file cannot be read.
    """
    chosen = selection or Filter()
    files = [file for path in paths for file in _files(path)]
    parsed = [_parse(path) for path in files]
    merged = heapq.merge(
        *(sorted(lines, key=_order) for lines, _skipped in parsed),
        key=_order,
    )
    return Timeline(
        lines=tuple(line for line in merged if chosen.selects(line)),
        skipped=tuple(
            skipped
            for _lines, skipped in parsed
            if skipped.torn or skipped.damaged
        ),
    )


def _order(line: Line) -> tuple[int, str]:
    return line.order


def _files(path: Path) -> Iterator[Path]:
    if path.is_dir():
        yield from sorted(path.rglob('*.jsonl'))
    else:
        yield path


def _parse(path: Path) -> tuple[list[Line], Skipped]:
    raw_lines = path.read_bytes().split(b'\n')
    lines = []
    damaged = 0
    for raw in raw_lines[:-1]:
        line = _decode(raw)
        if line is not None:
            lines.append(line)
        elif raw.strip():
            damaged += 1
    # A line without its line break was cut by a crash, or is being written.
    torn = bool(raw_lines[-1].strip())
    return lines, Skipped(path=path, torn=torn, damaged=damaged)


def _decode(raw: bytes) -> Line | None:
    try:
        return _decoder.decode(raw)
    except msgspec.MsgspecError:
        return None
