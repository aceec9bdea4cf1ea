"""Statements that the system answers itself."""

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
    complete,
    refuse,
)

# Statements that end or begin a transaction, and where they are allowed.
_ALLOWED = {
    Phase.idle: (Begin,),
    Phase.in_transaction: (Commit, Rollback),
    Phase.failed: (Commit, Rollback),
}
_BOUNDARIES = (Begin, Commit, Rollback)


class LocalFilter(SessionFilter):
    """Keeps values and prepared names, and refuses what has no place."""

    async def handle(
        self, request: SessionRequest, forward: ForwardRequest
    ) -> SessionAnswer:
        """Answer the request, or forward it to the next filter."""
        session = request.session
        statement = request.statement
        if session.is_expired:
            session.is_expired = False
            return refuse(
                request,
                RefusalCode.aborted,
                'the transaction was idle for too long; begin it again',
            )
        if isinstance(statement, _BOUNDARIES):
            return await self._handle_boundary(request, forward)
        if session.phase == Phase.failed:
            return refuse(
                request,
                RefusalCode.malformed,
                'the transaction failed; end it first',
            )
        match statement:
            case SetValue(name=name, value=value):
                session.values[name] = value
            case Prepare(name=name, shape=shape):
                session.prepared[name] = shape
            case Forget(name=name):
                session.prepared.pop(name, None)
            case Execute(name=name) if name not in session.prepared:
                return refuse(
                    request,
                    RefusalCode.no_statement,
                    f'{name!r} is not prepared in this session',
                )
            case _:
                return await forward(request)
        return complete(request)

    async def _handle_boundary(
        self, request: SessionRequest, forward: ForwardRequest
    ) -> SessionAnswer:
        session = request.session
        statement = request.statement
        if not isinstance(statement, _ALLOWED[session.phase]):
            return refuse(
                request,
                RefusalCode.malformed,
                f'the session is {session.phase.value}',
            )
        if session.phase != Phase.failed:
            return await forward(request)
        session.phase = Phase.idle
        session.transaction = None
        if isinstance(statement, Rollback):
            return complete(request)
        return refuse(
            request,
            RefusalCode.aborted,
            'the transaction failed and was rolled back; begin it again',
        )
