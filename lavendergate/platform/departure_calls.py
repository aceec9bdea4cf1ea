"""Decoder for the last call of a member, which may name its start."""

from typing import Annotated

import msgspec

_MAX_BORN = (1 << 63) - 1


class _DepartureDocument(msgspec.Struct, frozen=True, kw_only=True):
    born: Annotated[int, msgspec.Meta(ge=0, le=_MAX_BORN)] = 0


def decode_born(content: bytes) -> int | None:
    """Return which start of a member sent its last call; None if unknown.

    Parameters
    ----------
    content
        Body of the call. A member may send none.
    """
    try:
        departure = msgspec.json.decode(content, type=_DepartureDocument)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return departure.born or None
