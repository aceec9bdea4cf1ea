"""Runs a non-idempotent request at most once over all proxies.

A record of the request is committed in the same upstream transaction as its
changes. When the request is sent again, to any proxy, that proxy finds either
the record, or neither the record nor the changes.
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
    error_result,
    success_result,
)
from lavendergate.filters.execute import (
    record_commit_position,
    run_before_deadline,
)

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
    """Reads and writes the records of non-idempotent requests."""

    def applies_to(self, request: StatementRequest) -> bool:
        """Return whether the request is marked as non-idempotent."""
        hints = request.hints
        return hints.request_id is not None and hints.idempotent is False

    async def run_once(
        self, request: StatementRequest, connection: UpstreamConnection
    ) -> StatementResult:
        """Run the statement and insert its record in one new transaction.

        If the request is already recorded, return the recorded answer instead.
        """
        began = await self._run(request, connection, 'BEGIN')
        if began.is_err():
            return began
        inserted = await self._insert_record(request, connection)
        if isinstance(inserted, Err):
            return await self._roll_back_and_answer(
                request, connection, inserted
            )
        executed = await self._run(request, connection, request.sql)
        if isinstance(executed, Err):
            return await self._roll_back_and_answer(
                request, connection, executed
            )
        updated = await self._run(
            request, connection, _update_sql(request, executed.ok_value)
        )
        if isinstance(updated, Err):
            return await self._roll_back_and_answer(
                request, connection, updated
            )
        committed = await self._run(request, connection, 'COMMIT')
        if committed.is_err():
            return committed
        return await record_commit_position(request, connection, executed)

    async def record_in_transaction(
        self, request: StatementRequest, connection: UpstreamConnection
    ) -> StatementResult | None:
        """Insert the record into the caller's transaction, before its COMMIT.

        Returns
        -------
        StatementResult or None
            None if the transaction can be committed. Otherwise the transaction
            was rolled back, and this is the recorded answer or an error.
        """
        inserted = await self._run(request, connection, _insert_sql(request))
        if _has_error_code(inserted, _NO_SUCH_TABLE):
            # CREATE TABLE would commit the caller's transaction implicitly.
            await self._run(request, connection, 'ROLLBACK')
            await self._run(request, connection, _CREATE_TABLE)
            reason = f'table {TABLE} did not exist and has been created'
            return error_result(TransactionLostError(reason=reason))
        if isinstance(inserted, Err):
            return await self._roll_back_and_answer(
                request, connection, inserted
            )
        return None

    async def find_and_rewrite_record(
        self, request: StatementRequest, connection: UpstreamConnection
    ) -> Result[bool, StatementFailure]:
        """Return whether this primary has a record of the request id.

        A record that is found is rewritten, so that a majority can confirm
        it; see `_rewrite_record`.
        """
        found = await self._select_record(request, connection)
        if _has_error_code(found, _NO_SUCH_TABLE):
            return Ok(False)
        if isinstance(found, Err):
            return found
        if not found.ok_value.rows:
            return Ok(False)
        rewritten = await self._rewrite_record(request, connection, found)
        return rewritten.map(lambda _query_result: True)

    async def recorded_answer(
        self, request: StatementRequest, connection: UpstreamConnection
    ) -> StatementResult:
        """Return the recorded answer, after rewriting its record.

        Without a record, return the empty result set of the query; if the
        record is that of another statement, return an error.
        """
        found = await self._select_record(request, connection)
        if isinstance(found, Err) or not found.ok_value.rows:
            return found
        statement_hash, affected_rows, last_insert_id = found.ok_value.rows[0]
        if (statement_hash or b'').decode() != _statement_hash(request.sql):
            return error_result(
                RequestMismatchError(request_id=request.hints.request_id or '')
            )
        recorded = success_result(
            QueryResult(
                rows=[],
                affected_rows=int(affected_rows or 0),
                last_insert_id=int(last_insert_id or 0),
            )
        )
        return await self._rewrite_record(request, connection, recorded)

    async def _rewrite_record(
        self,
        request: StatementRequest,
        connection: UpstreamConnection,
        recorded: StatementResult,
    ) -> StatementResult:
        """Rewrite the record, so that it is committed in the current term.

        The first attempt may have ended as unknown in an older term. A log
        entry of an older term can be lost in a later promotion even if a
        majority has it. Once an entry of the current term is confirmed, all
        entries before it are safe, too.
        """
        rewritten = await self._run(
            request,
            connection,
            f'UPDATE {TABLE} SET created_ms = created_ms + 1 '
            f'WHERE request_id = {_quoted_request_id(request)}',
        )
        if rewritten.is_err():
            return rewritten
        return await record_commit_position(request, connection, recorded)

    async def _select_record(
        self, request: StatementRequest, connection: UpstreamConnection
    ) -> StatementResult:
        return await self._run(
            request,
            connection,
            'SELECT statement_hash, affected_rows, last_insert_id '
            f'FROM {TABLE} WHERE request_id = {_quoted_request_id(request)}',
        )

    async def _insert_record(
        self, request: StatementRequest, connection: UpstreamConnection
    ) -> StatementResult:
        inserted = await self._run(request, connection, _insert_sql(request))
        if _has_error_code(inserted, _NO_SUCH_TABLE):
            await self._run(request, connection, 'ROLLBACK')
            created = await self._run(request, connection, _CREATE_TABLE)
            if created.is_err():
                return created
            await self._run(request, connection, 'BEGIN')
            inserted = await self._run(
                request, connection, _insert_sql(request)
            )
        return inserted

    async def _roll_back_and_answer(
        self,
        request: StatementRequest,
        connection: UpstreamConnection,
        failed: StatementResult,
    ) -> StatementResult:
        if not connection.is_usable:
            return failed
        rolled_back = await self._run(request, connection, 'ROLLBACK')
        if rolled_back.is_err():
            connection.abort()
            return failed
        if _has_error_code(failed, _DUPLICATE_ENTRY):
            recorded = await self.recorded_answer(request, connection)
            # Only the empty result set of the query has columns: no record was
            # found.
            if recorded.is_err() or not recorded.unwrap().columns:
                return recorded
        return failed

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
    """Runs writes marked as non-idempotent through `AtMostOnce`."""

    def __init__(self, *, at_most_once: AtMostOnce) -> None:
        self._at_most_once = at_most_once

    async def handle(
        self, request: StatementRequest, forward: Forward
    ) -> StatementResult:
        """Run a marked write at most once; forward any other statement."""
        is_write = request.kind is StatementKind.write
        if not is_write or not self._at_most_once.applies_to(request):
            return await forward(request)
        if request.connection is None:
            raise RuntimeError('the routing filter set no connection')
        return await self._at_most_once.run_once(request, request.connection)


def _insert_sql(request: StatementRequest) -> str:
    created_ms = int(time.time() * _MS_PER_S)
    return (
        f'INSERT INTO {TABLE} (request_id, statement_hash, affected_rows, '
        f'last_insert_id, created_ms) VALUES ({_quoted_request_id(request)}, '
        f"'{_statement_hash(request.sql)}', 0, 0, {created_ms})"
    )


def _update_sql(request: StatementRequest, executed: QueryResult) -> str:
    return (
        f'UPDATE {TABLE} SET affected_rows = {executed.affected_rows}, '
        f'last_insert_id = {executed.last_insert_id} '
        f'WHERE request_id = {_quoted_request_id(request)}'
    )


def _statement_hash(sql: str) -> str:
    return xxhash.xxh3_128_hexdigest(sql.encode('utf-8', 'surrogateescape'))


def _quoted_request_id(request: StatementRequest) -> str:
    text = request.hints.request_id or ''
    escaped = text.replace(_BACKSLASH, _BACKSLASH * 2).replace("'", "''")
    return f"'{escaped}'"


def _has_error_code(result: StatementResult, code: int) -> bool:
    if not isinstance(result, Err):
        return False
    error = result.err_value
    return isinstance(error, UpstreamAnswerError) and error.code == code
