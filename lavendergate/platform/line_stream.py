"""Connections that carry the lines of the statement protocol."""

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
# A peer behind a partition does not answer; without the limit the kernel
# would send again for minutes.
_UNACKNOWLEDGED_LIMIT_MS = 4000

_OPTIONS = MappingProxyType(
    {
        (socket.IPPROTO_TCP, socket.TCP_NODELAY): 1,
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE): 1,
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE): _KEEPALIVE_IDLE_S,
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL): _KEEPALIVE_INTERVAL_S,
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT): _KEEPALIVE_PROBES,
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT): _UNACKNOWLEDGED_LIMIT_MS,
    }
)

LOST_CONNECTION = (
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.DelimiterNotFound,
    LineError,
    OSError,
    UnicodeDecodeError,
)


LOST_OR_LATE = (TimeoutError, *LOST_CONNECTION)


class LineStream:
    """Reads and writes lines on a connection.

    Parameters
    ----------
    stream
        The connection.
    """

    def __init__(self, *, stream: SocketStream) -> None:
        self._stream = stream
        self._buffer = BufferedByteReceiveStream(stream)
        _set_options(stream)

    async def read(self) -> tuple[str, str]:
        """Return the word and the rest of the next line."""
        line = await self._buffer.receive_until(LINE_END, MAX_LINE_BYTES)
        word, _, rest = line.decode().partition(' ')
        return word, rest

    async def write(self, lines: bytes) -> None:
        """Write complete lines."""
        await self._stream.send(lines)

    async def close(self) -> None:
        """Close the connection at once, whatever the peer does."""
        with anyio.CancelScope(shield=True), anyio.move_on_after(1):
            try:
                await self._stream.aclose()
            except OSError:
                # The peer reset the connection, so it is closed already.
                return


def _set_options(stream: SocketStream) -> None:
    raw = stream.extra(SocketAttribute.raw_socket)
    # Not every kernel has every option; the callers' time limits hold
    # without them.
    for (level, option), number in _OPTIONS.items():
        with contextlib.suppress(OSError):
            raw.setsockopt(level, option, number)
