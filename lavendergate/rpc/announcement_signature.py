"""Signatures of announcements."""

import hashlib
import hmac

import msgspec

from lavendergate.core.reports import Announcement

_SIGNATURE_BYTES = 16


def sign_announcement(announcement: Announcement, key: bytes) -> bytes:
    """Encode an announcement, with its signature in front.

    Parameters
    ----------
    announcement
        What the upstream announces.
    key
        Shared key of the platform's agents and the hosts.
    """
    payload = msgspec.msgpack.encode(announcement)
    return _signature(payload, key) + payload


def verify_announcement(signed: bytes, key: bytes) -> Announcement | None:
    """Return the announcement, or None if its signature does not match."""
    signature = signed[:_SIGNATURE_BYTES]
    payload = signed[_SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _signature(payload, key)):
        return None
    return msgspec.msgpack.decode(payload, type=Announcement)


def _signature(payload: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(
        payload, key=key, digest_size=_SIGNATURE_BYTES
    ).digest()
