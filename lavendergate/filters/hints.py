"""Parses the hints of a statement."""

from collections.abc import Callable

from result import Err, Result

from lavendergate.core.errors import StatementError
from lavendergate.core.hints import parse_hints
from lavendergate.core.settings.resolution import EffectiveSettings
from lavendergate.core.tokens import SessionToken
from lavendergate.filters.base import (
    Filter,
    Forward,
    SessionState,
    StatementRequest,
    StatementResult,
    error_result,
)

_MS_PER_S = 1000


class HintsFilter(Filter):
    """Parses hints, verifies the token and sets the deadline.

    Parameters
    ----------
    verify
        Verifies an encoded token and decodes it.
    settings
        Returns the settings that apply to a session.
    """

    def __init__(
        self,
        *,
        verify: Callable[[str], Result[SessionToken, StatementError]],
        settings: Callable[[SessionState], EffectiveSettings],
    ) -> None:
        self._verify = verify
        self._settings = settings

    async def handle(
        self, request: StatementRequest, forward: Forward
    ) -> StatementResult:
        """Set the hints, settings, deadline and token of the request."""
        parsed = parse_hints(request.sql, request.attributes)
        if isinstance(parsed, Err):
            return error_result(parsed.err_value)
        hints, sql = parsed.ok_value
        request.hints = hints
        request.sql = sql
        request.settings = self._settings(request.session)
        deadline_ms = request.hints.deadline_ms
        if deadline_ms is None:
            deadline_ms = request.settings.statement_deadline_ms
        request.deadline = request.arrived_at + deadline_ms / _MS_PER_S
        if request.hints.token is not None:
            merged = self._verify(request.hints.token).and_then(
                request.session.token.merge
            )
            if isinstance(merged, Err):
                return error_result(merged.err_value)
            request.token = merged.ok_value
        return await forward(request)
