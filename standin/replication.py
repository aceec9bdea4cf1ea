"""Messages and framing between a primary and its replicas.

A replica connects to the MySQL port of the primary and answers the greeting
with `REQUEST_MAGIC` in place of a handshake response. From then on both
sides send frames: a length of four bytes and a MessagePack structure.
"""

import asyncio
import struct
from typing import Any

import msgspec

from standin.log import Entry, TermRun

REQUEST_MAGIC = b'standin replication 1'

_LENGTH = struct.Struct('>I')
_PACKET_HEADER_BYTES = 4


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages."""


class FollowRequest(_Message, frozen=True, array_like=True, tag=True):
    """Summary of a replica's log, to find the common prefix with."""

    group_id: str
    upstream_id: str
    term: int
    last_position: int
    runs: tuple[TermRun, ...]


class FollowAccepted(_Message, frozen=True, array_like=True, tag=True):
    """Last position that both logs share; the primary sends what follows."""

    matched_position: int


class FollowRefused(_Message, frozen=True, array_like=True, tag=True):
    """The reason why the primary does not serve the replica."""

    problem: str


class Entries(_Message, frozen=True, array_like=True, tag=True):
    """The next entries of the log."""

    entries: tuple[Entry, ...]


class Ping(_Message, frozen=True, array_like=True, tag=True):
    """Request for the primary's last position.

    `sent_at` is the time on the replica's monotonic clock, in seconds. The
    primary returns it in the pong.
    """

    sent_at: float


class Pong(_Message, frozen=True, array_like=True, tag=True):
    """Answer to a ping: the primary's last position."""

    sent_at: float
    last_position: int


Message = FollowRequest | FollowAccepted | FollowRefused | Entries | Ping | Pong

_DECODER = msgspec.msgpack.Decoder(Message)
_ENCODER = msgspec.msgpack.Encoder()


class ReplicationStream:
    """Sends and receives replication messages over an open connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def send(self, message: Message) -> None:
        """Send a message."""
        payload = _ENCODER.encode(message)
        self._writer.write(_LENGTH.pack(len(payload)) + payload)
        await self._writer.drain()

    async def receive(self) -> Message:
        """Receive a message.

        Raises
        ------
        asyncio.IncompleteReadError
            If the peer closed the connection.
        """
        header = await self._reader.readexactly(_LENGTH.size)
        (length,) = _LENGTH.unpack(header)
        return _DECODER.decode(await self._reader.readexactly(length))

    def close(self) -> None:
        """Close the connection without waiting for unsent data."""
        self._writer.transport.abort()


async def open_stream(host: str, port: int) -> ReplicationStream:
    """Connect to a member and ask for replication."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        await _read_packet(reader)
    except BaseException:
        writer.transport.abort()
        raise
    length = len(REQUEST_MAGIC)
    # Packet number 1 follows the greeting, which has number 0.
    writer.write(struct.pack('<I', length | 1 << 24) + REQUEST_MAGIC)
    return ReplicationStream(reader, writer)


async def _read_packet(reader: asyncio.StreamReader) -> Any:
    header = await reader.readexactly(_PACKET_HEADER_BYTES)
    length = int.from_bytes(header[:3], 'little')
    return await reader.readexactly(length)
