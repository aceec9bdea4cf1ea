"""Persists the fleet state (directory and routes) of a control host.

After a restart of all hosts together, members and routes are unknown until
the members announce themselves, which they do about once a second, and a
leader is elected, which takes about as long. The file bridges only that time:
lost or outdated content is replaced by the next announcements and by the
replicated log.
"""

import os
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import ClassVar

import msgspec

from lavendergate.core.bounds.decoding import InvalidValueError
from lavendergate.core.bounds.parts import decode_parts
from lavendergate.core.control_records import RoutesRecord
from lavendergate.core.fleet_directory import MemberEntry

_FILE_NAME = 'directory'


class SavedFleetState(msgspec.Struct, frozen=True, kw_only=True):
    """Last known fleet directory and routes of a control host.

    Parameters
    ----------
    entries
        Announced members.
    routes
        Newest committed route table that the host received.
    """

    separable_fields: ClassVar[tuple[str, ...]] = ('entries',)

    entries: tuple[MemberEntry, ...] = ()
    routes: RoutesRecord = RoutesRecord()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(SavedFleetState)


class FleetStateFile:
    """File that holds the last known fleet state of a control host.

    Parameters
    ----------
    data_directory
        Data directory; created if it is missing.
    report
        Receives the name of the file and why entries were dropped, as those
        that an earlier build accepted and this one does not.
    """

    def __init__(
        self,
        *,
        data_directory: Path,
        report: Callable[[str, Sequence[str]], None] | None = None,
    ) -> None:
        self._path = data_directory / _FILE_NAME
        self._report = report

    def load(self) -> SavedFleetState:
        """Return the saved content; empty if the file is missing or damaged."""
        try:
            separated = decode_parts(
                _decoder,
                self._path.read_bytes(),
                SavedFleetState.separable_fields,
            )
        except (OSError, InvalidValueError):
            return SavedFleetState()
        if separated.problems and self._report is not None:
            self._report(_FILE_NAME, separated.problems)
        return separated.message

    def save(self, saved: SavedFleetState) -> None:
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
