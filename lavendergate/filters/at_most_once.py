"""Runs a non-idempotent request at most once over all proxies.

The record of a request commits in the same upstream transaction as its
effect. Whichever proxy sees the request again finds the record, or finds
that neither record nor effect exists.
"""

import time

import xxhash
from result import Err, Ok, Result

from lavendergate.backends.base import QueryResult, UpstreamConnection
from lavendergate.core.classification import StatementKind
from lavendergate.core.errors import (
    RequestMismatchError,
    TransactionLostError,
)
from lavendergate.filters.base import (
    Filter,
    Forward,
    StatementFailure,
    StatementRequest,
    StatementResult,
    UpstreamAnswerError,
    answered,
    failed,
)
from lavendergate.filters.execute import note_commit, run_before_deadline

TABLE = 'lavendergate_requests'
_CREATE_TABLE = (
    f'CREATE TABLE IF NOT EXISTS {TABLE} ('
    'request_id VARCHAR(64) NOT NULL PRIMARY KEY, '
    'statement_hash VARCHAR(32) NOT NULL, '
    'affected_rows BIGINT NOT NULL, '
    'last_insert_id BIGINT NOT NULL, '
    'created_ms BIGINT NOT NULL)'
)
_DUPLICATE_ENTRY = 1062
_NO_SUCH_TABLE = 1146
_MS_PER_S = 1000
_BACKSLASH = chr(92)


class AtMostOnce:
    """Reads and writes the records of requests."""

    def applies_to(self, request: StatementRequest) -> bool:
        """Tell whether the request is marked as non-idempotent."""
        hints = request.hints
        return hints.request_id is not None and hints.idempotent is False

    async def run_once(
        self, request: StatementRequest, connection: UpstreamConnection
    ) -> StatementResult:
        """Run one statement and its record in a transaction of their own."""
        begun = await self._run(request, connection, 'BEGIN')
        if begun.is_err():
            return begun
        claimed = await self._claim(request, connection)
        if isinstance(claimed, Err):
            return await self._undo(request, connection, claimed)
        executed = await self._run(request, connection, request.sql)
        if isinstance(executed, Err):
            return await self._undo(request, connection, executed)
        updated = await self._run(
            request, connection, _update(request, executed.ok_value)
        )
        if isinstance(updated, Err):
            return await self._undo(request, connection, updated)
        committed = await self._run(request, connection, 'COMMIT')
        if committed.is_err():
            return committed
        return await note_commit(request, connection, executed)

    async def record_in_transaction(
        self, request: StatementRequest, connection: UpstreamConnection
    ) -> StatementResult | None:
        """Insert the record before a caller's COMMIT.

        Returns
        -------
        StatementResult or None
            None if the commit may go on; otherwise the recorded answer or
            an error, and the transaction was rolled back.
        """
        claimed = await self._run(request, connection, _insert(request))
        if _is_error(claimed, _NO_SUCH_TABLE):
            # Creating the table would commit the caller's transaction.
            await self._run(request, connection, 'ROLLBACK')
            await self._run(request, connection, _CREATE_TABLE)
            reason = f'table {TABLE} did not exist and has been created'
            return failed(TransactionLostError(reason=reason))
        if isinstance(claimed, Err):
            return await self._undo(request, connection, claimed)
        return None

    async def is_recorded(
        self, request: StatementRequest, connection: UpstreamConnection
    ) -> Result[bool, StatementFailure]:
        """Tell whether the request's id has a record on this primary.

        A record that was found is written again, for its confirmation.
        """
        found = await self._find(request, connection)
        if _is_error(found, _NO_SUCH_TABLE):
            return Ok(False)
        if isinstance(found, Err):
            return found
        if not found.ok_value.rows:
            return Ok(False)
        touched = await self._touch(request, connection, found)
        return touched.map(lambda _query_result: True)

    async def recorded_outcome(
        self, request: StatementRequest, connection: UpstreamConnection
    ) -> StatementResult:
        """Return the recorded answer of the request's id."""
        found = await self._find(request, connection)
        if isinstance(found, Err) or not found.ok_value.rows:
            return found
        statement_hash, affected_rows, last_insert_id = found.ok_value.rows[0]
        if (statement_hash or b'').decode() != _hash(request.sql):
            return failed(
                RequestMismatchError(request_id=request.hints.request_id or '')
            )
        recorded = answered(
            QueryResult(
                rows=[],
                affected_rows=int(affected_rows or 0),
                last_insert_id=int(last_insert_id or 0),
            )
        )
        return await self._touch(request, connection, recorded)

    async def _touch(
        self,
        request: StatementRequest,
        connection: UpstreamConnection,
        recorded: StatementResult,
    ) -> StatementResult:
        """Write the record again, so that its confirmation proves it.

        The first attempt may have ended as unknown, in an older term. An
        entry of an older term can be lost to a later promotion even if a
        majority holds it; an entry of this term that is confirmed keeps all
        before it.
        """
        touched = await self._run(
            request,
            connection,
            f'UPDATE {TABLE} SET created_ms = created_ms + 1 '
            f'WHERE request_id = {_quote(request)}',
        )
        if touched.is_err():
            return touched
        return await note_commit(request, connection, recorded)

    async def _find(
        self, request: StatementRequest, connection: UpstreamConnection
    ) -> StatementResult:
        return await self._run(
            request,
            connection,
            'SELECT statement_hash, affected_rows, last_insert_id '
            f'FROM {TABLE} WHERE request_id = {_quote(request)}',
        )

    async def _claim(
        self, request: StatementRequest, connection: UpstreamConnection
    ) -> StatementResult:
        claimed = await self._run(request, connection, _insert(request))
        if _is_error(claimed, _NO_SUCH_TABLE):
            await self._run(request, connection, 'ROLLBACK')
            created = await self._run(request, connection, _CREATE_TABLE)
            if created.is_err():
                return created
            await self._run(request, connection, 'BEGIN')
            claimed = await self._run(request, connection, _insert(request))
        return claimed

    async def _undo(
        self,
        request: StatementRequest,
        connection: UpstreamConnection,
        reason: StatementResult,
    ) -> StatementResult:
        if not connection.is_usable:
            return reason
        rolled_back = await self._run(request, connection, 'ROLLBACK')
        if rolled_back.is_err():
            connection.abort()
            return reason
        if _is_error(reason, _DUPLICATE_ENTRY):
            recorded = await self.recorded_outcome(request, connection)
            if recorded.is_err() or not recorded.unwrap().columns:
                return recorded
        return reason

    async def _run(
        self,
        request: StatementRequest,
        connection: UpstreamConnection,
        sql: str,
    ) -> StatementResult:
        return await run_before_deadline(
            connection, sql, deadline=request.deadline
        )


