"""Signing and verification of upstream announcements."""

import hashlib
import hmac

import msgspec

from lavendergate.core.bounds.decoding import (
    InvalidValueError,
    decode_msgpack,
)
from lavendergate.core.reports import Announcement

_SIGNATURE_BYTES = 16
_decoder = msgspec.msgpack.Decoder(Announcement)


def sign_announcement(announcement: Announcement, key: bytes) -> bytes:
    """Encode an announcement and prepend its signature.

    Parameters
    ----------
    announcement
        Announcement of an upstream.
    key
        Secret key that the platform's agents share with the hosts.

    Returns
    -------
    bytes
        Keyed BLAKE2b hash of 16 bytes, followed by the announcement as
        MessagePack.
    """
    payload = msgspec.msgpack.encode(announcement)
    return _signature(payload, key) + payload


def verify_announcement(signed: bytes, key: bytes) -> Announcement | None:
    """Decode a signed announcement.

    Returns
    -------
    Announcement or None
        None if the signature does not match, or if the announcement cannot be
        read.
    """
    signature = signed[:_SIGNATURE_BYTES]
    payload = signed[_SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _signature(payload, key)):
        return None
    try:
        return decode_msgpack(_decoder, payload)
    except InvalidValueError:
        return None


def _signature(payload: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(
        payload, key=key, digest_size=_SIGNATURE_BYTES
    ).digest()
