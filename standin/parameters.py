"""Reads the parameters of prepared statements and query attributes.

The library's parser accepts only text, so that binary values fail in it.
"""

import io
import struct
from collections.abc import Mapping
from typing import Any

from mysql_mimic.types import ColumnType, read_str_len, read_uint_len

from standin.errors import MemberError

_UNSIGNED = 0x80
_TEXTS = frozenset(
    (
        ColumnType.VARCHAR,
        ColumnType.VAR_STRING,
        ColumnType.STRING,
        ColumnType.DECIMAL,
        ColumnType.NEWDECIMAL,
        ColumnType.BLOB,
        ColumnType.TINY_BLOB,
        ColumnType.MEDIUM_BLOB,
        ColumnType.LONG_BLOB,
    )
)
# Column type to the format of a signed value; the unsigned is in capitals.
_FIXED_SIZES = {
    ColumnType.TINY: 'b',
    ColumnType.SHORT: 'h',
    ColumnType.YEAR: 'h',
    ColumnType.LONG: 'i',
    ColumnType.INT24: 'i',
    ColumnType.LONGLONG: 'q',
    ColumnType.FLOAT: 'f',
    ColumnType.DOUBLE: 'd',
}
_DATES = frozenset((ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP))


def decode_text(data: bytes | bytearray) -> str:
    """Decode text; bytes that are no text become surrogates."""
    return data.decode('utf-8', 'surrogateescape')


def read_parameters(
    reader: io.BytesIO,
    count: int,
    *,
    has_names: bool,
    long_data: Mapping[int, bytearray] | None = None,
) -> list[Any]:
    """Read the values of `count` parameters.

    Parameters
    ----------
    has_names
        Whether the client sends a name with each parameter.
    long_data
        Values that were sent ahead, by number of the parameter.
    """
    if not count:
        return []
    nulls = int.from_bytes(reader.read((count + 7) // 8), 'little')
    if reader.read(1) != b'\x01':
        raise MemberError(1235, 'the types of the parameters are missing')
    kinds = []
    for _ in range(count):
        kinds.append(tuple(reader.read(2)))
        if has_names:
            read_str_len(reader)
    values: list[Any] = []
    for index, (kind, flags) in enumerate(kinds):
        if long_data and index in long_data:
            values.append(decode_text(long_data[index]))
        elif nulls >> index & 1:
            values.append(None)
        else:
            values.append(_read_value(reader, kind, flags))
    return values


def _read_value(reader: io.BytesIO, kind: int, flags: int) -> Any:
    if kind in _TEXTS:
        return decode_text(read_str_len(reader))
    if kind in _DATES:
        return _read_date(reader)
    code = _FIXED_SIZES.get(ColumnType(kind))
    if code is None:
        if kind == ColumnType.NULL:
            return None
        raise MemberError(1235, f'parameters of type {kind} are not supported')
    if flags & _UNSIGNED and code not in {'f', 'd'}:
        code = code.upper()
    layout = struct.Struct(f'<{code}')
    return layout.unpack(reader.read(layout.size))[0]


def _read_date(reader: io.BytesIO) -> str:
    length = read_uint_len(reader)
    data = reader.read(length).ljust(11, b'\0')
    year, month, day, hour, minute, second, fraction = struct.unpack(
        '<HBBBBBI', data
    )
    text = f'{year:04}-{month:02}-{day:02}'
    if length > 4:
        text += f' {hour:02}:{minute:02}:{second:02}'
    if fraction:
        text += f'.{fraction:06}'
    return text
