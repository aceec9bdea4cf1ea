"""Answers session statements that need no member."""

from lavendergate.core.sessions.statements import (
    Begin,
    Commit,
    Execute,
    Forget,
    Phase,
    Prepare,
    RefusalCode,
    Rollback,
    SessionAnswer,
    SetValue,
)
from lavendergate.filters.sessions.base import (
    ForwardRequest,
    SessionFilter,
    SessionRequest,
    refusal_answer,
    success_answer,
)

# Statements that begin or end a transaction, by the session phase that allows
# them.
_BOUNDARIES_ALLOWED_IN = {
    Phase.idle: (Begin,),
    Phase.in_transaction: (Commit, Rollback),
    Phase.failed: (Commit, Rollback),
}
_TRANSACTION_BOUNDARIES = (Begin, Commit, Rollback)


class LocalFilter(SessionFilter):
    """Stores session values and prepared statements.

    Statements that the present phase of the session does not allow are
    refused.
    """

    async def handle(
        self, request: SessionRequest, forward: ForwardRequest
    ) -> SessionAnswer:
        """Answer the request, or forward it to the next filter."""
        session = request.session
        statement = request.statement
        if session.is_expired:
            session.is_expired = False
            return refusal_answer(
                request,
                RefusalCode.aborted,
                'the transaction was idle for too long, or this host stops; '
                'begin it again',
            )
        if isinstance(statement, _TRANSACTION_BOUNDARIES):
            return await self._handle_boundary(request, forward)
        if session.phase == Phase.failed:
            return refusal_answer(
                request,
                RefusalCode.malformed,
                'the transaction failed and was rolled back; send a rollback '
                'to end it',
            )
        match statement:
            case SetValue(name=name, value=value):
                session.values[name] = value
            case Prepare(name=name, shape=shape):
                session.prepared[name] = shape
            case Forget(name=name):
                session.prepared.pop(name, None)
            case Execute(name=name) if name not in session.prepared:
                return refusal_answer(
                    request,
                    RefusalCode.no_statement,
                    f'{name!r} is not prepared in this session',
                )
            case _:
                return await forward(request)
        return success_answer(request)

    async def _handle_boundary(
        self, request: SessionRequest, forward: ForwardRequest
    ) -> SessionAnswer:
        session = request.session
        statement = request.statement
        if not isinstance(statement, _BOUNDARIES_ALLOWED_IN[session.phase]):
            return refusal_answer(
                request,
                RefusalCode.malformed,
                'begin, commit or rollback is not allowed in phase '
                f'{session.phase.value}',
            )
        if session.phase != Phase.failed:
            return await forward(request)
        session.phase = Phase.idle
        session.transaction = None
        if isinstance(statement, Rollback):
            return success_answer(request)
        return refusal_answer(
            request,
            RefusalCode.aborted,
            'the transaction failed and was rolled back; begin it again',
        )
