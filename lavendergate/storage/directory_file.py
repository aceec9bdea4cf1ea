"""Keeps what a control host tells other hosts over a restart.

Members announce themselves about once a second, and an election takes as
long, so the file only saves that time after all hosts were stopped together.
What is lost or old is replaced by the next announcements and by the log.
"""

import os
from pathlib import Path

import msgspec

from lavendergate.core.control_records import RoutesRecord
from lavendergate.core.fleet_directory import MemberEntry

_NAME = 'directory'


class SavedDirectory(msgspec.Struct, frozen=True, kw_only=True):
    """What a control host knew last.

    Parameters
    ----------
    entries
        Announced members.
    routes
        Newest committed route table.
    """

    entries: tuple[MemberEntry, ...] = ()
    routes: RoutesRecord = RoutesRecord()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(SavedDirectory)


class DirectoryFile:
    """File with what a host knew last.

    Parameters
    ----------
    folder
        Data directory; created if it is missing.
    """

    def __init__(self, *, folder: Path) -> None:
        self._path = folder / _NAME

    def load(self) -> SavedDirectory:
        """Return what was saved; nothing if the file is missing or damaged."""
        try:
            return _decoder.decode(self._path.read_bytes())
        except (OSError, msgspec.MsgspecError):
            return SavedDirectory()

    def save(self, saved: SavedDirectory) -> None:
        """Replace the file.

        Raises
        ------
        OSError
            If the disk does not take it.
        """
        self._path.parent.mkdir(parents=True, exist_ok=True)
        temporary = self._path.with_suffix('.new')
        with temporary.open('wb') as stream:
            stream.write(_encoder.encode(saved))
            stream.flush()
            os.fsync(stream.fileno())
        temporary.replace(self._path)
        folder = os.open(self._path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
