"""Packet stream of a MySQL connection.

It replaces the stream of mysql_mimic, a compiled class that cannot be
subclassed, fails on a packet header that arrives in two parts, and cannot
simulate a network that drops packets.
"""

import asyncio
import struct
from collections.abc import Sequence
from typing import Any

from mysql_mimic.packets import make_text_resultset_row
from mysql_mimic.stream import ConnectionClosed

from standin.replication import REQUEST_MAGIC

_PACKET_HEADER = struct.Struct('<I')
_MAXIMUM_PAYLOAD_BYTES = 0xFFFFFF
_SEQUENCE_SIZE = 256
_BUFFER_BYTES = 2**15


class ReplicationRequested(Exception):
    """The peer is a replica, not a client."""


class MemberStream:
    """A packet stream that can simulate a network that drops packets.

    While ``is_silent`` is set, nothing is sent and nothing is received.

    Parameters
    ----------
    reader, writer
        The connection.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.is_silent = False
        self.writer = writer
        self._reader = reader
        self._sequence = 0
        self._buffer = bytearray()

    async def read(self) -> bytes:
        """Read one packet; never returns on a silent stream.

        Raises
        ------
        ConnectionClosed
            If the peer closed the connection, also within a packet.
        ReplicationRequested
            If the packet asks for replication.
        """
        payload = b''
        while True:
            part = await self._read_part()
            payload += part
            if len(part) < _MAXIMUM_PAYLOAD_BYTES:
                break
        if payload == REQUEST_MAGIC:
            raise ReplicationRequested
        return payload

    async def write(self, data: bytes, drain: bool = True) -> None:
        """Write one packet and, by default, send it."""
        self.write_many((data,))
        if drain or len(self._buffer) >= _BUFFER_BYTES:
            await self.drain()

    def write_many(self, packets: Sequence[bytes]) -> None:
        """Append packets to the send buffer."""
        for data in packets:
            for start in range(0, len(data) + 1, _MAXIMUM_PAYLOAD_BYTES):
                part = data[start : start + _MAXIMUM_PAYLOAD_BYTES]
                header_word = len(part) | self._sequence << 24
                self._sequence = (self._sequence + 1) % _SEQUENCE_SIZE
                self._buffer += _PACKET_HEADER.pack(header_word) + part

    def write_text_rows(
        self, rows: Sequence[Sequence[Any]], columns: Sequence[Any]
    ) -> int:
        """Append the rows of a text result to the send buffer."""
        self.write_many([make_text_resultset_row(row, columns) for row in rows])
        return len(rows)

    async def drain(self) -> None:
        """Send the buffered packets, or discard them on a silent stream."""
        buffer, self._buffer = self._buffer, bytearray()
        if not self.is_silent:
            self.writer.write(bytes(buffer))
            await self.writer.drain()

    def reset_seq(self) -> None:
        """Reset the packet sequence number for a new command."""
        self._sequence = 0

    async def _read_part(self) -> bytes:
        part = b''
        try:
            header = await self._reader.readexactly(_PACKET_HEADER.size)
            (header_word,) = _PACKET_HEADER.unpack(header)
            part = await self._reader.readexactly(
                header_word & _MAXIMUM_PAYLOAD_BYTES
            )
            self._sequence = ((header_word >> 24) + 1) % _SEQUENCE_SIZE
        except (asyncio.IncompleteReadError, ConnectionError):
            if not self.is_silent:
                raise ConnectionClosed from None
        if self.is_silent:
            # Neither packets of the peer nor its disconnect arrive.
            await asyncio.Event().wait()
        return part
