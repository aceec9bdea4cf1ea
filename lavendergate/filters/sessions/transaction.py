"""Runs each transaction of a session on one connection."""

import anyio

from lavendergate.backends.sessions import AnswerLostError
from lavendergate.controllers.member_link import NotPreparedError, PooledSession
from lavendergate.controllers.members.turns import (
    NoConnectionError,
    NoTimeError,
)
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.routes import Consistency
from lavendergate.core.sessions.freshness import earliest_sample_time
from lavendergate.core.sessions.member_wait import (
    has_time_for_retry,
    member_wait_deadline,
)
from lavendergate.core.sessions.statements import (
    NOT_RUN_CODES,
    AccessKind,
    Begin,
    Commit,
    Completed,
    Execute,
    Phase,
    Read,
    RefusalCode,
    Refused,
    Rollback,
    SessionAnswer,
    Write,
)
from lavendergate.core.types import LogPosition, UpstreamId
from lavendergate.filters.sessions.base import (
    CallerSession,
    DataStatement,
    ForwardRequest,
    KeyWithdrawnError,
    SessionRequest,
    SessionTransaction,
    refusal_answer,
    success_answer,
)
from lavendergate.filters.sessions.member_selection import (
    MemberFilter,
    ReadPlan,
    ReadRequirements,
)

_RETRY_PAUSE_S = 0.03
_ROLLBACK_TIMEOUT_S = 0.5


