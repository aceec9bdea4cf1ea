"""Standard output and error of a process, which may be closed or stalled."""

import contextlib
import os
import sys

STANDARD_OUTPUT = 1
STANDARD_ERROR = 2

_STANDARD_DESCRIPTORS = (0, STANDARD_OUTPUT, STANDARD_ERROR)
_SUBSTITUTES = ((os.devnull, os.O_RDWR), ('/', os.O_RDONLY))


def reserve_standard_descriptors() -> None:
    """Open the null device in place of each closed standard descriptor.

    Otherwise the next file or socket would get the number, and log lines
    would be written into it. Writes to standard error don't wait for its
    reader.
    """
    for descriptor in _STANDARD_DESCRIPTORS:
        if not _is_open(descriptor):
            _open_substitute(descriptor)
    with contextlib.suppress(OSError):
        os.set_blocking(STANDARD_ERROR, False)
    if sys.stderr is None:
        sys.stderr = os.fdopen(
            STANDARD_ERROR, 'w', errors='backslashreplace', closefd=False
        )


class LineStream:
    """Binary stream that writes whole lines and never waits for its reader.

    Parameters
    ----------
    descriptor
        Open descriptor; set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        # End of a line of which only the begin was taken.
        self._rest = b''
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> int:
        """Write a line, or drop all of it.

        Returns
        -------
        int
            Length of the line in bytes. An end that the reader does not take
            now is written before the next line.

        Raises
        ------
        BlockingIOError
            If the reader takes nothing; the line is dropped.
        OSError
            If the stream is closed or broken; the line is dropped.
        """
        if not line:
            return 0
        if self._rest:
            self._rest = self._rest[self._put(self._rest) :]
            if self._rest:
                raise BlockingIOError('the reader took a part of a line')
        self._rest = line[self._put(line) :]
        return len(line)

    def flush(self) -> None:
        """Do nothing: lines are not buffered."""

    def _put(self, content: bytes) -> int:
        try:
            return os.write(self._descriptor, content)
        except BrokenPipeError:
            # A later reader must not get the end of a line without its begin.
            self._rest = b''
            raise


def _is_open(descriptor: int) -> bool:
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True


def _open_substitute(descriptor: int) -> None:
    for path, flags in _SUBSTITUTES:
        with contextlib.suppress(OSError):
            opened = os.open(path, flags)
            if opened != descriptor:
                os.dup2(opened, descriptor)
                os.close(opened)
            return
