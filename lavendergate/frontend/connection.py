"""One caller's MySQL connection.

mysql-mimic parses and frames the protocol. This module replaces the parts in
which a proxy needs other behaviour: it passes on affected rows, the last
insert id and the SQLSTATE of upstream errors, keeps values undecoded, applies
back-pressure to large results, limits the size of packets, and closes the
connection after a failed login.
"""

import asyncio
import ssl
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Awaitable,
    Callable,
    Sequence,
)
from functools import partial
from typing import Any

from mysql_mimic import packets, types
from mysql_mimic.charset import CharacterSet
from mysql_mimic.connection import Connection
from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.stream import ConnectionClosed, MysqlStream
from result import Err

from lavendergate.backends.base import (
    Column,
    ConnectionLostError,
    QueryResult,
    Row,
    UpstreamError,
)
from lavendergate.core.errors import UnknownOutcomeError
from lavendergate.filters.base import StatementFailure
from lavendergate.frontend import results
from lavendergate.frontend.session import MysqlSession
from lavendergate.frontend.tls_upgrade import upgrade_to_tls

MAX_PACKET_BYTES = 16 * 1024 * 1024
LOGIN_TIMEOUT_S = 10.0
_ROWS_PER_DRAIN = 500
_HEADER_BYTES = 4
_FULL_PACKET_BYTES = 0xFFFFFF


