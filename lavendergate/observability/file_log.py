"""Event log of a process: one JSON line per event, written through eliot."""

import json
import os
import sys
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import IO, Any

from eliot import FileDestination, log_message

from lavendergate.core.types import HostId
from lavendergate.observability.events import (
    Event,
    FieldValue,
    Level,
    ProcessEvent,
    render,
)
from lavendergate.observability.log import EventLog
from lavendergate.observability.process_clock import ProcessClock

SECRET_WORDS = ('password', 'secret', 'signing_key', 'accepted_keys')

_TAIL_BYTES = 65_536
_ORDER = tuple(Level)


class _Writer:
    """Logger interface of eliot over one destination; never raises."""

    def __init__(self, destination: Callable[[dict[str, Any]], None]) -> None:
        self._destination = destination
        self.dropped = 0
        self.problem = ''

    def write(
        self, dictionary: dict[str, Any], serializer: object = None
    ) -> None:
        try:
            self._destination(dictionary)
        except (OSError, TypeError, ValueError) as error:
            self.dropped += 1
            self.problem = str(error)


class FileEventLog(EventLog):
    """Writes events of one process as JSON lines.

    Parameters
    ----------
    host
        Host that the events belong to.
    clock
        Clock that stamps events and messages of the process.
    stream
        Binary stream that receives the lines.
    minimum
        Least urgent level that is written.
    wall
        Source of the wall time, for readers only; events are ordered by
        the stamps.
    """

    def __init__(
        self,
        *,
        host: HostId,
        clock: ProcessClock,
        stream: IO[bytes],
        minimum: Level = Level.info,
        wall: Callable[[], datetime] = lambda: datetime.now(UTC),
    ) -> None:
        self._host = host
        self._clock = clock
        self._writer = _Writer(FileDestination(file=stream))
        self._wall = wall
        self._levels = frozenset(_ORDER[_ORDER.index(minimum) :])

    def emit(self, event: Event, **fields: FieldValue) -> None:
        """Write an event; a failure to write is counted and reported later."""
        stamp = self._clock.stamp()
        if event.level not in self._levels:
            return
        dropped = self._writer.dropped
        self._write(event, stamp, fields)
        if dropped and self._writer.dropped == dropped:
            self._writer.dropped = 0
            self._write(
                ProcessEvent.events_dropped,
                self._clock.stamp(),
                {'dropped': dropped, 'reason': self._writer.problem},
            )

    def _write(
        self, event: Event, stamp: int, fields: dict[str, FieldValue]
    ) -> None:
        shown = without_secrets(fields)
        log_message(
            event.name,
            __eliot_logger__=self._writer,
            number=event.number,
            level=event.level.value,
            host=self._host,
            clock=stamp,
            time=self._wall().isoformat(timespec='milliseconds'),
            text=render(event, shown),
            fields=shown,
        )


def open_event_log(
    *,
    host: HostId,
    clock: ProcessClock,
    data_directory: Path | None,
    minimum: Level = Level.info,
) -> FileEventLog:
    """Open the event log of a process.

    Parameters
    ----------
    data_directory
        Directory of the process's files; None writes to standard error.

    Raises
    ------
    OSError
        If the file cannot be opened.
    """
    stream: IO[bytes] = sys.stderr.buffer
    if data_directory is not None:
        directory = data_directory / 'events'
        directory.mkdir(parents=True, exist_ok=True)
        path = directory / f'{host}.jsonl'
        _continue_after(path, clock)
        # The file stays open until the process ends.
        stream = path.open('ab', buffering=0)
    return FileEventLog(host=host, clock=clock, stream=stream, minimum=minimum)


def without_secrets(
    fields: dict[str, FieldValue],
) -> dict[str, FieldValue]:
    """Return the fields with the values of secret-like names removed."""
    return {
        name: '(hidden)' if _is_secret(name) else value
        for name, value in fields.items()
    }


def _is_secret(name: str) -> bool:
    return any(word in name for word in SECRET_WORDS)


def _continue_after(path: Path, clock: ProcessClock) -> None:
    """End a torn last line, and start the clock after the last stamp.

    The stamps of a process increase across restarts even if the wall clock
    of the host was set back in between.
    """
    if not path.exists():
        return
    with path.open('rb+') as stream:
        size = stream.seek(0, os.SEEK_END)
        stream.seek(max(size - _TAIL_BYTES, 0))
        tail = stream.read()
        if tail and not tail.endswith(b'\n'):
            stream.write(b'\n')
    for line in reversed(tail.splitlines()):
        stamp = _stamp_of(line)
        if stamp is not None:
            clock.start_after(stamp)
            return


def _stamp_of(line: bytes) -> int | None:
    try:
        stamp = json.loads(line)['clock']
    except (ValueError, KeyError, TypeError):
        return None
    return stamp if isinstance(stamp, int) else None
