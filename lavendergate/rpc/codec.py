"""MessagePack codec for grpclib."""

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase


class MessagePackCodec(CodecBase):
    """Encodes messages as MessagePack and validates types when decoding."""

    __content_subtype__ = 'msgpack'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message as MessagePack."""
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message and validate it against its type.

        Raises
        ------
        msgspec.MsgspecError
            If the data is not valid MessagePack or does not match the type.
        """
        return msgspec.msgpack.decode(data, type=message_type)
