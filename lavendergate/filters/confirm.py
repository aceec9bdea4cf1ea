"""Delays the answer to a write until a majority has confirmed the write."""

from collections.abc import Callable

from result import Err

from lavendergate.controllers.confirmation import GroupConfirmer
from lavendergate.core.errors import UnknownOutcomeError
from lavendergate.core.types import GroupId
from lavendergate.filters.base import (
    Filter,
    Forward,
    StatementRequest,
    StatementResult,
    error_result,
)


class ConfirmFilter(Filter):
    """Confirms writes and advances the session token.

    Parameters
    ----------
    confirmer
        Returns the confirmer of a group.
    """

    def __init__(
        self, *, confirmer: Callable[[GroupId], GroupConfirmer]
    ) -> None:
        self._confirmer = confirmer

    async def handle(
        self, request: StatementRequest, forward: Forward
    ) -> StatementResult:
        """Forward the request, then wait until its write is confirmed."""
        result = await forward(request)
        written = request.written
        if written is None or result.is_err():
            return result
        is_confirmed = await self._confirmer(written.group_id).confirm(
            writer=written.writer,
            position=written.position,
            deadline=request.deadline,
        )
        if not is_confirmed:
            return error_result(
                UnknownOutcomeError(
                    reason=(
                        'no majority confirmed the write at position '
                        f'{written.position.position} of term '
                        f'{written.position.term} before the deadline'
                    )
                )
            )
        advanced = request.session.token.advance(
            written.group_id, written.position
        )
        if isinstance(advanced, Err):
            return error_result(advanced.err_value)
        request.session.token = advanced.ok_value
        return result
