"""Checks that this build can read the replicated log."""

from collections.abc import Iterator
from contextlib import contextmanager

from lavendergate.core.bounds.decoding import InvalidValueError
from lavendergate.core.consensus.payload import (
    decode_command,
    decode_configuration,
)
from lavendergate.core.consensus.types import Entry
from lavendergate.core.control_state import decode_state
from lavendergate.storage.base import StoredState, UnreadableLogError


@contextmanager
def readable(part: str, location: str) -> Iterator[None]:
    """Report a part of the log that cannot be decoded.

    Parameters
    ----------
    part, location
        See `UnreadableLogError`.

    Raises
    ------
    UnreadableLogError
        If the block raises `InvalidValueError`.
    """
    try:
        yield
    except InvalidValueError as error:
        raise UnreadableLogError(
            location=location, part=part, reason=str(error)
        ) from error


def check_stored(stored: StoredState, location: str) -> None:
    """Decode all that a storage holds, before anything of it is used.

    Raises
    ------
    UnreadableLogError
        If this build cannot read an entry or the snapshot.
    """
    if stored.snapshot is not None:
        with readable('the snapshot', location):
            decode_state(stored.snapshot.state)
    for entry in stored.log.entries:
        with readable(f'entry {entry.index}', location):
            decode_entry(entry)


def decode_entry(entry: Entry) -> None:
    """Decode an entry as it is decoded when it is appended and applied.

    Raises
    ------
    InvalidValueError
        If this build cannot read the entry.
    """
    decode_command(entry.payload)
    if entry.is_configuration:
        decode_configuration(entry.payload)
