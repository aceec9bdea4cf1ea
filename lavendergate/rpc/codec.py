"""MessagePack codec for grpclib."""

import hashlib
import hmac
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from lavendergate.core.reports import Announcement

_SIGNATURE_BYTES = 16


class MessagePackCodec(CodecBase):
    """Encodes typed messages as MessagePack and validates them on receipt."""

    __content_subtype__ = 'msgpack'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message."""
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode and validate a message."""
        return msgspec.msgpack.decode(data, type=message_type)


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
