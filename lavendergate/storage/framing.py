"""Framing of records: length, checksum, content."""

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

_HEADER = struct.Struct('<IQ')
_LENGTH = struct.Struct('<I')


@dataclass(frozen=True, kw_only=True, slots=True)
class Frame:
    """A record in a file, or the place where no valid record begins.

    Parameters
    ----------
    offset, end
        Bytes of the file that the record takes.
    content
        Content of the record; None if it is not valid.
    """

    offset: int
    end: int
    content: bytes | None


def frame(content: bytes) -> bytes:
    """Return a record."""
    return _HEADER.pack(len(content), _checksum(content)) + content


def read_frames(data: bytes) -> Iterator[Frame]:
    """Read records up to the first one that is not valid."""
    offset = 0
    while offset < len(data):
        found = frame_at(data, offset)
        yield found
        if found.content is None:
            return
        offset = found.end


def frame_at(data: bytes, offset: int) -> Frame:
    """Read the record at an offset."""
    start = offset + _HEADER.size
    invalid = Frame(offset=offset, end=len(data), content=None)
    if start > len(data):
        return invalid
    length, checksum = _HEADER.unpack_from(data, offset)
    content = data[start : start + length]
    # The writer makes no empty record; zeros are a part that was allocated
    # for a record but not written.
    if not length or len(content) < length or _checksum(content) != checksum:
        return invalid
    return Frame(offset=offset, end=start + length, content=content)


def has_record_after(data: bytes, offset: int) -> bool:
    """Return whether any valid record begins after an offset.

    Every sync writes one record, so that a crash can only spoil the last
    one; a valid record further on shows that synced bytes were damaged.
    """
    return any(
        frame_at(data, start).content is not None
        for start in range(offset + 1, len(data) - _HEADER.size)
    )


def _checksum(content: bytes) -> int:
    # The length is part of the checksum, so that a damaged length is found.
    length = _LENGTH.pack(len(content))
    return xxhash.xxh3_64_intdigest(length + content)
