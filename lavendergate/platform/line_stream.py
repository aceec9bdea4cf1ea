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


class LineStream:
    """Reads and writes protocol lines on a connection.

    Parameters
    ----------
    stream
        Socket stream of the connection.
    """

    def __init__(self, *, stream: SocketStream) -> None:
        self._stream = stream
        self._buffer = BufferedByteReceiveStream(stream)
        _set_socket_options(stream)

    async def read(self) -> tuple[str, str]:
        """Read a line; return its first word and the rest."""
        line = await self._buffer.receive_until(LINE_END, MAX_LINE_BYTES)
        word, _, rest = line.decode().partition(' ')
        return word, rest

    async def write(self, lines: bytes) -> None:
        """Send complete lines, with their line ends."""
        await self._stream.send(lines)

    async def close(self) -> None:
        """Close the connection; wait at most 1 s, and ignore cancellation."""
        with anyio.CancelScope(shield=True), anyio.move_on_after(1):
            try:
                await self._stream.aclose()
            except OSError:
                # The peer reset the connection, so it is closed already.
                return


def _set_socket_options(stream: SocketStream) -> None:
    raw_socket = stream.extra(SocketAttribute.raw_socket)
    # Best effort, because some kernels lack some of the options. The timeouts
    # of the code that uses the stream hold without them.
    for (level, option), setting in _SOCKET_OPTIONS.items():
        with contextlib.suppress(OSError):
            raw_socket.setsockopt(level, option, setting)
