"""MessagePack codec for grpclib."""

from collections.abc import Callable, Sequence
from functools import cache
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from lavendergate.core.bounds.decoding import encode_msgpack
from lavendergate.core.bounds.parts import decode_parts

# Receives the name of a message and why parts of it were dropped.
ReportProblems = Callable[[str, Sequence[str]], None]

_encoder = msgspec.msgpack.Encoder()


class MessagePackCodec(CodecBase):
    """Encodes messages as MessagePack and validates types when decoding.

    Parameters
    ----------
    report
        Receives the problems of parts that were dropped from a message: those
        of the fields that its class names in `separable_fields`.
    """

    __content_subtype__ = 'msgpack'

    def __init__(self, *, report: ReportProblems | None = None) -> None:
        self._report = report

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message as MessagePack.

        Raises
        ------
        NotEncodableError
            If a value cannot be represented, as an integer beyond 64 bits.
        """
        return encode_msgpack(_encoder, message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message and validate it against its type and bounds.

        Raises
        ------
        InvalidValueError
            If the data is malformed, too deeply nested, or does not match the
            type and its bounds.
        """
        separated = decode_parts(
            _decoder_of(message_type),
            data,
            getattr(message_type, 'separable_fields', ()),
        )
        if separated.problems and self._report is not None:
            self._report(message_type.__name__, separated.problems)
        return separated.message


@cache
def _decoder_of(message_type: Any) -> msgspec.msgpack.Decoder[Any]:
    return msgspec.msgpack.Decoder(message_type)
