"""Looks up the outcome of a request, for ``@@lavendergate_outcome``."""

from collections.abc import Callable

from result import Err, Ok, Result

from lavendergate.controllers.confirmation import GroupConfirmer
from lavendergate.controllers.primary import PrimaryConnector
from lavendergate.core.errors import (
    HintError,
    Outcome,
    UnknownGroupError,
    UnknownOutcomeError,
)
from lavendergate.core.types import GroupId
from lavendergate.filters.at_most_once import AtMostOnce
from lavendergate.filters.base import StatementFailure, StatementRequest

NOT_RECORDED = 'not recorded'


class OutcomeReader:
    """Reads the record of a request id and has it confirmed by a majority.

    A missing record does not prove that the request did not run: its
    transaction may still be open. Sending the request again with the same
    id is always safe.
    """

    def __init__(
        self,
        *,
        primaries: PrimaryConnector,
        at_most_once: AtMostOnce,
        confirmer: Callable[[GroupId], GroupConfirmer],
    ) -> None:
        self._primaries = primaries
        self._at_most_once = at_most_once
        self._confirmer = confirmer

    async def read(
        self, request: StatementRequest
    ) -> Result[str, StatementFailure]:
        """Return ``done`` or ``not recorded``, confirmed by a majority."""
        if request.hints.request_id is None:
            return Err(
                HintError(
                    key='request_id',
                    quoted_value='(none)',
                    expected='the id of the request whose outcome is asked for',
                )
            )
        group_id = request.session.group_id
        if group_id is None:
            return Err(UnknownGroupError(schema='(none selected)'))
        acquired = await self._primaries.acquire(
            group_id, deadline=request.deadline
        )
        if isinstance(acquired, Err):
            return acquired
        primary = acquired.ok_value
        request.member = primary.pool.upstream_id
        try:
            found = await self._at_most_once.find_and_rewrite_record(
                request, primary.connection
            )
        finally:
            primary.release()
        if isinstance(found, Err):
            return found
        if not found.ok_value:
            return Ok(NOT_RECORDED)
        if not await self._is_confirmed(request, group_id):
            reason = 'no majority confirmed the record before the deadline'
            return Err(UnknownOutcomeError(reason=reason))
        return Ok(Outcome.done.value)

    async def _is_confirmed(
        self, request: StatementRequest, group_id: GroupId
    ) -> bool:
        written = request.written
        if written is None:
            return False
        return await self._confirmer(group_id).confirm(
            writer=written.writer,
            position=written.position,
            deadline=request.deadline,
        )
