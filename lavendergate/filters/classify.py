"""Classifies a statement and refuses what the proxy does not support."""

from lavendergate.core.classification import StatementKind, classify
from lavendergate.core.errors import (
    RefusedStatementError,
    UnknownGroupError,
    quoted,
)
from lavendergate.core.session_state import refusal_advice
from lavendergate.filters.base import (
    Filter,
    Forward,
    StatementRequest,
    StatementResult,
    error_result,
)

_PINNED_ADVICE = (
    'begin a transaction first: the statement depends on the state of one '
    'upstream connection'
)
_KINDS_REQUIRING_GROUP = frozenset(
    (
        StatementKind.read,
        StatementKind.locking_read,
        StatementKind.write,
        StatementKind.pinned,
        StatementKind.begin,
    )
)


class ClassifyFilter(Filter):
    """Sets the kind of the statement, or refuses an unsupported one."""

    async def handle(
        self, request: StatementRequest, forward: Forward
    ) -> StatementResult:
        """Classify the statement and forward it if it is supported."""
        kind = classify(request.sql)
        request.kind = kind
        if kind is StatementKind.refused:
            advice = refusal_advice(request.sql)
            return error_result(_refusal(request.sql, advice))
        session = request.session
        if kind is StatementKind.pinned and session.transaction is None:
            return error_result(_refusal(request.sql, _PINNED_ADVICE))
        if kind in _KINDS_REQUIRING_GROUP and session.group_id is None:
            return error_result(UnknownGroupError(schema='(none selected)'))
        return await forward(request)


def _refusal(sql: str, advice: str) -> RefusedStatementError:
    return RefusedStatementError(statement=quoted(sql), advice=advice)
