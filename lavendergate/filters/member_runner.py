"""Runs a statement on a pooled connection of a member and releases it."""

from collections.abc import AsyncGenerator, AsyncIterator
from typing import Any

from lavendergate.backends.base import Row, UpstreamConnection
from lavendergate.controllers.connections import MemberPool
from lavendergate.controllers.loads import MemberLoads
from lavendergate.filters.base import (
    Forward,
    StatementRequest,
    StatementResult,
)


class MemberRunner:
    """Runs statements, tracks the load of members and releases connections."""

    def __init__(self, *, loads: MemberLoads) -> None:
        self._loads = loads

    async def run(
        self,
        pool: MemberPool,
        connection: UpstreamConnection,
        request: StatementRequest,
        forward: Forward,
    ) -> StatementResult:
        """Forward the request on a connection of the pool.

        The connection is released after the statement, or, if the result is
        streamed, after its last row.
        """
        request.member = pool.upstream_id
        request.connection = connection
        started_at = self._loads.begin_statement(pool.upstream_id)
        try:
            result = await forward(request)
        except BaseException:
            connection.abort()
            pool.release(connection)
            raise
        finally:
            request.connection = None
            self._loads.end_statement(pool.upstream_id, started_at)
        more_rows = None if result.is_err() else result.unwrap().more_rows
        if more_rows is None:
            pool.release(connection)
        else:
            result.unwrap().more_rows = _StreamedRows(
                rows=more_rows, pool=pool, connection=connection
            )
        return result


class _StreamedRows(AsyncGenerator[list[Row], None]):
    """Rows of a streamed result; releases the connection at the end.

    This is not a generator function, because closing a generator that was
    never started runs none of its code, and the connection would never be
    released.
    """

    def __init__(
        self,
        *,
        rows: AsyncIterator[list[Row]],
        pool: MemberPool,
        connection: UpstreamConnection,
    ) -> None:
        self._rows = rows
        self._pool = pool
        self._connection = connection
        self._is_released = False

    async def asend(self, value: None) -> list[Row]:
        """Return the next batch of rows."""
        try:
            return await anext(self._rows)
        except StopAsyncIteration:
            self._release()
            raise
        except BaseException:
            self._abort()
            raise

    async def athrow(self, *error: Any) -> list[Row]:
        """Stop reading and close the connection, which has unread rows."""
        self._abort()
        raise StopAsyncIteration

    async def aclose(self) -> None:
        """Stop reading and close the connection, which has unread rows."""
        self._abort()

    def _abort(self) -> None:
        if not self._is_released:
            self._connection.abort()
            self._release()

    def _release(self) -> None:
        if not self._is_released:
            self._is_released = True
            self._pool.release(self._connection)
