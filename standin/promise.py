"""The durable promise of a member."""

import os
from pathlib import Path

import msgspec


class Promise(msgspec.Struct, frozen=True):
    """The highest term that a member promised, and whether it was used.

    Parameters
    ----------
    term
        Highest term that was promised.
    is_open
        Whether the term was promised to a fence and neither a promotion nor
        following a primary of the term has used the promise. Without this
        flag, a member could be promoted in a term in which it has already
        followed another primary.
    """

    term: int = 0
    is_open: bool = False


class PromiseFile:
    """Stores the promise in a file that is synced and replaced atomically."""

    def __init__(self, *, directory: Path) -> None:
        self._directory = directory
        self._path = directory / 'promise.json'

    def load(self) -> Promise | None:
        """Return the promise, or None for a new member."""
        if not self._path.exists():
            return None
        return msgspec.json.decode(self._path.read_bytes(), type=Promise)

    def store(self, promise: Promise) -> None:
        """Write and sync the promise."""
        temporary = self._path.with_suffix('.new')
        with temporary.open('wb') as file:
            file.write(msgspec.json.encode(promise))
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._path)
        directory = os.open(self._directory, os.O_RDONLY)
        os.fsync(directory)
        os.close(directory)
