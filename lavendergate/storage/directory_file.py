"""Keeps the directory of announced members over a restart.

Members announce themselves about once a second, so the file only saves that
time after all hosts were stopped together. It is not synced: what is lost or
old is replaced by the next announcements.
"""

from pathlib import Path

import msgspec

from lavendergate.core.fleet_directory import MemberEntry

_NAME = 'directory'

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[MemberEntry, ...])


class DirectoryFile:
    """File with the entries that a host knew last.

    Parameters
    ----------
    folder
        Data directory; created if it is missing.
    """

    def __init__(self, *, folder: Path) -> None:
        self._path = folder / _NAME

    def load(self) -> tuple[MemberEntry, ...]:
        """Return the entries; none if the file is missing or damaged."""
        try:
            return _decoder.decode(self._path.read_bytes())
        except (OSError, msgspec.MsgspecError):
            return ()

    def save(self, entries: tuple[MemberEntry, ...]) -> None:
        """Replace the entries.

        Raises
        ------
        OSError
            If the disk does not take them.
        """
        self._path.parent.mkdir(parents=True, exist_ok=True)
        temporary = self._path.with_suffix('.new')
        temporary.write_bytes(_encoder.encode(entries))
        temporary.replace(self._path)
