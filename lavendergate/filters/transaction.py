"""Runs each transaction on one upstream connection."""

from result import Err, Ok, Result

from lavendergate.controllers.primary import PrimaryConnector
from lavendergate.core.classification import StatementKind
from lavendergate.core.errors import (
    Outcome,
    RefusedStatementError,
    TransactionLostError,
    quoted,
)
from lavendergate.core.sql_text import first_word
from lavendergate.filters.at_most_once import AtMostOnce
from lavendergate.filters.base import (
    Filter,
    Forward,
    OpenTransaction,
    StatementFailure,
    StatementRequest,
    StatementResult,
    error_result,
    success_result,
)
from lavendergate.filters.execute import (
    empty_result,
    record_commit_position,
    run_before_deadline,
)

_IMPLICIT_BEGIN_KINDS = frozenset(
    (
        StatementKind.read,
        StatementKind.locking_read,
        StatementKind.write,
    )
)
# Statements that make the member commit the transaction implicitly; the proxy
# would not learn the log position of that commit.
_IMPLICIT_COMMIT_KEYWORDS = frozenset(
    (
        'ALTER',
        'ANALYZE',
        'CREATE',
        'DROP',
        'OPTIMIZE',
        'RENAME',
        'TRUNCATE',
    )
)
_IMPLICIT_COMMIT_ADVICE = (
    'commit the transaction first; this statement cannot be part of it'
)


class TransactionFilter(Filter):
    """Handles transaction control and statements inside a transaction.

    Parameters
    ----------
    primaries
        Acquires connections to primaries.
    at_most_once
        Records the request id of a COMMIT in its transaction.
    """

    def __init__(
        self, *, primaries: PrimaryConnector, at_most_once: AtMostOnce
    ) -> None:
        self._primaries = primaries
        self._at_most_once = at_most_once
        self._handlers = {
            StatementKind.begin: self._begin,
            StatementKind.commit: self._commit,
            StatementKind.rollback: self._rollback,
        }

    async def handle(
        self, request: StatementRequest, forward: Forward
    ) -> StatementResult:
        """Run transaction control and statements of an open transaction.

        Other statements are forwarded.
        """
        handler = self._handlers.get(request.kind)
        if handler is not None:
            return await handler(request)
        session = request.session
        if request.kind is StatementKind.write and not session.autocommit:
            if first_word(request.sql) in _IMPLICIT_COMMIT_KEYWORDS:
                return await self._forward_implicit_commit(request, forward)
        if session.transaction is None and not session.autocommit:
            if request.kind in _IMPLICIT_BEGIN_KINDS:
                opened = await self._begin_on_primary(request)
                if isinstance(opened, Err):
                    return error_result(opened.err_value)
        if session.transaction is None:
            return await forward(request)
        return await self._run_in_transaction(request, session.transaction)

    async def _forward_implicit_commit(
        self, request: StatementRequest, forward: Forward
    ) -> StatementResult:
        if request.session.transaction is not None:
            return error_result(_implicit_commit_refusal(request))
        return await forward(request)

    async def _begin(self, request: StatementRequest) -> StatementResult:
        if request.session.transaction is not None:
            committed = await self._commit(request)
            if committed.is_err():
                return committed
        opened = await self._begin_on_primary(request)
        if isinstance(opened, Err):
            return error_result(opened.err_value)
        return success_result(empty_result())

    async def _begin_on_primary(
        self, request: StatementRequest
    ) -> Result[OpenTransaction, StatementFailure]:
        session = request.session
        if session.group_id is None:
            raise RuntimeError('the classification requires a group')
        while True:
            acquired = await self._primaries.acquire(
                session.group_id,
                deadline=request.deadline,
                session_statements=session.session_statements,
            )
            if isinstance(acquired, Err):
                return acquired
            primary = acquired.ok_value
            began = await run_before_deadline(
                primary.connection, 'BEGIN', deadline=request.deadline
            )
            if began.is_ok():
                break
            primary.release()
            if began.unwrap_err().outcome is not Outcome.unknown:
                return Err(began.unwrap_err())
            # A transaction without statements has changed nothing, so BEGIN is
            # retried on another connection. The pool may still contain
            # connections that broke when the old primary failed.
        session.transaction = OpenTransaction(
            group_id=session.group_id,
            pool=primary.pool,
            connection=primary.connection,
        )
        return Ok(session.transaction)

    async def _run_in_transaction(
        self, request: StatementRequest, transaction: OpenTransaction
    ) -> StatementResult:
        if first_word(request.sql) in _IMPLICIT_COMMIT_KEYWORDS:
            return error_result(_implicit_commit_refusal(request))
        if request.kind is StatementKind.pinned:
            transaction.is_pinned = True
        executed = await run_before_deadline(
            transaction.connection, request.sql, deadline=request.deadline
        )
        if isinstance(executed, Err):
            if executed.err_value.outcome is Outcome.unknown:
                # No COMMIT was sent, so the member rolls back when the
                # connection is closed.
                self._end_transaction(request)
                return error_result(
                    TransactionLostError(reason=executed.err_value.message)
                )
            if executed.err_value.code == _DEADLOCK:
                # The member has rolled the transaction back itself.
                self._end_transaction(request)
        return executed

    async def _commit(self, request: StatementRequest) -> StatementResult:
        transaction = request.session.transaction
        if transaction is None:
            return success_result(empty_result())
        try:
            return await self._commit_transaction(request, transaction)
        finally:
            self._end_transaction(request)

    async def _commit_transaction(
        self, request: StatementRequest, transaction: OpenTransaction
    ) -> StatementResult:
        request.member = transaction.pool.upstream_id
        if self._at_most_once.applies_to(request):
            recorded_answer = await self._at_most_once.record_in_transaction(
                request, transaction.connection
            )
            if recorded_answer is not None:
                return recorded_answer
        committed = await run_before_deadline(
            transaction.connection, 'COMMIT', deadline=request.deadline
        )
        if committed.is_err():
            return committed
        return await record_commit_position(
            request, transaction.connection, committed
        )

    async def _rollback(self, request: StatementRequest) -> StatementResult:
        transaction = request.session.transaction
        if transaction is not None:
            # If no answer arrives, the connection is closed, which makes the
            # member roll back. Nothing is committed in either case.
            await run_before_deadline(
                transaction.connection, 'ROLLBACK', deadline=request.deadline
            )
            self._end_transaction(request)
        return success_result(empty_result())

    def _end_transaction(self, request: StatementRequest) -> None:
        end_transaction(request.session.transaction)
        request.session.transaction = None


def end_transaction(transaction: OpenTransaction | None) -> None:
    """Release the connection of a transaction to its pool."""
    if transaction is None:
        return
    if transaction.is_pinned:
        transaction.connection.abort()
    transaction.pool.release(transaction.connection)


def _implicit_commit_refusal(
    request: StatementRequest,
) -> RefusedStatementError:
    return RefusedStatementError(
        statement=quoted(request.sql), advice=_IMPLICIT_COMMIT_ADVICE
    )


_DEADLOCK = 1213
