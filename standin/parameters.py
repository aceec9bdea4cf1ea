"""Reads the parameters of prepared statements and query attributes.

It replaces the parser of mysql_mimic, which fails on binary values because
it decodes all strings as text.
"""

import io
import struct
from collections.abc import Mapping
from typing import Any

from mysql_mimic.types import ColumnType, read_str_len, read_uint_len

from standin.errors import MemberError

_UNSIGNED_FLAG = 0x80
_STRING_TYPES = frozenset(
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
# `struct` format of signed values by column type. The format of an unsigned
# value is the same letter in upper case.
_FIXED_SIZE_FORMATS = {
    ColumnType.TINY: 'b',
    ColumnType.SHORT: 'h',
    ColumnType.YEAR: 'h',
    ColumnType.LONG: 'i',
    ColumnType.INT24: 'i',
    ColumnType.LONGLONG: 'q',
    ColumnType.FLOAT: 'f',
    ColumnType.DOUBLE: 'd',
}
_DATE_TYPES = frozenset(
    (ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP)
)


def decode_text(data: bytes | bytearray) -> str:
    """Decode UTF-8; invalid bytes are kept as surrogates."""
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
        Values sent by ``COM_STMT_SEND_LONG_DATA``, by parameter index.
    """
    if not count:
        return []
    null_bitmap = int.from_bytes(reader.read((count + 7) // 8), 'little')
    if reader.read(1) != b'\x01':
        raise MemberError(1235, 'the types of the parameters are missing')
    types = []
    for _ in range(count):
        types.append(tuple(reader.read(2)))
        if has_names:
            read_str_len(reader)
    values: list[Any] = []
    for index, (column_type, flags) in enumerate(types):
        if long_data and index in long_data:
            values.append(decode_text(long_data[index]))
        elif null_bitmap >> index & 1:
            values.append(None)
        else:
            values.append(_read_value(reader, column_type, flags))
    return values


def _read_value(reader: io.BytesIO, column_type: int, flags: int) -> Any:
    if column_type in _STRING_TYPES:
        return decode_text(read_str_len(reader))
    if column_type in _DATE_TYPES:
        return _read_date(reader)
    code = _FIXED_SIZE_FORMATS.get(ColumnType(column_type))
    if code is None:
        if column_type == ColumnType.NULL:
            return None
        raise MemberError(
            1235, f'parameters of type {column_type} are not supported'
        )
    if flags & _UNSIGNED_FLAG and code not in {'f', 'd'}:
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