class BoundedStream:
    """A packet stream that refuses payloads above `MAX_PACKET_BYTES`.

    The stream of the library is compiled and cannot be subclassed, so this
    class wraps it and replaces only the reading.

    Parameters
    ----------
    reader, writer
        The connection.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self._stream = MysqlStream(reader, writer)
        self.seq = self._stream.seq
        self.write = self._stream.write
        self.write_many = self._stream.write_many
        self.drain = self._stream.drain
        self.reset_seq = self._stream.reset_seq

    async def start_tls(self, context: ssl.SSLContext) -> None:
        """Switch to TLS at the request of the caller."""
        await upgrade_to_tls(self.reader, self._stream.writer, context)

    async def read(self) -> bytes:
        """Read one payload, which may span several packets.

        Raises
        ------
        ConnectionClosed
            If the caller closed the connection, or sent a packet out of
            order or a payload larger than `MAX_PACKET_BYTES`. The rest of
            such a payload is not read.
        """
        payload = b''
        while True:
            packet = await self._read_packet(len(payload))
            payload = payload + packet if payload else packet
            if len(packet) < _FULL_PACKET_BYTES:
                return payload

    async def _read_packet(self, bytes_before: int) -> bytes:
        try:
            header = await self.reader.readexactly(_HEADER_BYTES)
        except asyncio.IncompleteReadError as error:
            raise ConnectionClosed from error
        length = int.from_bytes(header[:3], 'little')
        expected = next(self.seq)
        if header[3] != expected or bytes_before + length > MAX_PACKET_BYTES:
            await self._refuse_packet(length + bytes_before)
        try:
            return await self.reader.readexactly(length)
        except asyncio.IncompleteReadError as error:
            raise ConnectionClosed from error

    async def _refuse_packet(self, length: int) -> None:
        message = (
            f'payload of {length} bytes exceeds the limit of '
            f'{MAX_PACKET_BYTES} bytes, or its packet is out of order; send '
            'smaller statements or reconnect'
        )
        await self.write(
            b''.join(
                (
                    b'\xff',
                    types.uint_2(ErrorCode.MALFORMED_PACKET),
                    b'#08S01',
                    message.encode(),
                )
            )
        )
        raise ConnectionClosed


class CallerConnection(Connection):
    """Protocol state of one caller's connection."""

    session: MysqlSession

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # Drivers send SET autocommit only if the mode they want differs
        # from the status flags that they receive at login.
        self._update_status()

    @property
    def server_charset(self) -> CharacterSet:
        """Character set of results."""
        return CharacterSet.utf8mb4

    async def connection_phase(self) -> None:
        """Log the caller in, or disconnect it after `LOGIN_TIMEOUT_S`."""
        async with asyncio.timeout(LOGIN_TIMEOUT_S):
            await super().connection_phase()
        if self.session.username is None:
            # The library answers a failed login with an error but does not
            # close the connection.
            raise MysqlError('login failed', ErrorCode.ACCESS_DENIED_ERROR)

    async def handle_query(self, data: bytes) -> None:
        """Answer COM_QUERY."""
        sql, attributes = self._parse_query(data)
        try:
            await self._run_and_answer(sql, attributes, self._write_text)
        finally:
            self.session.mark_answered()

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Answer COM_STMT_EXECUTE."""
        execute = packets.parse_com_stmt_execute(
            capabilities=self.capabilities,
            client_charset=self.client_charset,
            data=data,
            get_stmt=self.get_stmt,
        )
        execute.stmt.param_buffers = None
        write = self._write_binary
        if execute.use_cursor:
            write = partial(self._open_cursor, execute.stmt)
        try:
            await self._run_and_answer(execute.sql, execute.query_attrs, write)
        finally:
            self.session.mark_answered()

    async def handle_reset_connection(self, data: bytes) -> None:
        """Answer COM_RESET_CONNECTION."""
        await self.session.reset()
        self.prepared_stmts.clear()
        await self.stream.write(self.ok())

    async def handle_stmt_reset(self, data: bytes) -> None:
        """Answer COM_STMT_RESET, which resets one prepared statement."""
        statement = self.get_stmt(packets.parse_com_stmt_reset(data).stmt_id)
        statement.param_buffers = None
        statement.cursor = None
        await self.stream.write(self.ok())

    def _parse_query(self, data: bytes) -> tuple[str, dict[str, str]]:
        if types.Capabilities.CLIENT_QUERY_ATTRIBUTES in self.capabilities:
            query = packets.parse_com_query(
                capabilities=self.capabilities,
                client_charset=self.client_charset,
                data=data,
            )
            return query.sql, query.query_attrs
        # Drivers send binary literals in the text of the statement, which
        # may be invalid in the character set of the client.
        codec = self.client_charset.codec
        return data.decode(codec, 'surrogateescape'), {}

    async def _run_and_answer(
        self,
        sql: str,
        attributes: dict[str, str],
        write: Callable[[QueryResult], Awaitable[None]],
    ) -> None:
        outcome = await self.session.run(sql, attributes)
        self._update_status()
        if isinstance(outcome, Err):
            await self._write_error(outcome.err_value)
            return
        query_result = outcome.ok_value
        if not query_result.columns:
            await self._write_counts(query_result)
            return
        try:
            await write(query_result)
        except (ConnectionLostError, UpstreamError) as error:
            # The protocol allows an error packet after any row of a result.
            reason = f'the result ended early: {error}'
            await self._write_error(UnknownOutcomeError(reason=reason))
        finally:
            await _close_rows(query_result)

    def _update_status(self) -> None:
        flags = types.ServerStatus(0)
        if self.session.autocommit:
            flags |= types.ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self.session.in_transaction:
            flags |= types.ServerStatus.SERVER_STATUS_IN_TRANS
        self.status_flags = flags

    async def _write_error(self, error: StatementFailure) -> None:
        message = error.message.encode('utf-8', 'replace')
        sqlstate = error.sqlstate.encode('ascii')
        await self.stream.write(
            b''.join(
                (
                    b'\xff',
                    types.uint_2(error.code),
                    b'#',
                    sqlstate,
                    message,
                )
            )
        )

    async def _write_counts(self, query_result: QueryResult) -> None:
        await self.stream.write(
            self.ok(
                affected_rows=query_result.affected_rows,
                last_insert_id=query_result.last_insert_id,
            )
        )

    async def _write_text(self, query_result: QueryResult) -> None:
        await self._write_rows(query_result, results.text_row)

    async def _write_binary(self, query_result: QueryResult) -> None:
        await self._write_rows(query_result, results.binary_row)

    async def _write_rows(
        self,
        query_result: QueryResult,
        encode: Callable[[Row, Sequence[Column]], bytes],
    ) -> None:
        self._write_columns(query_result)
        async for rows in _row_batches(query_result):
            self.stream.write_many(
                [encode(row, query_result.columns) for row in rows]
            )
            if query_result.more_rows is not None:
                # Waits until the caller has received the rows, so that a
                # large result does not accumulate in memory.
                await self.stream.drain()
        await self.stream.write(self.ok_or_eof())

    def _write_columns(self, query_result: QueryResult) -> None:
        header = [
            packets.make_column_count(
                capabilities=self.capabilities,
                column_count=len(query_result.columns),
            )
        ]
        header.extend(map(results.column_definition, query_result.columns))
        if not self.deprecate_eof():
            header.append(self.eof())
        self.stream.write_many(header)

    async def _open_cursor(
        self, statement: Any, query_result: QueryResult
    ) -> None:
        # All rows are read immediately, because a cursor may stay open for
        # long and would keep its upstream connection all that time.
        rows = [
            row async for batch in _row_batches(query_result) for row in batch
        ]
        self._write_columns(query_result)
        statement.cursor = _binary_rows(rows, query_result.columns)
        await self.stream.write(
            self.ok_or_eof(flags=types.ServerStatus.SERVER_STATUS_CURSOR_EXISTS)
        )


async def _row_batches(query_result: QueryResult) -> AsyncIterator[list[Row]]:
    for start in range(0, len(query_result.rows), _ROWS_PER_DRAIN):
        yield query_result.rows[start : start + _ROWS_PER_DRAIN]
    if query_result.more_rows is not None:
        async for rows in query_result.more_rows:
            yield rows


async def _binary_rows(
    rows: Sequence[Row], columns: Sequence[Column]
) -> AsyncIterator[bytes]:
    for row in rows:
        yield results.binary_row(row, columns)


async def _close_rows(query_result: QueryResult) -> None:
    if isinstance(query_result.more_rows, AsyncGenerator):
        await query_result.more_rows.aclose()
