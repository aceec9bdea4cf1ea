"""Encoding of records as frames: length, checksum, content."""

from collections.abc import Iterator
from dataclasses import dataclass

from lavendergate.storage.frame_encoding import HEADER, checksum, encode_frame

__all__ = (
    'Frame',
    'decode_frame',
    'decode_frames',
    'encode_frame',
    'has_valid_frame_after',
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Frame:
    """A frame decoded from a file, valid or not.

    Parameters
    ----------
    offset, end
        Byte range of the frame in the file, without `end`. The range of an
        invalid frame extends to the end of the file.
    content
        The encoded record; None if the frame is invalid.
    """

    offset: int
    end: int
    content: bytes | None


def decode_frames(data: bytes) -> Iterator[Frame]:
    """Decode frames up to and including the first invalid one."""
    offset = 0
    while offset < len(data):
        found = decode_frame(data, offset)
        yield found
        if found.content is None:
            return
        offset = found.end


def decode_frame(data: bytes, offset: int) -> Frame:
    """Decode the frame at an offset, in bytes."""
    start = offset + HEADER.size
    invalid = Frame(offset=offset, end=len(data), content=None)
    if start > len(data):
        return invalid
    length, expected = HEADER.unpack_from(data, offset)
    content = data[start : start + length]
    # Empty frames are never written. A length of zero means that the file
    # system extended the file, but the frame was not written before a crash.
    if not length or len(content) < length or checksum(content) != expected:
        return invalid
    return Frame(offset=offset, end=start + length, content=content)


def has_valid_frame_after(data: bytes, offset: int) -> bool:
    """Return whether any valid frame begins after an offset, in bytes.

    Every sync writes one frame, so a crash can only damage the last one. A
    valid frame after an invalid one means that synced bytes were damaged.
    """
    return any(
        decode_frame(data, start).content is not None
        for start in range(offset + 1, len(data) - HEADER.size)
    )
