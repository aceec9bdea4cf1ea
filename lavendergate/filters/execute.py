"""Runs statements on upstream connections."""

from collections.abc import Coroutine

import anyio

from lavendergate.backends.base import (
    ConnectionLostError,
    QueryResult,
    UpstreamConnection,
    UpstreamError,
)
from lavendergate.controllers.confirmation import (
    query_last_commit,
)
from lavendergate.core.classification import StatementKind
from lavendergate.core.errors import UnknownOutcomeError
from lavendergate.core.types import LOG_START, LogPosition
from lavendergate.filters.base import (
    Filter,
    Forward,
    StatementRequest,
    StatementResult,
    UpstreamAnswerError,
    WrittenPosition,
    error_result,
    success_result,
)

_POSITION_UNREADABLE = UnknownOutcomeError(
    reason='the write was committed but its position could not be read'
)


class ExecuteFilter(Filter):
    """Last filter: runs the statement at the member."""

    async def handle(
        self, request: StatementRequest, forward: Forward
    ) -> StatementResult:
        """Run the statement on the connection of the request."""
        connection = request.connection
        if connection is None:
            raise RuntimeError('the routing filter set no connection')
        executed = await run_before_deadline(
            connection, request.sql, deadline=request.deadline
        )
        if executed.is_err() or request.kind is not StatementKind.write:
            return executed
        return await record_commit_position(request, connection, executed)


async def run_before_deadline(
    connection: UpstreamConnection, sql: str, *, deadline: float
) -> StatementResult:
    """Run a statement, limited by a deadline.

    If the deadline passes or the connection breaks, the outcome is `unknown`,
    because the statement was already sent. The connection is closed.
    """
    try:
        with anyio.CancelScope(deadline=deadline):
            return success_result(await connection.execute(sql))
    except UpstreamError as error:
        return error_result(answer_error(error))
    except ConnectionLostError as error:
        return error_result(
            UnknownOutcomeError(reason=f'connection lost: {error}')
        )
    return error_result(
        UnknownOutcomeError(reason='the member did not answer in time')
    )


async def record_commit_position(
    request: StatementRequest,
    connection: UpstreamConnection,
    executed: StatementResult,
) -> StatementResult:
    """Read the log position of the last commit and set it on the request.

    Returns
    -------
    StatementResult
        `executed`, or an error with an unknown outcome if the position could
        not be read before the deadline.
    """
    position = await _read_before_deadline(
        query_last_commit(connection), deadline=request.deadline
    )
    if position is None:
        return error_result(_POSITION_UNREADABLE)
    if position != LOG_START:
        _set_written(request, position)
    return executed


async def _read_before_deadline(
    reading: Coroutine[None, None, LogPosition], *, deadline: float
) -> LogPosition | None:
    try:
        with anyio.CancelScope(deadline=deadline):
            return await reading
    except (ConnectionLostError, UpstreamError):
        return None
    return None


def _set_written(request: StatementRequest, position: LogPosition) -> None:
    group_id = request.session.group_id
    if group_id is None or request.member is None:
        raise RuntimeError('a write has no group or member')
    request.written = WrittenPosition(
        group_id=group_id, writer=request.member, position=position
    )


def answer_error(error: UpstreamError) -> UpstreamAnswerError:
    """Convert an error answer of the member into a failure."""
    return UpstreamAnswerError(
        code=error.code, sqlstate=error.sqlstate, message=error.message
    )


def empty_result() -> QueryResult:
    """Return the result of a statement that yields no rows."""
    return QueryResult(rows=[])
