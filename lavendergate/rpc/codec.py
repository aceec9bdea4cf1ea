"""MessagePack codec for grpclib."""

from functools import cache
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from lavendergate.core.bounds.decoding import decode_msgpack, encode_msgpack

_encoder = msgspec.msgpack.Encoder()


class MessagePackCodec(CodecBase):
    """Encodes messages as MessagePack and validates types when decoding."""

    __content_subtype__ = 'msgpack'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message as MessagePack.

        Raises
        ------
        NotEncodableError
            If a value cannot be represented, as an integer beyond 64 bits.
        """
        return encode_msgpack(_encoder, message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message and validate it against its type.

        Raises
        ------
        InvalidValueError
            If the data is malformed, too deeply nested, or does not match the
            type and its bounds.
        """
        return decode_msgpack(_decoder_of(message_type), data)


@cache
def _decoder_of(message_type: Any) -> msgspec.msgpack.Decoder[Any]:
    return msgspec.msgpack.Decoder(message_type)
