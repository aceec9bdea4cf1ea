"""Encoding of result rows and column definitions for callers.

Values arrive in MySQL's text representation. The text protocol sends
them unchanged; the binary protocol of prepared statements needs typed values.
"""

import struct
from collections.abc import Callable, Sequence
from functools import lru_cache

from mysql_mimic import types

from lavendergate.backends.base import Column, Row

_NULL_MARKER = b'\xfb'
_MIN_MULTIBYTE_LENGTH = 251
_UNSIGNED_FLAG = 32
_BINARY_ROW_HEADER = b'\x00'
_NULL_BITMAP_OFFSET = 2
_BITS_PER_BYTE = 8

_ColumnType = types.ColumnType

_INTEGER_FORMATS = {
    _ColumnType.TINY: ('<b', '<B'),
    _ColumnType.SHORT: ('<h', '<H'),
    _ColumnType.YEAR: ('<h', '<H'),
    _ColumnType.INT24: ('<i', '<I'),
    _ColumnType.LONG: ('<i', '<I'),
    _ColumnType.LONGLONG: ('<q', '<Q'),
}
_FLOAT_FORMATS = {_ColumnType.FLOAT: '<f', _ColumnType.DOUBLE: '<d'}
_DATE_TYPES = frozenset(
    (
        _ColumnType.DATE,
        _ColumnType.DATETIME,
        _ColumnType.TIMESTAMP,
    )
)


def text_row(row: Row, columns: Sequence[Column]) -> bytes:
    """Encode a row for the text protocol."""
    parts = []
    for field in row:
        if field is None:
            parts.append(_NULL_MARKER)
            continue
        length = len(field)
        if length < _MIN_MULTIBYTE_LENGTH:
            parts.append(bytes((length,)))
        else:
            parts.append(types.uint_len(length))
        parts.append(field)
    return b''.join(parts)


def binary_row(row: Row, columns: Sequence[Column]) -> bytes:
    """Encode a row for the binary protocol of prepared statements."""
    bits = len(row) + _NULL_BITMAP_OFFSET
    bitmap = bytearray((bits + _BITS_PER_BYTE - 1) // _BITS_PER_BYTE)
    parts = []
    for index, (field, column) in enumerate(zip(row, columns, strict=True)):
        if field is None:
            byte, bit = divmod(index + _NULL_BITMAP_OFFSET, _BITS_PER_BYTE)
            bitmap[byte] |= 1 << bit
        else:
            parts.append(_binary_value(field, column))
    return b''.join((_BINARY_ROW_HEADER, bytes(bitmap), *parts))


@lru_cache(maxsize=4096)
def column_definition(column: Column) -> bytes:
    """Encode the definition of a result column."""
    name = column.name.encode('utf-8')
    empty = types.str_len(b'')
    return b''.join(
        (
            types.str_len(b'def'),
            empty,
            empty,
            empty,
            types.str_len(name),
            empty,
            types.uint_len(12),
            types.uint_2(column.character_set),
            types.uint_4(column.length),
            types.uint_1(column.type_code),
            types.uint_2(column.flags),
            types.uint_1(0),
            types.uint_2(0),
        )
    )


def _binary_value(field: bytes, column: Column) -> bytes:
    return _encoder(column.type_code, column.flags)(field)


@lru_cache(maxsize=256)
def _encoder(type_code: int, flags: int) -> Callable[[bytes], bytes]:
    column_type = _ColumnType(type_code)
    integer_formats = _INTEGER_FORMATS.get(column_type)
    if integer_formats is not None:
        signed, unsigned = integer_formats
        layout = unsigned if flags & _UNSIGNED_FLAG else signed
        return lambda field: struct.pack(layout, int(field))
    float_format = _FLOAT_FORMATS.get(column_type)
    if float_format is not None:
        return lambda field: struct.pack(float_format, float(field))
    if column_type in _DATE_TYPES:
        return _binary_date
    if column_type == _ColumnType.TIME:
        return _binary_time
    return _binary_text


def _binary_text(field: bytes) -> bytes:
    return bytes(types.str_len(field))


def _binary_date(field: bytes) -> bytes:
    date, _, clock = field.partition(b' ')
    year, month, day = (int(part) for part in date.split(b'-'))
    if not clock:
        return struct.pack('<BHBB', 4, year, month, day)
    hour, minute, second, micros = _parse_time(clock)
    if micros:
        return struct.pack(
            '<BHBBBBBI', 11, year, month, day, hour, minute, second, micros
        )
    return struct.pack('<BHBBBBB', 7, year, month, day, hour, minute, second)


def _binary_time(field: bytes) -> bytes:
    negative = field.startswith(b'-')
    hours, minute, second, micros = _parse_time(field.lstrip(b'-'))
    days, hour = divmod(hours, 24)
    if micros:
        return struct.pack(
            '<BBIBBBI', 12, negative, days, hour, minute, second, micros
        )
    return struct.pack('<BBIBBB', 8, negative, days, hour, minute, second)


def _parse_time(clock: bytes) -> tuple[int, int, int, int]:
    whole, _, fraction = clock.partition(b'.')
    hour, minute, second = (int(part) for part in whole.split(b':'))
    micros = int(fraction.ljust(6, b'0')) if fraction else 0
    return hour, minute, second, micros
