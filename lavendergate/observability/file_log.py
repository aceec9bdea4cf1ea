"""Event log of a process: one JSON line per event, written through eliot."""

import json
import os
import sys
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import IO, Any, Protocol

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

# Fields whose names contain one of these words are redacted.
SECRET_WORDS = ('password', 'secret', 'signing_key', 'accepted_keys')

# Length of the end of an existing file that is searched for a timestamp.
_TAIL_BYTES = 65_536
_ASCENDING_LEVELS = tuple(Level)


class ByteStream(Protocol):
    """Receives the lines of an event log."""

    def write(self, line: bytes, /) -> int:
        """Write one line; raises `OSError` if that fails."""

    def flush(self) -> None:
        """Pass on what was written."""


class _CountingLogger:
    """Eliot logger with one destination; counts failures instead of raising."""

    def __init__(self, destination: Callable[[dict[str, Any]], None]) -> None:
        self._destination = destination
        self.dropped = 0
        self.problem = ''

    def write(
        self, dictionary: dict[str, Any], serializer: object = None
    ) -> None:
        try:
            self._write(dictionary)
        except (OSError, TypeError, ValueError) as error:
            self.dropped += 1
            self.problem = str(error)

    def _write(self, dictionary: dict[str, Any]) -> None:
        try:
            self._destination(dictionary)
        except (TypeError, ValueError):
            # JSON of the library has no integers beyond 64 bits, and no
            # characters that are halves of others.
            fields = {
                name: ascii(field)
                for name, field in dictionary['fields'].items()
            }
            text = ascii(dictionary['text'])
            self._destination({**dictionary, 'text': text, 'fields': fields})


class JsonEventLog(EventLog):
    """Writes events of one process as JSON lines.

    Parameters
    ----------
    host
        Host that the events belong to.
    clock
        Clock that timestamps the events and messages of the process.
    stream
        Binary stream that receives the lines.
    min_level
        Lowest level that is written.
    wall_clock
        Source of the wall time shown to readers; events are ordered by the
        timestamps of `clock`.
    """

    def __init__(
        self,
        *,
        host: HostId,
        clock: ProcessClock,
        stream: ByteStream | IO[bytes],
        min_level: Level = Level.info,
        wall_clock: Callable[[], datetime] = lambda: datetime.now(UTC),
    ) -> None:
        self._host = host
        self._clock = clock
        self._writer = _CountingLogger(FileDestination(file=stream))
        self._wall_clock = wall_clock
        self._levels = frozenset(
            _ASCENDING_LEVELS[_ASCENDING_LEVELS.index(min_level) :]
        )

    def emit(self, event: Event, **fields: FieldValue) -> None:
        """Write an event; failures are counted and reported later."""
        timestamp = self._clock.stamp()
        if event.level not in self._levels:
            return
        dropped = self._writer.dropped
        self._write(event, timestamp, fields)
        if dropped and self._writer.dropped == dropped:
            self._writer.dropped = 0
            self._write(
                ProcessEvent.events_dropped,
                self._clock.stamp(),
                {'dropped': dropped, 'reason': self._writer.problem},
            )

    def _write(
        self, event: Event, timestamp: int, fields: dict[str, FieldValue]
    ) -> None:
        redacted = redact_secrets(fields)
        log_message(
            event.name,
            __eliot_logger__=self._writer,
            number=event.number,
            level=event.level.value,
            host=self._host,
            clock=timestamp,
            time=self._wall_clock().isoformat(timespec='milliseconds'),
            text=render(event, redacted),
            fields=redacted,
        )


def open_event_log(
    *,
    host: HostId,
    clock: ProcessClock,
    data_directory: Path | None,
    min_level: Level = Level.info,
) -> JsonEventLog:
    """Open the event log of a process.

    Parameters
    ----------
    host
        Host that the events belong to.
    clock
        Clock of the process; advanced past the timestamps in the file.
    data_directory
        Data directory of the process; None writes to standard error.
    min_level
        Lowest level that is written.

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
        _prepare_existing_file(path, clock)
        # The file stays open until the process ends.
        stream = path.open('ab', buffering=0)
    return JsonEventLog(
        host=host, clock=clock, stream=stream, min_level=min_level
    )


def redact_secrets(
    fields: dict[str, FieldValue],
) -> dict[str, FieldValue]:
    """Return the fields, with secret values redacted.

    A value counts as secret if the name of its field contains one of
    `SECRET_WORDS`.
    """
    return {
        name: '(hidden)' if _is_secret(name) else value
        for name, value in fields.items()
    }


def _is_secret(name: str) -> bool:
    return any(word in name for word in SECRET_WORDS)


def _prepare_existing_file(path: Path, clock: ProcessClock) -> None:
    """Terminate an incomplete last line and advance the clock.

    The clock is set after the last timestamp in the file. The timestamps of a
    process therefore increase across restarts even if the wall clock of the
    host was set back in between.
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
        timestamp = _timestamp_of(line)
        if timestamp is not None:
            clock.start_after(timestamp)
            return


def _timestamp_of(line: bytes) -> int | None:
    try:
        timestamp = json.loads(line)['clock']
    except (ValueError, KeyError, TypeError):
        return None
    return timestamp if isinstance(timestamp, int) else None
