"""Writing side of frames, without the modules that reading them needs."""

import struct

import xxhash

HEADER = struct.Struct('<IQ')

_LENGTH = struct.Struct('<I')


def encode_frame(content: bytes) -> bytes:
    """Return a frame: the header followed by the content."""
    return HEADER.pack(len(content), checksum(content)) + content


def checksum(content: bytes) -> int:
    """Return the checksum of a frame's content."""
    # The checksum covers the length, so that a damaged length is detected.
    length = _LENGTH.pack(len(content))
    return xxhash.xxh3_64_intdigest(length + content)
