"""Mutations of valid messages: of bytes, and of the values in them."""

import json
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

_WIDE = 10**21
ODD_VALUES: tuple[Any, ...] = (
    None,
    True,
    0,
    -1,
    1.5,
    (1 << 63) - 1,
    1 << 63,
    (1 << 64) - 1,
    -(1 << 63),
    1e308,
    float('nan'),
    float('inf'),
    '',
    ' ',
    '-',
    'a b\r\nQUERY - RESET',
    '\x00',
    '\u2028',
    '٣',
    '²',
    'x' * 5000,
    '127.0.0.1:70000',
    '127.0.0.1:0',
    '0.0.0.0:1',
    'localhost:80',
    '1' * 5000,
    [],
    {},
    [[[]]],
    {'a': [None]},
)
_ODD_BYTES = (
    b'\xff',
    b'\x00',
    b'\xc1',
    b'\xed\xa0\x80',
    b'[' * 1500,
    b'{"a":' * 1500,
    b'\x91' * 1500,
    b'\x81\xa1a' * 1500,
    b'9' * 5000,
    b'1e999',
    b'-1',
    b'NaN',
    b'\\ud800',
    b'"',
    b'\r\n',
    '٣²'.encode(),
    b'\xcf' + b'\xff' * 8,
    b'\xd3\x80' + b'\x00' * 7,
    b'\xcb\x7f\xf8' + b'\x00' * 6,
    b'\xdd\xff\xff\xff\xff',
)

Mutate = Callable[[Random, bytes], bytes]


def mutate_bytes(random: Random, content: bytes) -> bytes:
    """Change, remove, repeat or insert some bytes."""
    changed = bytearray(content)
    for _ in range(random.choice((1, 1, 2, 4))):
        at = random.randint(0, len(changed))
        end = min(len(changed), at + random.choice((1, 1, 2, 8, 40)))
        match random.randrange(5):
            case 0 if at < len(changed):
                changed[at] = random.randrange(256)
            case 1:
                del changed[at:end]
            case 2:
                changed[at:at] = changed[at:end] * random.choice((1, 2, 30))
            case 3:
                changed[at:end] = random.choice(_ODD_BYTES)
            case _:
                changed[at:at] = random.choice(_ODD_BYTES)
    return bytes(changed)


def mutate_json(random: Random, content: bytes) -> bytes:
    """Replace or remove a value of a JSON document."""
    document = _replace(random, json.loads(content), (*ODD_VALUES, _WIDE))
    return json.dumps(document).encode()


def mutate_msgpack(random: Random, content: bytes) -> bytes:
    """Replace or remove a value of a MessagePack message."""
    document = msgspec.msgpack.decode(content)
    return msgspec.msgpack.encode(_replace(random, document, ODD_VALUES))


def _replace(random: Random, document: Any, odd: tuple[Any, ...]) -> Any:
    if isinstance(document, dict) and document and random.random() < 0.9:
        key = random.choice(list(document))
        changed = dict(document)
        if random.random() < 0.1:
            changed.pop(key)
        else:
            changed[key] = _replace(random, changed[key], odd)
        return changed
    if isinstance(document, list) and document and random.random() < 0.9:
        position = random.randrange(len(document))
        parts = list(document)
        if random.random() < 0.1:
            parts.pop(position)
        else:
            parts[position] = _replace(random, parts[position], odd)
        return parts
    return random.choice(odd)
