"""Storage of the replicated log in files of one directory.

``identity``  host id and incarnation; written last, so that a complete log
              file exists whenever this file does
``log``       hard state and retained entries as the first record, then one
              record of changes per sync
``snapshot``  state machine, replaced atomically
``lock``      locked with `flock` while the storage is in use
"""

import fcntl
import os
import secrets
from pathlib import Path
from typing import TypeVar

import msgspec

from lavendergate.core.bounds.decoding import (
    InvalidValueError,
    decode_msgpack,
)
from lavendergate.core.consensus.log import Log
from lavendergate.core.consensus.types import (
    Entry,
    HardState,
    NodeId,
    Snapshot,
)
from lavendergate.core.types import HostId
from lavendergate.storage import records
from lavendergate.storage.base import (
    DamagedFileError,
    LogStorage,
    StorageError,
    StoredState,
    UnreadableRecordError,
)
from lavendergate.storage.framing import (
    decode_frame,
    decode_frames,
    encode_frame,
    has_valid_frame_after,
)

_IDENTITY = 'identity'
_LOG = 'log'
_SNAPSHOT = 'snapshot'
_LOCK = 'lock'
_FILE_MODE = 0o600
_NO_DESCRIPTOR = -1
_INCARNATION_BYTES = 8

RecordT = TypeVar('RecordT')


