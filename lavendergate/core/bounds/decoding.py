"""Decoders and encoders whose only error is that of msgspec.

msgspec checks types and ranges. It lets other errors through: `RecursionError`
for deep nesting, `OverflowError` and `UnicodeError` for values that a format
cannot represent. Functions of this module raise `InvalidValueError` for them.
"""

import re
from typing import Any, Final, TypeVar

import msgspec

from lavendergate.core.bounds.ranges import PATTERN_FORMS
from lavendergate.core.errors import quoted

# Documents nest four levels. The limit is far below the one of the
# interpreter, which depends on the caller's stack: what one host accepts, the
# others can decode, too.
MAX_NESTING: Final = 64

_MAX_MESSAGE_CHARACTERS: Final = 240

_PATH = re.compile(r' - at `(?:key in )?(\$[^`]*)`\Z')
_STEP = re.compile(r'\.(\w+)|\[(\d+)\]')
_NOT_BRACKETS = bytes(set(range(256)) - set(b'[]{}'))
_ESCAPE = re.compile(rb'\\.', re.DOTALL)
_OPENING = frozenset(b'[{')

# Errors of msgspec's decoders and encoders, and of those of `tomllib`.
CODEC_ERRORS = (
    msgspec.MsgspecError,
    RecursionError,
    OverflowError,
    UnicodeError,
    ValueError,
)

_ENCODER_ERRORS = (*CODEC_ERRORS, TypeError)
# Also of a search in a document whose parts have other types than expected.
SEARCH_ERRORS = (*CODEC_ERRORS, LookupError, TypeError)

MessageT = TypeVar('MessageT')


class InvalidValueError(msgspec.DecodeError):
    """A value is malformed or out of its bounds.

    The message names the field, the value and what was expected.
    """


class NotEncodableError(msgspec.EncodeError):
    """A value cannot be represented in the format that it is encoded to."""


def decode_json(
    content: bytes, message_type: type[MessageT], *, secret_path: str = ''
) -> MessageT:
    """Decode a JSON document from outside.

    Parameters
    ----------
    secret_path
        Beginning of the paths, such as ``$.name``, whose values messages must
        not show; empty for none.

    Raises
    ------
    InvalidValueError
        If the document is malformed, holds bytes that are no UTF-8, nests
        deeper than `MAX_NESTING`, or has a value that is out of its bounds.
    """
    try:
        content.decode()
    except UnicodeDecodeError as error:
        raise InvalidValueError(
            f'the byte at offset {error.start} is no UTF-8'
        ) from error
    depth = _nesting_of(content)
    if depth > MAX_NESTING:
        raise InvalidValueError(
            f'the values nest more than {MAX_NESTING} levels deep'
        )
    return decode_accepted_json(content, message_type, secret_path=secret_path)


def decode_accepted_json(
    content: bytes, message_type: type[MessageT], *, secret_path: str = ''
) -> MessageT:
    """Decode a JSON document that an earlier build has accepted.

    Parameters are those of `decode_json`. Fields that are not read may hold
    anything, since a document in force must stay in force.

    Raises
    ------
    InvalidValueError
        If the document is malformed or a value is out of its bounds.
    """
    try:
        return msgspec.json.decode(content, type=message_type)
    except CODEC_ERRORS as error:
        raise InvalidValueError(
            _describe(content, error, secret_path)
        ) from error


def decode_toml(content: bytes, message_type: type[MessageT]) -> MessageT:
    """Decode a TOML document.

    Raises
    ------
    InvalidValueError
        If the document is malformed or a value is out of its bounds.
    """
    try:
        return msgspec.toml.decode(content, type=message_type)
    except CODEC_ERRORS as error:
        raise InvalidValueError(_shorten(error)) from error


def decode_msgpack(
    decoder: 'msgspec.msgpack.Decoder[MessageT]', content: bytes
) -> MessageT:
    """Decode MessagePack.

    Raises
    ------
    InvalidValueError
        If the content is malformed, too deeply nested, or has a value that is
        out of its bounds.
    """
    try:
        return decoder.decode(content)
    except CODEC_ERRORS as error:
        raise InvalidValueError(_shorten(error)) from error


def encode_msgpack(encoder: msgspec.msgpack.Encoder, message: Any) -> bytes:
    """Encode as MessagePack.

    Raises
    ------
    NotEncodableError
        If a value cannot be represented, as an integer beyond 64 bits.
    """
    try:
        return encoder.encode(message)
    except _ENCODER_ERRORS as error:
        raise NotEncodableError(
            f'cannot encode a {type(message).__name__}: {error}'
        ) from error


def _nesting_of(content: bytes) -> int:
    if content.count(b'[') + content.count(b'{') <= MAX_NESTING:
        return 0
    # Brackets inside of texts do not count.
    if b'\\' in content:
        content = _ESCAPE.sub(b'', content)
    outside = b''.join(content.split(b'"')[::2])
    depth = 0
    deepest = 0
    for bracket in outside.translate(None, _NOT_BRACKETS):
        depth += 1 if bracket in _OPENING else -1
        deepest = max(deepest, depth)
    return deepest


def _describe(content: bytes, error: Exception, secret_path: str) -> str:
    """Return the message of an error, with the value that it is about."""
    text = _shorten(error)
    found = _PATH.search(str(error))
    if found is None:
        return text
    path = found.group(1)
    if secret_path and path.startswith(secret_path):
        return text
    try:
        value = _value_at(msgspec.json.decode(content), path)
        shown = quoted(msgspec.json.encode(value).decode())
    except SEARCH_ERRORS:
        return text
    return f'{text}: {shown}'


def _value_at(document: Any, path: str) -> Any:
    for field, index in _STEP.findall(path):
        document = document[field or int(index)]
    return document


def _shorten(error: Exception) -> str:
    """Return the message of an error, with forms in place of patterns."""
    text = str(error)
    for pattern, form in PATTERN_FORMS.items():
        text = text.replace(f'matching regex {pattern!r}', f'that is {form}')
    # msgspec quotes an unknown word in full; the path is at the end.
    if len(text) > _MAX_MESSAGE_CHARACTERS:
        half = _MAX_MESSAGE_CHARACTERS // 2
        text = f'{text[:half]}… {text[-half:]}'
    return text
