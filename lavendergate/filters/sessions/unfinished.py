"""Answers to statements that are given up before their member has answered."""

from lavendergate.core.sessions.statements import (
    AccessKind,
    Commit,
    Phase,
    RefusalCode,
    Refused,
    SessionAnswer,
)
from lavendergate.filters.sessions.base import SessionRequest


def unfinished_answer(request: SessionRequest) -> SessionAnswer:
    """Return what is true of a statement that was given up.

    A read keeps nothing, and a transaction whose commit was not sent is
    rolled back with its connection. A commit that has written, or a single
    write, may have taken effect.
    """
    session = request.session
    if isinstance(request.statement, Commit):
        transaction = session.transaction
        may_have_written = transaction is None or transaction.has_written
        phase = Phase.idle
    elif session.phase == Phase.idle:
        may_have_written = request.access == AccessKind.write
        phase = Phase.idle
    else:
        may_have_written = False
        phase = Phase.failed
    code = RefusalCode.unknown if may_have_written else RefusalCode.aborted
    return SessionAnswer(
        outcome=Refused(code=code, text='this host stops'), phase=phase
    )
