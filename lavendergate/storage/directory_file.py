"""Persists the fleet directory and the routes of a control host.

Members announce themselves about once a second, and an election takes about
as long, so the file only saves that time when all hosts restart together.
Lost or outdated content is replaced by the next announcements and by the
replicated log.
"""

import os
from pathlib import Path

import msgspec

from lavendergate.core.control_records import RoutesRecord
from lavendergate.core.fleet_directory import MemberEntry

_FILE_NAME = 'directory'


class SavedDirectory(msgspec.Struct, frozen=True, kw_only=True):
    """Last known fleet directory and routes of a control host.

    Parameters
    ----------
    entries
        Announced members.
    routes
        Newest committed route table that the host received.
    """

    entries: tuple[MemberEntry, ...] = ()
    routes: RoutesRecord = RoutesRecord()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(SavedDirectory)


class DirectoryFile:
    """File that holds the last known fleet directory and routes.

    Parameters
    ----------
    folder
        Data directory; created if it is missing.
    """

    def __init__(self, *, folder: Path) -> None:
        self._path = folder / _FILE_NAME

    def load(self) -> SavedDirectory:
        """Return the saved content; empty if the file is missing or damaged."""
        try:
            return _decoder.decode(self._path.read_bytes())
        except (OSError, msgspec.MsgspecError):
            return SavedDirectory()

    def save(self, saved: SavedDirectory) -> None:
        """Replace the file atomically and sync it.

        Raises
        ------
        OSError
            If the file cannot be written or synced.
        """
        self._path.parent.mkdir(parents=True, exist_ok=True)
        temporary = self._path.with_suffix('.new')
        with temporary.open('wb') as stream:
            stream.write(_encoder.encode(saved))
            stream.flush()
            os.fsync(stream.fileno())
        temporary.replace(self._path)
        descriptor = os.open(self._path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
