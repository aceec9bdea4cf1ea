"""How the previous process of a host ended, and the record of this one."""

import contextlib
import threading
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING

from lavendergate.observability.log import EventLog
from lavendergate.observability.process_events import ProcessEvent

if TYPE_CHECKING:
    from lavendergate.storage.end_record import EndRecord, PreviousEnd

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
        self._data_dir = data_dir
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
        if not self._data_dir:
            return
        # Imported only where there is a data directory, because imports take
        # most of the start time.
        from lavendergate.storage.end_record import (  # noqa: WPS433
            EndRecord,
            EndRecordFile,
            FirstStart,
            NoRecord,
        )

        directory = Path(self._data_dir)
        previous: PreviousEnd = EndRecordFile(data_directory=directory).take()
        match previous:
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
        if not self._data_dir:
            return
        from lavendergate.storage.end_record import EndRecord  # noqa: WPS433

        record = EndRecord(
            status=status,
            reason=reason,
            place=place,
            ended_at=datetime.now(UTC).isoformat(timespec='milliseconds'),
        )
        saving = threading.Thread(
            target=_write, args=(Path(self._data_dir), record), daemon=True
        )
        saving.start()
        saving.join(_SAVE_LIMIT_S)


def _write(directory: Path, record: 'EndRecord') -> None:
    from lavendergate.storage.end_record import EndRecordFile  # noqa: WPS433

    # A full or read-only disk costs the record, nothing else.
    with contextlib.suppress(OSError):
        EndRecordFile(data_directory=directory).save(record)
