"""Record of how a process ended, for the next one of the same host.

There is a record only between two processes: the next one removes it when it
starts, so a process that is killed leaves none. Nothing is synced for it. The
file is in the folder of the directory file, whose next sync makes the removal
durable; a loss of power before that leaves a record with an older time.
"""

import contextlib
import os
from dataclasses import dataclass
from pathlib import Path

import msgspec

from lavendergate.storage.framing import decode_frame, encode_frame

_FILE_NAME = 'last-end'
_MAX_BYTES = 4096
_MAX_TEXT_CHARACTERS = 500


class EndRecord(msgspec.Struct, frozen=True, kw_only=True):
    """How a process ended.

    Parameters
    ----------
    status
        Exit status; 0 for a stop by a signal.
    reason
        Name of the signal, or type and message of the error.
    place
        File, line and function of the error; empty after a stop.
    ended_at
        Wall time in ISO format.
    """

    status: int
    reason: str
    place: str
    ended_at: str


@dataclass(frozen=True, kw_only=True, slots=True)
class FirstStart:
    """No process has run with this data directory before."""


@dataclass(frozen=True, kw_only=True, slots=True)
class NoRecord:
    """The former process left no record, or one that cannot be read."""

    reason: str


PreviousEnd = EndRecord | FirstStart | NoRecord


class EndRecordFile:
    """Keeps the record in the data directory.

    Parameters
    ----------
    data_directory
        Data directory, which need not exist.
    """

    def __init__(self, *, data_directory: Path) -> None:
        self._directory = data_directory
        self._path = data_directory / _FILE_NAME

    def take(self) -> PreviousEnd:
        """Read and remove the record of the previous process."""
        try:
            with self._path.open('rb') as stream:
                content = stream.read(_MAX_BYTES)
        except FileNotFoundError:
            return self._without_record()
        except OSError as error:
            return NoRecord(reason=str(error))
        with contextlib.suppress(OSError):
            self._path.unlink()
        return _decode(content)

    def save(self, record: EndRecord) -> None:
        """Write the record of this process.

        Raises
        ------
        OSError
            If the file cannot be written.
        """
        bounded = EndRecord(
            status=record.status,
            reason=record.reason[:_MAX_TEXT_CHARACTERS],
            place=record.place[:_MAX_TEXT_CHARACTERS],
            ended_at=record.ended_at,
        )
        self._directory.mkdir(parents=True, exist_ok=True)
        temporary = self._path.with_suffix('.new')
        temporary.write_bytes(encode_frame(msgspec.json.encode(bounded)))
        temporary.replace(self._path)

    def _without_record(self) -> PreviousEnd:
        try:
            is_empty = not os.listdir(self._directory)
        except FileNotFoundError:
            is_empty = True
        except OSError as error:
            return NoRecord(reason=str(error))
        if is_empty:
            return FirstStart()
        return NoRecord(reason='it was killed, or its host lost power')


def _decode(content: bytes) -> PreviousEnd:
    frame = decode_frame(content, 0)
    if frame.content is None:
        return NoRecord(reason='the record is damaged')
    try:
        return msgspec.json.decode(frame.content, type=EndRecord)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return NoRecord(reason=f'the record cannot be read: {error}')
