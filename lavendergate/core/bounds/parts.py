"""Decoding of messages whose parts are kept one by one.

A list of entries may hold one that an earlier build accepted and that this
build does not. The others are kept, since a receiver that refused the whole
message would no longer follow its sender.
"""

from dataclasses import dataclass
from functools import cache
from typing import Any, Generic, TypeVar, get_args, get_type_hints

import msgspec

from lavendergate.core.bounds.decoding import (
    InvalidValueError,
    decode_msgpack,
    encode_msgpack,
)

MessageT = TypeVar('MessageT')

_encoder = msgspec.msgpack.Encoder()
_raw_parts = msgspec.msgpack.Decoder(list[msgspec.Raw])
_raw_fields = msgspec.msgpack.Decoder(dict[str, msgspec.Raw])


@dataclass(frozen=True, kw_only=True, slots=True)
class Separated(Generic[MessageT]):
    """A message without its invalid parts.

    Parameters
    ----------
    problems
        Why parts were dropped, one text for each.
    """

    message: MessageT
    problems: tuple[str, ...] = ()


def decode_parts(
    decoder: 'msgspec.msgpack.Decoder[MessageT]',
    content: bytes,
    separable_fields: tuple[str, ...],
) -> Separated[MessageT]:
    """Decode a struct; drop the invalid parts of some of its fields.

    Parameters
    ----------
    decoder
        Decoder of a `msgspec.Struct`.
    separable_fields
        Fields that are tuples of parts.

    Raises
    ------
    InvalidValueError
        If something else than a part is invalid.
    """
    try:
        return Separated(message=decode_msgpack(decoder, content))
    except InvalidValueError:
        if not separable_fields:
            raise
    message_type: Any = decoder.type
    problems: list[str] = []
    fields = _split(message_type, content)
    for name in separable_fields:
        parts = fields.get(name)
        if parts is not None:
            fields[name] = _keep_valid(
                name, _part_decoder(message_type, name), parts, problems
            )
    message = decode_msgpack(decoder, _join(message_type, fields))
    return Separated(message=message, problems=tuple(problems))


def _split(message_type: Any, content: bytes) -> dict[str, msgspec.Raw]:
    if not message_type.__struct_config__.array_like:
        return decode_msgpack(_raw_fields, content)
    names = message_type.__struct_encode_fields__
    parts: list[msgspec.Raw] = decode_msgpack(_raw_parts, content)
    # A newer build may send more fields than this one knows.
    return dict(zip(names, parts, strict=False))


def _join(message_type: Any, fields: dict[str, msgspec.Raw]) -> bytes:
    if message_type.__struct_config__.array_like:
        return encode_msgpack(_encoder, list(fields.values()))
    return encode_msgpack(_encoder, fields)


def _keep_valid(
    name: str,
    decoder: 'msgspec.msgpack.Decoder[Any]',
    parts: msgspec.Raw,
    problems: list[str],
) -> msgspec.Raw:
    kept = []
    for part in decode_msgpack(_raw_parts, bytes(parts)):
        try:
            decode_msgpack(decoder, bytes(part))
        except InvalidValueError as error:
            problems.append(f'{name}: {error}')
        else:
            kept.append(part)
    return msgspec.Raw(encode_msgpack(_encoder, kept))


@cache
def _part_decoder(
    message_type: Any, field: str
) -> 'msgspec.msgpack.Decoder[Any]':
    hints = get_type_hints(message_type, include_extras=True)
    part_type, _ = get_args(hints[field])
    return msgspec.msgpack.Decoder(part_type)