class FileStorage(LogStorage):
    """Storage in a directory on a local disk.

    Parameters
    ----------
    directory
        Data directory; created if it is missing.
    host_id
        Host that owns the directory.
    """

    def __init__(self, *, directory: Path, host_id: HostId) -> None:
        self._directory = directory
        self._host_id = host_id
        self._changes: list[records.Change] = []
        self._hard_state = HardState()
        self._log_file = _NO_DESCRIPTOR
        self._lock_file = _NO_DESCRIPTOR

    @property
    def location(self) -> str:
        """Path of the directory."""
        return str(self._directory)

    def load(self) -> StoredState:
        """Read the stored state, or create an identity if there is none."""
        self._directory.mkdir(parents=True, exist_ok=True)
        self._acquire_lock()
        try:
            return self._load()
        except Exception:
            self.close()
            raise

    def reload(self) -> StoredState:
        """Read the stored state, and write the log to a new file.

        After a failed sync the old file may be read back although the disk
        never received it, and syncing it again may succeed.
        """
        stored = super().reload()
        try:
            self._replace_log(stored.log)
        except OSError:
            self.close()
            raise
        return stored

    def save_hard_state(self, hard_state: HardState) -> None:
        """Buffer the hard state."""
        self._hard_state = hard_state
        self._changes.append(records.HardStateChange(hard_state=hard_state))

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Buffer entries that follow the last entry of the log."""
        self._changes.append(records.Appended(entries=entries))

    def truncate(self, first: int) -> None:
        """Buffer the removal of all entries from index `first` on."""
        self._changes.append(records.Truncated(first=first))

    def save_snapshot(self, snapshot: Snapshot, log: Log) -> None:
        """Replace the log by a snapshot and the entries to keep."""
        self.sync()
        self._replace_file(_SNAPSHOT, records.encoder.encode(snapshot))
        self._replace_log(log)

    def sync(self) -> None:
        """Write the buffered changes as one record and sync the log file."""
        if not self._changes:
            return
        record = encode_frame(records.encoder.encode(self._changes))
        self._changes = []
        _write(self._log_file, record)
        self._sync_log()

    def close(self) -> None:
        """Close the files; buffered changes are lost."""
        self._changes = []
        for descriptor in (self._log_file, self._lock_file):
            if descriptor != _NO_DESCRIPTOR:
                os.close(descriptor)
        self._log_file = _NO_DESCRIPTOR
        self._lock_file = _NO_DESCRIPTOR

    def _replace_log(self, log: Log) -> None:
        changes = records.initial_changes(self._hard_state, log)
        self._replace_file(_LOG, records.encoder.encode(changes))
        os.close(self._log_file)
        self._log_file = _NO_DESCRIPTOR
        self._log_file = os.open(self._path(_LOG), os.O_WRONLY | os.O_APPEND)

    def _sync_log(self) -> None:
        os.fdatasync(self._log_file)

    def _path(self, name: str) -> Path:
        return self._directory / name

    def _load(self) -> StoredState:
        if not self._path(_IDENTITY).exists():
            self._initialise()
        identity = self._read_identity()
        snapshot = self._read_snapshot()
        replay = self._read_log()
        self._hard_state = replay.hard_state
        self._log_file = os.open(self._path(_LOG), os.O_WRONLY | os.O_APPEND)
        # An earlier process may have ended between writing and syncing, so
        # the records just read are not durable yet.
        os.fsync(self._log_file)
        _sync_directory(self._directory)
        return StoredState(
            identity=identity,
            hard_state=replay.hard_state,
            log=replay.log_consistent_with(snapshot),
            snapshot=snapshot,
        )

    def _acquire_lock(self) -> None:
        self._lock_file = os.open(
            self._path(_LOCK), os.O_RDWR | os.O_CREAT, _FILE_MODE
        )
        try:
            fcntl.flock(self._lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise StorageError(
                f'{self._directory} is in use by another process: configure '
                'a separate data directory for each daemon'
            ) from error

    def _initialise(self) -> None:
        identity = records.IdentityFile(
            identity=NodeId(
                host_id=self._host_id,
                incarnation=secrets.token_hex(_INCARNATION_BYTES),
            )
        )
        self._path(_SNAPSHOT).unlink(missing_ok=True)
        changes = records.initial_changes(HardState(), Log())
        self._replace_file(_LOG, records.encoder.encode(changes))
        self._replace_file(_IDENTITY, records.encoder.encode(identity))
        _sync_directory(self._directory.parent)

    def _read_identity(self) -> NodeId:
        content = self._read_single_record(_IDENTITY)
        identity = self._decode(
            records.identity_decoder, _IDENTITY, content
        ).identity
        if identity.host_id != self._host_id:
            raise StorageError(
                f'{self._directory} belongs to host {identity.host_id}, not '
                f'{self._host_id}: configure a separate data directory for '
                'this host'
            )
        return identity

    def _read_snapshot(self) -> Snapshot | None:
        if not self._path(_SNAPSHOT).exists():
            return None
        return self._decode(
            records.snapshot_decoder,
            _SNAPSHOT,
            self._read_single_record(_SNAPSHOT),
        )

    def _decode(
        self,
        decoder: msgspec.msgpack.Decoder[RecordT],
        name: str,
        content: bytes,
        offset: int = 0,
    ) -> RecordT:
        try:
            return decode_msgpack(decoder, content)
        except InvalidValueError as error:
            raise UnreadableRecordError(
                path=str(self._path(name)), offset=offset, reason=str(error)
            ) from error

    def _read_single_record(self, name: str) -> bytes:
        path = self._path(name)
        content = decode_frame(path.read_bytes(), 0).content
        if content is None:
            raise DamagedFileError(path=str(path), offset=0)
        return content

    def _read_log(self) -> records.Replay:
        path = self._path(_LOG)
        if not path.exists():
            raise DamagedFileError(path=str(path), offset=0)
        data = path.read_bytes()
        replay = records.Replay()
        for found in decode_frames(data):
            if found.content is None:
                self._truncate_incomplete_record(data, found.offset)
                break
            changes = self._decode(
                records.change_decoder, _LOG, found.content, found.offset
            )
            for change in changes:
                replay.apply(change)
        return replay

    def _truncate_incomplete_record(self, data: bytes, offset: int) -> None:
        path = self._path(_LOG)
        # The first record is synced before the file is renamed into place, so
        # a crash cannot leave it incomplete.
        if not offset or has_valid_frame_after(data, offset):
            raise DamagedFileError(path=str(path), offset=offset)
        descriptor = os.open(path, os.O_WRONLY)
        try:
            os.ftruncate(descriptor, offset)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _replace_file(self, name: str, content: bytes) -> None:
        temporary = self._path(f'{name}.new')
        descriptor = os.open(
            temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, _FILE_MODE
        )
        try:
            _write(descriptor, encode_frame(content))
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        temporary.replace(self._path(name))
        _sync_directory(self._directory)


def _write(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        written = os.write(descriptor, view)
        view = view[written:]


def _sync_directory(directory: Path) -> None:
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
