"""Line-based streams for the platform's statement protocol."""

import contextlib
import socket
from types import MappingProxyType

import anyio
from anyio.abc import SocketAttribute, SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from lavendergate.platform.line_codec import LINE_END, MAX_LINE_BYTES, LineError

_KEEPALIVE_IDLE_S = 3
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 3
# A peer behind a network partition does not acknowledge data. Without this
# limit the kernel would retransmit for minutes.
_UNACKNOWLEDGED_LIMIT_MS = 4000

_SOCKET_OPTIONS = MappingProxyType(
    {
        (socket.IPPROTO_TCP, socket.TCP_NODELAY): 1,
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE): 1,
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE): _KEEPALIVE_IDLE_S,
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL): _KEEPALIVE_INTERVAL_S,
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT): _KEEPALIVE_PROBES,
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT): _UNACKNOWLEDGED_LIMIT_MS,
    }
)

LOST_CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.DelimiterNotFound,
    LineError,
    OSError,
    UnicodeError,
)


LOST_OR_TIMEOUT_ERRORS = (TimeoutError, *LOST_CONNECTION_ERRORS)


# Lines above this length are read only while there is room for them.
_SHORT_LINE_BYTES = 64 * 1024
_SKIPPED_BYTES = _SHORT_LINE_BYTES - 1
# Time for room for a long line and for its end to arrive, in seconds. A
# caller waits no longer for a statement.
LONG_LINE_TIMEOUT_S = 5.0
# Copies of a long line while its statement runs: the line, its text, the
# statement and the bytes for the member.
_COPIES = 4


class LongLineRefusedError(Exception):
    """There was no room for a long line in time, and it was dropped.

    The next line can be read.
    """


# Room for the long lines of all connections.
LongLines = anyio.Semaphore


def make_long_lines(buffered_bytes: int) -> LongLines:
    """Return room for the long lines that fit into a number of bytes."""
    return anyio.Semaphore(max(1, buffered_bytes // MAX_LINE_BYTES // _COPIES))


class LineStream:
    """Reads and writes protocol lines on a connection.

    Parameters
    ----------
    stream
        Socket stream of the connection.
    long_lines
        Bounds the long lines that all connections hold at the same time; a
        line is held until the next one is read. None if they are not bounded.
    """

    def __init__(
        self, *, stream: SocketStream, long_lines: LongLines | None = None
    ) -> None:
        self._long_lines = long_lines
        self._holds_long_line = False
        self._stream = stream
        self._buffer = BufferedByteReceiveStream(stream)
        _set_socket_options(stream)

    async def read(self) -> tuple[str, str]:
        """Read a line; return its first word and the rest.

        Raises
        ------
        LongLineRefusedError
            If there was no room for a long line within `LONG_LINE_TIMEOUT_S`.
        TimeoutError
            If the end of a long line did not arrive within this time.
        """
        self._release_long_line()
        try:
            line = await self._buffer.receive_until(LINE_END, _SHORT_LINE_BYTES)
        except anyio.DelimiterNotFound:
            line = await self._read_long_line()
        word, _, rest = line.decode().partition(' ')
        return word, rest

    async def wait_for_input(self) -> None:
        """Wait until a byte arrives, which is dropped, or the peer closes.

        Raises
        ------
        EndOfStream
            If the peer has closed the connection.
        """
        await self._buffer.receive(1)

    async def write(self, lines: bytes) -> None:
        """Send complete lines, with their line ends."""
        await self._stream.send(lines)

    async def close(self) -> None:
        """Close the connection; wait at most 1 s, and ignore cancellation."""
        self._release_long_line()
        with anyio.CancelScope(shield=True), anyio.move_on_after(1):
            try:
                await self._stream.aclose()
            except OSError:
                # The peer reset the connection, so it is closed already.
                return

    async def _read_long_line(self) -> bytes:
        if self._long_lines is None:
            return await self._buffer.receive_until(LINE_END, MAX_LINE_BYTES)
        with anyio.move_on_after(LONG_LINE_TIMEOUT_S):
            await self._long_lines.acquire()
            self._holds_long_line = True
        with anyio.fail_after(LONG_LINE_TIMEOUT_S):
            if self._holds_long_line:
                return await self._buffer.receive_until(
                    LINE_END, MAX_LINE_BYTES
                )
            await self._skip_line()
        raise LongLineRefusedError

    async def _skip_line(self) -> None:
        """Drop the rest of a line, which is held in parts only."""
        for _ in range(MAX_LINE_BYTES // _SKIPPED_BYTES + 1):
            try:
                await self._buffer.receive_until(LINE_END, _SHORT_LINE_BYTES)
            except anyio.DelimiterNotFound:
                # The last byte may be the first one of the line end.
                await self._buffer.receive(_SKIPPED_BYTES)
            else:
                return
        raise LineError(f'a line is longer than {MAX_LINE_BYTES} bytes')

    def _release_long_line(self) -> None:
        if self._holds_long_line and self._long_lines is not None:
            self._holds_long_line = False
            self._long_lines.release()


def _set_socket_options(stream: SocketStream) -> None:
    raw_socket = stream.extra(SocketAttribute.raw_socket)
    # Best effort, because some kernels lack some of the options. The timeouts
    # of the code that uses the stream hold without them.
    for (level, option), setting in _SOCKET_OPTIONS.items():
        with contextlib.suppress(OSError):
            raw_socket.setsockopt(level, option, setting)