class AtMostOnceFilter(Filter):
    """Sends marked writes through `AtMostOnce`, others on unchanged."""

    def __init__(self, *, at_most_once: AtMostOnce) -> None:
        self._at_most_once = at_most_once

    async def handle(
        self, request: StatementRequest, forward: Forward
    ) -> StatementResult:
        """Run a marked write once."""
        is_write = request.kind is StatementKind.write
        if not is_write or not self._at_most_once.applies_to(request):
            return await forward(request)
        if request.connection is None:
            raise RuntimeError('the routing filter set no connection')
        return await self._at_most_once.run_once(request, request.connection)


def _insert(request: StatementRequest) -> str:
    created_ms = int(time.time() * _MS_PER_S)
    return (
        f'INSERT INTO {TABLE} (request_id, statement_hash, affected_rows, '
        f'last_insert_id, created_ms) VALUES ({_quote(request)}, '
        f"'{_hash(request.sql)}', 0, 0, {created_ms})"
    )


def _update(request: StatementRequest, executed: QueryResult) -> str:
    return (
        f'UPDATE {TABLE} SET affected_rows = {executed.affected_rows}, '
        f'last_insert_id = {executed.last_insert_id} '
        f'WHERE request_id = {_quote(request)}'
    )


def _hash(sql: str) -> str:
    return xxhash.xxh3_128_hexdigest(sql.encode('utf-8', 'surrogateescape'))


def _quote(request: StatementRequest) -> str:
    text = request.hints.request_id or ''
    escaped = text.replace(_BACKSLASH, _BACKSLASH * 2).replace("'", "''")
    return f"'{escaped}'"


def _is_error(outcome: StatementResult, code: int) -> bool:
    if not isinstance(outcome, Err):
        return False
    error = outcome.err_value
    return isinstance(error, UpstreamAnswerError) and error.code == code
