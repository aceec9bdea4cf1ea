"""Decoder for the last call of a member, which may name its start."""

import msgspec

from lavendergate.core.bounds.decoding import InvalidValueError, decode_json
from lavendergate.core.bounds.ranges import UnixMs


class _DepartureDocument(msgspec.Struct, frozen=True, kw_only=True):
    born: UnixMs = 0


def decode_born(content: bytes) -> int | None:
    """Return which start of a member sent its last call; None if unknown.

    Parameters
    ----------
    content
        Body of the call. A member may send none.
    """
    try:
        departure = decode_json(content, _DepartureDocument)
    except InvalidValueError:
        return None
    return departure.born or None
