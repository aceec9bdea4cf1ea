"""Selects the member for a statement and lends it a connection."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
from result import Err

from lavendergate.backends.base import MemberError, UpstreamConnection
from lavendergate.controllers.confirmation import wait_for_position
from lavendergate.controllers.connections import (
    ConnectionPools,
    MemberPool,
)
from lavendergate.controllers.directory import Directory
from lavendergate.controllers.loads import MemberLoads
from lavendergate.controllers.primary import PrimaryConnector
from lavendergate.controllers.read_index import GroupReadIndex
from lavendergate.controllers.retry_budgets import RetryBudgets
from lavendergate.core.classification import StatementKind
from lavendergate.core.decisions import (
    BoundedRead,
    Decision,
    ObtainReadIndex,
    Refuse,
    SessionRead,
    UseMember,
    UsePrimary,
    WaitForPrimary,
    WaitOnMember,
)
from lavendergate.core.errors import (
    NoPrimaryError,
    NotRunError,
    Outcome,
    StatementError,
    TokenLimitError,
    UnknownGroupError,
)
from lavendergate.core.member_load import RoutingPolicy
from lavendergate.core.routing import route
from lavendergate.core.tokens import GROUP_LIMIT
from lavendergate.core.types import (
    LOG_START,
    GroupId,
    GroupView,
    LogPosition,
    Region,
)
from lavendergate.filters.base import (
    Filter,
    Forward,
    StatementRequest,
    StatementResult,
    UpstreamAnswerError,
    failed,
)
from lavendergate.filters.member_runner import MemberRunner

_MS_PER_S = 1000
# A member needs some time for the answer after a wait ended.
_WAIT_ANSWER_MARGIN_S = 0.5
_READ_ONLY = 1290
_ON_PRIMARY = frozenset((StatementKind.write, StatementKind.locking_read))


@dataclass(kw_only=True, slots=True)
class _ReadAttempt:
    """What earlier attempts of one read have found out."""

    position: LogPosition | None
    is_read_index: bool = False
    has_waited: bool = False


class RouteFilter(Filter):
    """Routes reads to replicas where allowed and writes to the primary.

    Parameters
    ----------
    region
        Region of this proxy.
    read_index
        Returns the read index of a group.
    random_number
        Returns a number from 0 to 1.
    """

    def __init__(
        self,
        *,
        region: Region,
        directory: Directory,
        pools: ConnectionPools,
        primaries: PrimaryConnector,
        loads: MemberLoads,
        budgets: RetryBudgets,
        read_index: Callable[[GroupId], GroupReadIndex],
        random_number: Callable[[], float],
    ) -> None:
        self._region = region
        self._directory = directory
        self._pools = pools
        self._primaries = primaries
        self._loads = loads
        self._runner = MemberRunner(loads=loads)
        self._budgets = budgets
        self._read_index = read_index
        self._random_number = random_number

    async def handle(
        self, request: StatementRequest, forward: Forward
    ) -> StatementResult:
        """Run the statement on a suitable member."""
        group_id = request.session.group_id
        if group_id is None or self._directory.group(group_id) is None:
            return failed(UnknownGroupError(schema=group_id or '(none)'))
        self._budgets.record_request(
            request.session.caller_id,
            group_id,
            percent=request.settings.retry_budget_percent,
        )
        if request.kind in _ON_PRIMARY:
            return await self._write(request, group_id, forward)
        return await self._read(request, group_id, forward)

    async def _write(
        self, request: StatementRequest, group_id: GroupId, forward: Forward
    ) -> StatementResult:
        if not request.session.token.has_room_for(group_id):
            return failed(
                TokenLimitError(groups=GROUP_LIMIT + 1, limit=GROUP_LIMIT)
            )
        while True:
            acquired = await self._primaries.acquire(
                group_id,
                deadline=request.deadline,
                session_statements=request.session.session_statements,
            )
            if isinstance(acquired, Err):
                return failed(acquired.err_value)
            primary = acquired.ok_value
            outcome = await self._runner.run(
                primary.pool, primary.connection, request, forward
            )
            if not _is_read_only(outcome):
                return outcome
            # The member is no longer the primary and has refused the
            # write, so that it may be sent to the next primary. Waiting for
            # a newer view bounds these attempts without the retry budget.
            if not await self._directory.wait_for_change(
                deadline=request.deadline
            ):
                return failed(
                    NotRunError(reason='the primary was being replaced')
                )

    async def _read(
        self, request: StatementRequest, group_id: GroupId, forward: Forward
    ) -> StatementResult:
        token = request.token
        position = None if token is None else token.position(group_id)
        if token is not None and position is None:
            # The token is complete: the session wrote nothing in this group.
            position = LOG_START
        attempt = _ReadAttempt(position=position)
        while anyio.current_time() < request.deadline:
            view = self._directory.group(group_id)
            if view is None:
                return failed(UnknownGroupError(schema=group_id))
            outcome = await self._attempt(request, view, attempt, forward)
            if outcome is not None:
                return outcome
        return failed(NotRunError(reason='no member answered in time'))

    async def _attempt(
        self,
        request: StatementRequest,
        view: GroupView,
        attempt: _ReadAttempt,
        forward: Forward,
    ) -> StatementResult | None:
        decision = self._decide(request, view, attempt)
        match decision:
            case Refuse(error=error):
                return failed(error)
            case ObtainReadIndex():
                return await self._confirm(request, view, attempt)
            case WaitForPrimary(error=error):
                return await self._wait_for_primary(request, view, error)
            case WaitOnMember(upstream_id=upstream_id):
                pool = self._pools.get(upstream_id)
            case UseMember(upstream_id=upstream_id):
                pool = self._pools.get(upstream_id)
            case UsePrimary(upstream_id=upstream_id):
                pool = self._pools.get(upstream_id)
        if pool is None:
            await self._directory.wait_for_change(deadline=request.deadline)
            return None
        return await self._read_from(pool, decision, request, attempt, forward)

    def _decide(
        self,
        request: StatementRequest,
        view: GroupView,
        attempt: _ReadAttempt,
    ) -> Decision:
        max_age_ms = request.hints.max_age_ms
        if max_age_ms is None:
            max_age_ms = request.settings.read_max_age_ms
        wanted: BoundedRead | SessionRead
        is_bounded = max_age_ms and request.token is None
        if is_bounded and not attempt.is_read_index:
            wanted = BoundedRead(max_age_ms=max_age_ms)
        else:
            wanted = SessionRead(
                position=attempt.position,
                has_waited=attempt.has_waited,
                is_read_index=attempt.is_read_index,
            )
        return route(
            wanted,
            view,
            self._loads.by_member,
            anyio.current_time(),
            policy=RoutingPolicy(
                region=self._region,
                replica_wait_ms=request.settings.read_replica_wait_ms,
            ),
            known=self._directory.known_positions,
            tie_breaker=self._random_number(),
        )

    async def _confirm(
        self,
        request: StatementRequest,
        view: GroupView,
        attempt: _ReadAttempt,
    ) -> StatementResult | None:
        confirmed = await self._read_index(view.group_id).read(
            deadline=request.deadline
        )
        if confirmed is None:
            return failed(
                NoPrimaryError(
                    group_id=view.group_id,
                    waited_ms=_elapsed_ms(request),
                )
            )
        attempt.position = confirmed
        attempt.is_read_index = True
        return None

    async def _wait_for_primary(
        self,
        request: StatementRequest,
        view: GroupView,
        error: StatementError | None,
    ) -> StatementResult | None:
        has_changed = await self._directory.wait_for_change(
            deadline=request.deadline
        )
        if has_changed:
            return None
        no_primary = NoPrimaryError(
            group_id=view.group_id, waited_ms=_elapsed_ms(request)
        )
        return failed(error or no_primary)

    async def _read_from(
        self,
        pool: MemberPool,
        decision: Decision,
        request: StatementRequest,
        attempt: _ReadAttempt,
        forward: Forward,
    ) -> StatementResult | None:
        try:
            connection = await pool.acquire(
                deadline=request.deadline,
                session_statements=request.session.session_statements,
            )
        except (MemberError, TimeoutError) as error:
            self._loads.record_failure(pool.upstream_id)
            return await self._pause_before_retry(request, error)
        if isinstance(decision, WaitOnMember):
            if not await self._wait(pool, connection, decision):
                attempt.has_waited = True
                return None
        outcome = await self._runner.run(pool, connection, request, forward)
        if _is_unknown(outcome) and self._may_retry(request):
            # A read may run twice without harm.
            self._loads.record_failure(pool.upstream_id)
            return None
        return outcome

    def _may_retry(self, request: StatementRequest) -> bool:
        group_id = request.session.group_id
        if group_id is None or anyio.current_time() >= request.deadline:
            return False
        return self._budgets.try_retry(request.session.caller_id, group_id)

    async def _wait(
        self,
        pool: MemberPool,
        connection: UpstreamConnection,
        decision: WaitOnMember,
    ) -> bool:
        is_held = False
        timeout_s = decision.timeout_ms / _MS_PER_S + _WAIT_ANSWER_MARGIN_S
        try:
            with anyio.fail_after(timeout_s):
                answer = await wait_for_position(
                    connection, decision.position, decision.timeout_ms
                )
            self._directory.record_position(pool.upstream_id, answer.last_entry)
            is_held = answer.is_held
        except (MemberError, TimeoutError):
            self._loads.record_failure(pool.upstream_id)
        finally:
            if not is_held:
                pool.release(connection)
        return is_held

    async def _pause_before_retry(
        self, request: StatementRequest, error: Exception
    ) -> StatementResult | None:
        now = anyio.current_time()
        if now >= request.deadline:
            return failed(NotRunError(reason=str(error)))
        await self._directory.wait_for_change(
            deadline=min(request.deadline, now + _RETRY_PAUSE_S)
        )
        return None


def _is_read_only(outcome: StatementResult) -> bool:
    if not isinstance(outcome, Err):
        return False
    error = outcome.err_value
    return isinstance(error, UpstreamAnswerError) and error.code == _READ_ONLY


def _is_unknown(outcome: StatementResult) -> bool:
    if not isinstance(outcome, Err):
        return False
    return outcome.err_value.outcome is Outcome.unknown


def _elapsed_ms(request: StatementRequest) -> int:
    return int((anyio.current_time() - request.arrived_at) * _MS_PER_S)


_RETRY_PAUSE_S = 0.02
