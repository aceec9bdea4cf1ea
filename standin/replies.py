"""Results of statements and their packets."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from mysql_mimic import packets
from mysql_mimic.charset import CharacterSet
from mysql_mimic.results import ResultColumn
from mysql_mimic.types import ColumnType, uint_len

Row = Sequence[Any]


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Result of a statement; without columns if it returns no result set."""

    columns: tuple[ResultColumn, ...] = ()
    rows: Sequence[Row] = ()
    affected_rows: int = 0
    last_insert_id: int = 0


def table_reply(names: Sequence[str], rows: Sequence[Row]) -> Reply:
    """Return a result set with column types derived from the values."""
    columns = tuple(
        _result_column(name, [row[index] for row in rows])
        for index, name in enumerate(names)
    )
    return Reply(columns=columns, rows=rows, affected_rows=len(rows))


def column_packets(reply: Reply, charset: CharacterSet) -> list[bytes]:
    """Return the packets of the column count and column definitions."""
    definitions = [
        packets.make_column_definition_41(
            server_charset=charset,
            name=column.name,
            column_type=column.type,
            character_set=column.character_set,
        )
        for column in reply.columns
    ]
    return [uint_len(len(definitions)), *definitions]


def binary_row_packets(reply: Reply) -> list[bytes]:
    """Return the row packets of the binary protocol."""
    return [
        packets.make_binary_resultrow(row, reply.columns) for row in reply.rows
    ]


def _result_column(name: str, values: Sequence[Any]) -> ResultColumn:
    value_types = {type(value) for value in values if value is not None}
    if not value_types:
        return ResultColumn(name, ColumnType.VAR_STRING)
    if value_types <= {int, bool}:
        return ResultColumn(name, ColumnType.LONGLONG)
    if value_types <= {int, bool, float}:
        return ResultColumn(name, ColumnType.DOUBLE)
    if bytes in value_types:
        return ResultColumn(
            name,
            ColumnType.BLOB,
            character_set=CharacterSet.binary,
            text_encoder=_encode_binary,
        )
    return ResultColumn(name, ColumnType.VAR_STRING)


def _encode_binary(column: ResultColumn, value: Any) -> bytes:
    return value if isinstance(value, bytes) else str(value).encode()
