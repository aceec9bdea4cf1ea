"""How the previous process of a host ended, and the record of this one."""

import contextlib
import threading
import time
from datetime import UTC, datetime
from pathlib import Path

from lavendergate.observability.log import EventLog
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.storage.end_record import (
    EndRecord,
    EndRecordFile,
    FirstStart,
    NoRecord,
)

# A disk that does not answer must not delay the end of the process.
_SAVE_LIMIT_S = 0.2


class ProcessEnd:
    """Reports how the previous process ended, and records the next end.

    Parameters
    ----------
    data_dir
        Data directory; without one nothing is known or recorded.
    events
        Event log.
    """

    def __init__(self, *, data_dir: str | None, events: EventLog) -> None:
        self._file = (
            EndRecordFile(data_directory=Path(data_dir)) if data_dir else None
        )
        self._events = events
        self._started_at = time.time()
        self._previous = ''

    @property
    def started_at(self) -> float:
        """Unix time at which this process started, in seconds."""
        return self._started_at

    @property
    def previous(self) -> str:
        """Outcome of the previous process; empty without a data directory."""
        return self._previous

    def report_previous(self) -> None:
        """Log how the previous process ended."""
        if self._file is None:
            return
        match self._file.take():
            case FirstStart():
                self._previous = 'none'
            case NoRecord(reason=reason):
                self._previous = 'unknown'
                self._events.emit(
                    ProcessEvent.previous_end_unknown, reason=reason
                )
            case EndRecord(status=0) as record:
                self._previous = 'stopped'
                self._events.emit(
                    ProcessEvent.previous_stop,
                    ended_at=record.ended_at,
                    reason=record.reason,
                )
            case EndRecord() as record:
                self._previous = 'failed'
                self._events.emit(
                    ProcessEvent.previous_failure,
                    ended_at=record.ended_at,
                    status=record.status,
                    reason=record.reason,
                    place=record.place,
                )

    def save(self, *, status: int, reason: str, place: str = '') -> None:
        """Record the end of this process; a slow disk is not waited for."""
        if self._file is None:
            return
        record = EndRecord(
            status=status,
            reason=reason,
            place=place,
            ended_at=datetime.now(UTC).isoformat(timespec='milliseconds'),
        )
        saving = threading.Thread(
            target=self._write, args=(self._file, record), daemon=True
        )
        saving.start()
        saving.join(_SAVE_LIMIT_S)

    def _write(self, file: EndRecordFile, record: EndRecord) -> None:
        # A full or read-only disk costs the record, nothing else.
        with contextlib.suppress(OSError):
            file.save(record)
