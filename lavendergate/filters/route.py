"""Selects the member for a statement and acquires a connection to it."""

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
    error_result,
)
from lavendergate.filters.member_runner import MemberRunner

_MS_PER_S = 1000
# Added to the time limit of a wait on a member, because its answer takes some
# time to arrive after the wait has ended.
_WAIT_ANSWER_MARGIN_S = 0.5
# How long a read waits at a member without share before it is routed anew.
_SHARE_RECHECK_S = 0.1
_READ_ONLY_ERROR = 1290
_PRIMARY_KINDS = frozenset((StatementKind.write, StatementKind.locking_read))


@dataclass(kw_only=True, slots=True)
class _ReadProgress:
    """State that is kept between the attempts of one read.

    Parameters
    ----------
    position
        Log position that the member must have applied; None if not known.
    is_read_index
        Whether `position` is the read index of the group: the last entry of
        the primary, obtained in a round that also confirmed its term by a
        majority.
    wait_failed
        Whether a wait on a member failed or timed out.
    """

    position: LogPosition | None
    is_read_index: bool = False
    wait_failed: bool = False


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
            return error_result(UnknownGroupError(schema=group_id or '(none)'))
        self._budgets.record_request(
            request.session.caller_id,
            group_id,
            percent=request.settings.retry_budget_percent,
        )
        if request.kind in _PRIMARY_KINDS:
            return await self._write(request, group_id, forward)
        return await self._read(request, group_id, forward)

    async def _write(
        self, request: StatementRequest, group_id: GroupId, forward: Forward
    ) -> StatementResult:
        if not request.session.token.has_room_for(group_id):
            return error_result(
                TokenLimitError(groups=GROUP_LIMIT + 1, limit=GROUP_LIMIT)
            )
        while True:
            acquired = await self._primaries.acquire(
                group_id,
                deadline=request.deadline,
                session_statements=request.session.session_statements,
            )
            if isinstance(acquired, Err):
                return error_result(acquired.err_value)
            primary = acquired.ok_value
            result = await self._runner.run(
                primary.pool, primary.connection, request, forward
            )
            if not _is_read_only_error(result):
                return result
            # The member is no longer the primary and refused the write, so
            # it is safe to send it to the next primary. These attempts are
            # not charged to the retry budget: each one waits for a newer
            # view, which bounds their number.
            if not await self._directory.wait_for_change(
                deadline=request.deadline
            ):
                return error_result(
                    NotRunError(reason='the primary was being replaced')
                )

    async def _read(
        self, request: StatementRequest, group_id: GroupId, forward: Forward
    ) -> StatementResult:
        token = request.token
        position = None if token is None else token.position(group_id)
        if token is not None and position is None:
            # A token lists all groups that the session wrote to, and this group
            # is not among them.
            position = LOG_START
        progress = _ReadProgress(position=position)
        while anyio.current_time() < request.deadline:
            view = self._directory.group(group_id)
            if view is None:
                return error_result(UnknownGroupError(schema=group_id))
            result = await self._attempt_read(request, view, progress, forward)
            if result is not None:
                return result
        return error_result(NotRunError(reason='no member answered in time'))

    async def _attempt_read(
        self,
        request: StatementRequest,
        view: GroupView,
        progress: _ReadProgress,
        forward: Forward,
    ) -> StatementResult | None:
        decision = self._decide(request, view, progress)
        match decision:
            case Refuse(error=error):
                return error_result(error)
            case ObtainReadIndex():
                return await self._obtain_read_index(request, view, progress)
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
        return await self._read_from(pool, decision, request, progress, forward)

    def _decide(
        self,
        request: StatementRequest,
        view: GroupView,
        progress: _ReadProgress,
    ) -> Decision:
        max_age_ms = request.hints.max_age_ms
        if max_age_ms is None:
            max_age_ms = request.settings.read_max_age_ms
        read_request: BoundedRead | SessionRead
        is_bounded = max_age_ms and request.token is None
        if is_bounded and not progress.is_read_index:
            read_request = BoundedRead(max_age_ms=max_age_ms)
        else:
            read_request = SessionRead(
                position=progress.position,
                has_waited=progress.wait_failed,
                is_read_index=progress.is_read_index,
            )
        return route(
            read_request,
            view,
            self._loads.by_member,
            anyio.current_time(),
            policy=RoutingPolicy(
                region=self._region,
                replica_wait_ms=request.settings.read_replica_wait_ms,
            ),
            known=self._directory.known_positions,
            without_share=self._pools.without_share(view.member_ids),
            tie_breaker=self._random_number(),
        )

    async def _obtain_read_index(
        self,
        request: StatementRequest,
        view: GroupView,
        progress: _ReadProgress,
    ) -> StatementResult | None:
        confirmed = await self._read_index(view.group_id).read(
            deadline=request.deadline
        )
        if confirmed is None:
            return error_result(
                NoPrimaryError(
                    group_id=view.group_id,
                    waited_ms=_elapsed_ms(request),
                )
            )
        progress.position = confirmed
        progress.is_read_index = True
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
        return error_result(error or no_primary)

    async def _read_from(
        self,
        pool: MemberPool,
        decision: Decision,
        request: StatementRequest,
        progress: _ReadProgress,
        forward: Forward,
    ) -> StatementResult | None:
        self._loads.record_read(pool.upstream_id)
        deadline = request.deadline
        if not pool.limit:
            # The first share that control grants may be at another member.
            recheck_at = anyio.current_time() + _SHARE_RECHECK_S
            deadline = min(deadline, recheck_at)
        try:
            connection = await pool.acquire(
                deadline=deadline,
                session_statements=request.session.session_statements,
            )
        except (MemberError, TimeoutError) as error:
            if pool.limit:
                # Without a share, the member was not even asked.
                self._loads.record_failure(pool.upstream_id)
            return await self._pause_before_retry(request, error)
        if isinstance(decision, WaitOnMember):
            if not await self._wait_for_position(pool, connection, decision):
                progress.wait_failed = True
                return None
        result = await self._runner.run(pool, connection, request, forward)
        if not _is_unknown(result):
            self._loads.record_answer(pool.upstream_id)
            return result
        self._loads.record_failure(pool.upstream_id)
        # Running a read twice is harmless.
        return None if self._may_retry(request) else result

    def _may_retry(self, request: StatementRequest) -> bool:
        group_id = request.session.group_id
        if group_id is None or anyio.current_time() >= request.deadline:
            return False
        return self._budgets.try_retry(request.session.caller_id, group_id)

    async def _wait_for_position(
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
            return error_result(NotRunError(reason=str(error)))
        await self._directory.wait_for_change(
            deadline=min(request.deadline, now + _RETRY_PAUSE_S)
        )
        return None


def _is_read_only_error(result: StatementResult) -> bool:
    if not isinstance(result, Err):
        return False
    error = result.err_value
    return (
        isinstance(error, UpstreamAnswerError)
        and error.code == _READ_ONLY_ERROR
    )


def _is_unknown(result: StatementResult) -> bool:
    if not isinstance(result, Err):
        return False
    return result.err_value.outcome is Outcome.unknown


def _elapsed_ms(request: StatementRequest) -> int:
    return int((anyio.current_time() - request.arrived_at) * _MS_PER_S)


_RETRY_PAUSE_S = 0.02