class TransactionFilter(MemberFilter):
    """Runs the statements of open transactions and ends transactions."""

    async def handle(
        self, request: SessionRequest, forward: ForwardRequest
    ) -> SessionAnswer:
        """Answer the request, or forward it to the next filter."""
        transaction = request.session.transaction
        if transaction is None:
            return await forward(request)
        match request.statement:
            case Rollback():
                await self.end_transaction(request.session)
                request.session.phase = Phase.idle
                return success_answer(request)
            case Commit():
                return await self._commit(request, transaction)
            case Read() | Write() | Execute() as statement:
                return await self._run(request, transaction, statement)
            case _:
                return await forward(request)

    async def end_transaction(self, session: CallerSession) -> None:
        """Roll back an open transaction and release its connection."""
        transaction = session.transaction
        session.transaction = None
        if transaction is None or transaction.connection is None:
            return
        connection = transaction.connection
        transaction.connection = None
        with anyio.CancelScope(shield=True):
            await self._roll_back(connection, session)

    async def _roll_back(
        self, connection: PooledSession, session: CallerSession
    ) -> None:
        if not connection.is_broken and connection.phase != Phase.idle:
            try:
                await connection.run(
                    Rollback(),
                    state=session.state,
                    timeout_s=_ROLLBACK_TIMEOUT_S,
                )
            except (AnswerLostError, NoTimeError, NotPreparedError):
                # The connection is closed, which makes the member roll back.
                connection.is_broken = True
        await self._pools.release(connection)

    async def _fail_transaction(
        self, request: SessionRequest, code: RefusalCode, text: str
    ) -> SessionAnswer:
        """Roll back and refuse.

        The caller still has to end the transaction, too.
        """
        session = request.session
        await self.end_transaction(session)
        session.phase = Phase.failed
        return refusal_answer(request, code, text)

    async def _run(
        self,
        request: SessionRequest,
        transaction: SessionTransaction,
        statement: DataStatement,
    ) -> SessionAnswer:
        problem = await self._ensure_begun(request, transaction)
        if problem is not None:
            return await self._fail_transaction(
                request, problem.code, problem.text
            )
        while True:
            answer = await self._run_at_member(request, transaction, statement)
            if isinstance(answer.outcome, Completed):
                return SessionAnswer(
                    outcome=answer.outcome,
                    phase=request.session.phase,
                    rows=answer.rows,
                )
            refusal = answer.outcome
            can_retry = (
                refusal.code in NOT_RUN_CODES
                and refusal.code != RefusalCode.read_only
                and answer.phase == Phase.in_transaction
                and self._has_time_for_retry(request)
            )
            if not can_retry:
                code = _code_without_commit(refusal.code)
                return await self._fail_transaction(request, code, refusal.text)
            await anyio.sleep(_RETRY_PAUSE_S)

    async def _run_at_member(
        self,
        request: SessionRequest,
        transaction: SessionTransaction,
        statement: DataStatement,
    ) -> SessionAnswer:
        connection = transaction.connection
        no_answer = refusal_answer(
            request,
            RefusalCode.aborted,
            'the member did not answer; the transaction is rolled back',
        )
        if connection is None:
            return no_answer
        request.served_by = connection.link.entry.upstream_id
        if request.access == AccessKind.write:
            transaction.has_written = True
        try:
            return await connection.run(
                statement,
                state=request.session.state,
                timeout_s=request.deadline - self._monotonic(),
                request_id=request.request_id,
            )
        except (AnswerLostError, NoTimeError, NotPreparedError):
            return SessionAnswer(outcome=no_answer.outcome, phase=Phase.failed)
        finally:
            request.home = connection.session.home

    async def _commit(
        self, request: SessionRequest, transaction: SessionTransaction
    ) -> SessionAnswer:
        session = request.session
        problem = await self._ensure_begun(request, transaction)
        if problem is not None or transaction.connection is None:
            await self.end_transaction(session)
            session.phase = Phase.idle
            return refusal_answer(
                request,
                RefusalCode.aborted,
                'the transaction could not begin at a member; begin it again',
            )
        if transaction.has_written and not await self._selector.can_acknowledge(
            request
        ):
            await self.end_transaction(session)
            session.phase = Phase.idle
            return refusal_answer(
                request,
                RefusalCode.aborted,
                'the primary may be replaced at any moment; begin the '
                'transaction again in 500 ms',
            )
        member = transaction.connection.link.entry
        sent_at = self._positions.now()
        answer = await self._send_commit(request, transaction)
        await self.end_transaction(session)
        session.phase = Phase.idle
        if isinstance(answer.outcome, Completed) and transaction.has_written:
            answer = await self._selector.acknowledge_write(
                request, member, answer, sent_at
            )
        if isinstance(answer.outcome, Completed):
            return SessionAnswer(outcome=answer.outcome, rows=answer.rows)
        code = answer.outcome.code
        if not transaction.has_written:
            code = _code_without_commit(code)
        return refusal_answer(request, code, answer.outcome.text)

    async def _send_commit(
        self, request: SessionRequest, transaction: SessionTransaction
    ) -> SessionAnswer:
        connection = transaction.connection
        while connection is not None:
            try:
                answer = await connection.run(
                    Commit(),
                    state=request.session.state,
                    timeout_s=request.deadline - self._monotonic(),
                    request_id=request.request_id,
                )
            except (NoTimeError, NotPreparedError) as error:
                return refusal_answer(request, RefusalCode.aborted, str(error))
            except AnswerLostError:
                break
            can_retry = (
                isinstance(answer.outcome, Refused)
                and answer.outcome.code == RefusalCode.busy
                and answer.phase == Phase.in_transaction
                and self._has_time_for_retry(request)
            )
            if not can_retry:
                return answer
            await anyio.sleep(_RETRY_PAUSE_S)
        return refusal_answer(
            request,
            RefusalCode.unknown,
            'the member did not answer; the transaction may be committed',
        )

    async def _ensure_begun(
        self,
        request: SessionRequest,
        transaction: SessionTransaction,
    ) -> Refused | None:
        """Begin the transaction at a member; return a refusal on failure."""
        if transaction.connection is not None:
            return None
        last_refusal = Refused(
            code=RefusalCode.busy,
            text='no member can run the transaction; retry in 500 ms',
        )
        refusing: set[UpstreamId] = set()
        while self._monotonic() < request.deadline:
            request.attempts += 1
            selected = await self._select_member(request, transaction, refusing)
            if selected is None:
                return last_refusal
            member, plan = selected
            refusing.add(member.upstream_id)
            refusal = await self._begin(
                request,
                transaction,
                member,
                None if plan is None else plan.position,
            )
            if plan is not None:
                self._selector.record_lag(
                    transaction.route,
                    member,
                    plan,
                    None if refusal is None else refusal.code,
                )
            if refusal is None:
                return None
            last_refusal = refusal
            if not self._has_time_for_retry(
                request, wait_s=refusal.retry_after_s
            ):
                break
            await anyio.sleep(_RETRY_PAUSE_S)
        return last_refusal

    def _has_time_for_retry(
        self, request: SessionRequest, *, wait_s: float = 0
    ) -> bool:
        return has_time_for_retry(
            _RETRY_PAUSE_S,
            self._monotonic(),
            request.deadline,
            wait_s=wait_s,
        )

    async def _select_member(
        self,
        request: SessionRequest,
        transaction: SessionTransaction,
        refusing: set[UpstreamId],
    ) -> tuple[MemberEntry, ReadPlan | None] | None:
        """Return the member to begin at, with the plan of a read.

        Parameters
        ----------
        refusing
            Members that refused to begin. They are tried again after all the
            others refused, too.
        """
        route = transaction.route
        is_on_replica = (
            transaction.read_only and route.consistency != Consistency.primary
        )
        if not is_on_replica:
            primary = await self._selector.find_primary(
                route,
                request.arrived_at_monotonic,
                request.deadline,
                proved_at=earliest_sample_time(
                    route.consistency,
                    route.max_staleness_ms,
                    transaction.arrived_at,
                ),
            )
            return None if primary is None else (primary, None)
        plan = await self._selector.plan_read(
            ReadRequirements(
                route=route,
                arrived_at=transaction.arrived_at,
                arrived_at_monotonic=request.arrived_at_monotonic,
                deadline=request.deadline,
                own_position=request.session.own_position,
                own_written_at=request.session.own_written_at,
            )
        )
        if plan is None or not plan.members:
            return None
        request.position = plan.position
        request.position_asked_at = plan.asked_at
        untried = [
            member
            for member in plan.members
            if member.upstream_id not in refusing
        ]
        if not untried:
            refusing.clear()
        return (untried or plan.members)[0], plan

    async def _begin(
        self,
        request: SessionRequest,
        transaction: SessionTransaction,
        member: MemberEntry,
        position: LogPosition | None,
    ) -> Refused | None:
        session = request.session
        if not (transaction.read_only or position):
            held = await self._selector.hold_first_write(request)
            if held.refusal is not None:
                return held.refusal
        request.served_by = member.upstream_id
        give_up_at = member_wait_deadline(
            transaction.route, self._monotonic(), request.deadline
        )
        try:
            connection = await self._pools.acquire(
                member,
                session.values,
                give_up_at,
                context=request.context,
            )
        except NoConnectionError as error:
            return Refused(
                code=RefusalCode.busy,
                text=str(error),
                retry_after_s=error.refusal.retry_after_s,
            )
        try:
            request.check_key()
        except KeyWithdrawnError:
            await self._pools.release(connection)
            raise
        try:
            # All members but the primary refuse a read-write transaction, so
            # acceptance proves that the member is still the primary.
            answer = await connection.run(
                Begin(read_only=position is not None),
                state=session.state,
                timeout_s=request.deadline - self._monotonic(),
                after=position,
            )
        except (AnswerLostError, NoTimeError, NotPreparedError) as error:
            await self._pools.release(connection)
            return Refused(code=RefusalCode.busy, text=str(error))
        except BaseException:
            await self._pools.drop(connection)
            raise
        if isinstance(answer.outcome, Refused):
            if position is None:
                self._selector.record_if_read_only(member, answer)
            await self._roll_back(connection, session)
            return answer.outcome
        transaction.connection = connection
        return None


def _code_without_commit(code: RefusalCode) -> RefusalCode:
    """Return the refusal code for a transaction whose commit was not sent.

    The member rolls the transaction back even if some of its statements ran,
    so any code that does not already mean `not run` becomes `aborted`.
    """
    return code if code in NOT_RUN_CODES else RefusalCode.aborted
