"""MySQL backend, built on aiomysql."""

from collections.abc import AsyncIterator
from typing import Any

import aiomysql
import anyio
from pymysql.constants import ER

from lavendergate.backends.base import (
    Column,
    ConnectionLostError,
    MemberAddress,
    QueryResult,
    Row,
    UpstreamBackend,
    UpstreamConnection,
    UpstreamError,
    UpstreamUnreachableError,
)

_FIRST_BATCH_ROWS = 200
_ROWS_PER_BATCH = 500
_DEFAULT_SQLSTATE = 'HY000'
# Error codes 2000 to 2999 are raised by the client library itself: the
# connection failed and the member did not answer.
_CLIENT_ERRORS = range(2000, 3000)
_SQLSTATES = {
    ER.DUP_ENTRY: '23000',
    ER.NO_SUCH_TABLE: '42S02',
    ER.PARSE_ERROR: '42000',
    ER.BAD_FIELD_ERROR: '42S22',
    ER.LOCK_DEADLOCK: '40001',
    ER.ACCESS_DENIED_ERROR: '28000',
}


class MySqlConnection(UpstreamConnection):
    """A connection of aiomysql that returns values as undecoded bytes."""

    def __init__(self, *, connection: aiomysql.Connection) -> None:
        self._connection = connection
        self._is_unusable = False

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and no answer is outstanding."""
        return not self._is_unusable and not self._connection.closed

    @property
    def connection_id(self) -> int:
        """Id under which the member lists the connection."""
        return int(self._connection.thread_id())

    async def execute(self, sql: str) -> QueryResult:
        """Run a statement; see the base class."""
        self._is_unusable = True
        try:
            query_result = await self._run(sql)
        except aiomysql.MySQLError as error:
            raise self._translate(error) from error
        except (OSError, EOFError, AttributeError) as lost:
            # aiomysql raises AttributeError if its reader is closed while
            # a statement waits for the answer.
            raise self._abort_as_lost(str(lost)) from lost
        except BaseException:
            # The answer to a cancelled statement is still outstanding on the
            # connection, so it cannot be reused.
            self.abort()
            raise
        if query_result.more_rows is None:
            self._is_unusable = False
        return query_result

    def abort(self) -> None:
        """Close the connection at once."""
        self._is_unusable = True
        self._connection.close()

    async def _run(self, sql: str) -> QueryResult:
        cursor = await self._connection.cursor(aiomysql.SSCursor)
        await cursor.execute(sql)
        if cursor.description is None:
            return QueryResult(
                rows=[],
                affected_rows=max(cursor.rowcount, 0),
                last_insert_id=cursor.lastrowid or 0,
            )
        rows = await cursor.fetchmany(_FIRST_BATCH_ROWS)
        if len(rows) < _FIRST_BATCH_ROWS:
            # This reads the end marker, so that the connection can be reused.
            await cursor.close()
            return QueryResult(columns=_columns(cursor), rows=rows)
        return QueryResult(
            columns=_columns(cursor),
            rows=rows,
            more_rows=self._stream(cursor),
        )

    async def _stream(self, cursor: Any) -> AsyncIterator[list[Row]]:
        try:
            while rows := await cursor.fetchmany(_ROWS_PER_BATCH):
                yield rows
            await cursor.close()
        except aiomysql.MySQLError as error:
            raise self._translate(error) from error
        self._is_unusable = False

    def _translate(self, error: aiomysql.MySQLError) -> Exception:
        code = error.args[0] if error.args else 0
        if not isinstance(code, int) or code == 0 or code in _CLIENT_ERRORS:
            return self._abort_as_lost(str(error))
        self._is_unusable = False
        return UpstreamError(
            code=code,
            sqlstate=_SQLSTATES.get(code, _DEFAULT_SQLSTATE),
            message=str(error.args[1]),
        )

    def _abort_as_lost(self, reason: str) -> ConnectionLostError:
        self.abort()
        return ConnectionLostError(reason)


class MySqlBackend(UpstreamBackend):
    """Opens MySQL connections with one account.

    Parameters
    ----------
    user, password
        Account on the upstreams.
    program_name
        Connection attribute that identifies the owner of a connection in the
        member's connection list.
    """

    def __init__(
        self, *, user: str, password: str, program_name: str = 'lavendergate'
    ) -> None:
        self._user = user
        self._password = password
        self._program_name = program_name

    async def connect(
        self,
        address: MemberAddress,
        *,
        database: str,
        timeout_s: float,
    ) -> UpstreamConnection:
        """Open a connection; see the base class."""
        connection = aiomysql.Connection(
            host=address.host,
            port=address.port,
            user=self._user,
            password=self._password,
            db=database,
            charset='utf8mb4',
            autocommit=True,
            use_unicode=False,
            conv={},
            program_name=self._program_name,
        )
        try:
            with anyio.fail_after(timeout_s):
                # aiomysql.connect does the same, but does not expose the
                # object before the login ends: a cancelled login would leave
                # its socket open, and the connection id would be lost.
                await connection._connect()  # noqa: SLF001, WPS437
        except (aiomysql.MySQLError, OSError, EOFError) as error:
            connection.close()
            raise UpstreamUnreachableError(
                f'no connection to {address.host}:{address.port} '
                f'(time limit {timeout_s:.3f} s): {error}',
                has_answered=_is_member_error(error),
                connection_id=_connection_id_of(connection),
            ) from error
        except BaseException:
            connection.close()
            raise
        return MySqlConnection(connection=connection)


def _connection_id_of(connection: aiomysql.Connection) -> int | None:
    thread_id = getattr(connection, 'server_thread_id', None)
    return None if thread_id is None else int(thread_id[0])


def _is_member_error(error: Exception) -> bool:
    if not isinstance(error, aiomysql.MySQLError) or not error.args:
        return False
    return error.args[0] not in _CLIENT_ERRORS


def _columns(cursor: Any) -> tuple[Column, ...]:
    return tuple(
        Column(
            name=field.name,
            type_code=field.type_code,
            character_set=field.charsetnr,
            flags=field.flags,
            length=field.length,
        )
        for field in cursor._result.fields  # noqa: SLF001, WPS437
    )
