"""MessagePack codec for grpclib."""

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase


class MessagePackCodec(CodecBase):
    """Encodes typed messages as MessagePack and validates them on receipt."""

    __content_subtype__ = 'msgpack'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message."""
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode and validate a message."""
        return msgspec.msgpack.decode(data, type=message_type)
