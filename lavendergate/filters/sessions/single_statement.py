"""Runs statements outside of transactions."""

import anyio

from lavendergate.backends.sessions import AnswerLostError
from lavendergate.controllers.member_link import NotPreparedError, PooledSession
from lavendergate.controllers.members.turns import (
    NoConnectionError,
    NoTimeError,
)
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.sessions.lag_backoff import LagBackoff
from lavendergate.core.sessions.member_wait import (
    has_time_for_retry,
    member_wait_deadline,
)
from lavendergate.core.sessions.statements import (
    NOT_RUN_CODES,
    AccessKind,
    Completed,
    Execute,
    Read,
    RefusalCode,
    Refused,
    SessionAnswer,
    Write,
)
from lavendergate.core.types import LogPosition
from lavendergate.filters.sessions.base import (
    DataStatement,
    ForwardRequest,
    KeyWithdrawnError,
    SessionRequest,
    refusal_answer,
)
from lavendergate.filters.sessions.member_selection import (
    MemberFilter,
    ReadPlan,
    ReadRequirements,
)

# Pauses before a statement that did not run is retried, in seconds.
_FIRST_PAUSE_S = 0.02
_LONGEST_PAUSE_S = 0.16
# Fraction of the remaining time that one attempt of a read may take, so that
# time is left to try another member.
_READ_ATTEMPT_SHARE = 0.6

_RETRY_ADVICE = 'retry in 500 ms'
# Reads that failed at one member may succeed at another.
_READ_RETRY_CODES = NOT_RUN_CODES | {RefusalCode.failed, RefusalCode.timeout}


class SingleStatementFilter(MemberFilter):
    """Runs reads and writes, and retries those that provably did not run.

    Reads are also retried if they failed or were not answered.
    """

    async def handle(
        self, request: SessionRequest, forward: ForwardRequest
    ) -> SessionAnswer:
        """Answer the request, or forward it to the next filter."""
        if request.session.transaction is not None:
            return await forward(request)
        match request.statement:
            case Read() | Write() | Execute() as statement:
                if request.access == AccessKind.read:
                    return await self._read(request, statement)
                return await self._write(request, statement)
            case _:
                return await forward(request)

    async def _read(
        self, request: SessionRequest, statement: DataStatement
    ) -> SessionAnswer:
        last_answer = refusal_answer(
            request,
            RefusalCode.lagging,
            f'no member is known to be recent enough; {_RETRY_ADVICE}',
        )
        requirements = ReadRequirements(
            route=request.known_route,
            arrived_at=request.arrived_at,
            arrived_at_monotonic=request.arrived_at_monotonic,
            deadline=request.deadline,
            own_position=request.session.own_position,
            own_written_at=request.session.own_written_at,
        )
        pause_s = _FIRST_PAUSE_S
        backoff = LagBackoff()
        while self._monotonic() < request.deadline:
            plan = await self._selector.plan_read(requirements)
            if plan is None or not plan.members:
                return last_answer
            request.position = plan.position
            request.position_asked_at = plan.asked_at
            waits_s = []
            members = self._members_to_ask(plan, backoff)
            for member in members:
                request.attempts += 1
                answer = await self._try_read(
                    request,
                    statement,
                    member,
                    plan.position,
                    is_only=len(members) == 1,
                )
                self._record_lag(request, plan, member, answer, backoff)
                if not _may_retry_on_other_member(answer):
                    return answer
                last_answer = answer
                waits_s.append(_predicted_wait_s(answer))
                if self._monotonic() >= request.deadline:
                    return last_answer
            if not self._has_time_for_retry(
                request, pause_s, min(waits_s, default=0)
            ):
                return last_answer
            await anyio.sleep(pause_s)
            pause_s = min(2 * pause_s, _LONGEST_PAUSE_S)
        return last_answer

    def _members_to_ask(
        self, plan: ReadPlan, backoff: LagBackoff
    ) -> tuple[MemberEntry, ...]:
        """Return the members of a plan that may have the position."""
        now = self._monotonic()
        return tuple(
            member
            for member in plan.members
            if backoff.may_ask(member.upstream_id, now)
        )

    def _record_lag(
        self,
        request: SessionRequest,
        plan: ReadPlan,
        member: MemberEntry,
        answer: SessionAnswer,
        backoff: LagBackoff,
    ) -> None:
        outcome = answer.outcome
        code = outcome.code if isinstance(outcome, Refused) else None
        self._selector.record_lag(request.known_route, member, plan, code)
        if code == RefusalCode.lagging:
            backoff.record(member.upstream_id, self._monotonic())

    def _has_time_for_retry(
        self, request: SessionRequest, pause_s: float, wait_s: float
    ) -> bool:
        return has_time_for_retry(
            pause_s, self._monotonic(), request.deadline, wait_s=wait_s
        )

    async def _try_read(
        self,
        request: SessionRequest,
        statement: DataStatement,
        member: MemberEntry,
        position: LogPosition,
        *,
        is_only: bool,
    ) -> SessionAnswer:
        remaining_s = request.deadline - self._monotonic()
        # Giving up early would only lose the place in the queue of the one
        # member that can serve the read.
        attempt_s = remaining_s * (1 if is_only else _READ_ATTEMPT_SHARE)
        try:
            connection = await self._connect(request, member)
        except NoConnectionError as error:
            return _not_sent_answer(request, error)
        sent_at = self._positions.now()
        try:
            answer = await connection.run(
                statement,
                state=request.session.state,
                timeout_s=attempt_s,
                request_id=request.request_id,
                after=position,
            )
        except AnswerLostError:
            return refusal_answer(
                request, RefusalCode.timeout, 'the member did not answer'
            )
        except NoTimeError as error:
            return _not_sent_answer(request, error)
        except NotPreparedError as error:
            return refusal_answer(request, RefusalCode.busy, str(error))
        finally:
            request.home = connection.session.home
            await self._pools.release(connection)
        self._forget_rolled_back_position(request, answer, member)
        if isinstance(answer.outcome, Completed):
            self._selector.record_read(request, member, answer, sent_at)
        return _answer_for_caller(request, answer)

    async def _write(
        self, request: SessionRequest, statement: DataStatement
    ) -> SessionAnswer:
        last_answer = refusal_answer(
            request,
            RefusalCode.busy,
            f'the service has no usable primary; {_RETRY_ADVICE}',
        )
        route = request.known_route
        pause_s = _FIRST_PAUSE_S
        while self._monotonic() < request.deadline:
            request.attempts += 1
            primary = await self._selector.find_primary(
                route,
                request.arrived_at_monotonic,
                request.deadline,
                proved_at=self._selector.proof_time_for_write(
                    route, request.arrived_at
                ),
            )
            if primary is None:
                return last_answer
            if not await self._selector.can_acknowledge(request):
                return last_answer
            held = await self._selector.hold_first_write(request)
            if held.refusal is not None:
                return SessionAnswer(
                    outcome=held.refusal, phase=request.session.phase
                )
            if held.held_s:
                # The primary or its lease may be another one by now.
                continue
            answer = await self._try_write(request, statement, primary)
            if not _did_not_run(answer):
                return answer
            last_answer = answer
            if not self._has_time_for_retry(
                request, pause_s, _predicted_wait_s(answer)
            ):
                return last_answer
            await anyio.sleep(pause_s)
            pause_s = min(2 * pause_s, _LONGEST_PAUSE_S)
        return last_answer

    async def _try_write(
        self,
        request: SessionRequest,
        statement: DataStatement,
        primary: MemberEntry,
    ) -> SessionAnswer:
        try:
            connection = await self._connect(request, primary)
        except NoConnectionError as error:
            return _not_sent_answer(request, error)
        sent_at = self._positions.now()
        remaining_s = request.deadline - self._monotonic()
        try:
            answer = await connection.run(
                statement,
                state=request.session.state,
                timeout_s=remaining_s,
                request_id=request.request_id,
            )
        except AnswerLostError:
            return refusal_answer(
                request,
                RefusalCode.unknown,
                'the member did not answer; the write may have run',
            )
        except NoTimeError as error:
            return _not_sent_answer(request, error)
        except NotPreparedError as error:
            return refusal_answer(request, RefusalCode.busy, str(error))
        finally:
            request.home = connection.session.home
            await self._pools.release(connection)
        self._selector.record_if_read_only(primary, answer)
        if isinstance(answer.outcome, Completed):
            answer = await self._selector.acknowledge_write(
                request, primary, answer, sent_at
            )
        return _answer_for_caller(request, answer)

    async def _connect(
        self,
        request: SessionRequest,
        member: MemberEntry,
    ) -> PooledSession:
        request.served_by = member.upstream_id
        give_up_at = member_wait_deadline(
            request.known_route, self._monotonic(), request.deadline
        )
        connection = await self._pools.acquire(
            member,
            request.session.values,
            give_up_at,
            context=request.context,
        )
        try:
            request.check_key()
        except KeyWithdrawnError:
            await self._pools.release(connection)
            raise
        return connection

    def _forget_rolled_back_position(
        self,
        request: SessionRequest,
        answer: SessionAnswer,
        member: MemberEntry,
    ) -> None:
        outcome = answer.outcome
        if not isinstance(outcome, Refused):
            return
        if outcome.code == RefusalCode.lagging and member.is_primary:
            # A promotion rolled the position back; no member will reach it.
            service = request.known_route.service
            self._positions.forget_beyond(service, answer.position)


def _not_sent_answer(
    request: SessionRequest, error: NoConnectionError
) -> SessionAnswer:
    outcome = Refused(
        code=RefusalCode.busy,
        text=str(error),
        retry_after_s=error.refusal.retry_after_s,
    )
    return SessionAnswer(outcome=outcome, phase=request.session.phase)


def _predicted_wait_s(answer: SessionAnswer) -> float:
    """Return how long a repeated statement would wait; 0 if unknown."""
    outcome = answer.outcome
    return outcome.retry_after_s if isinstance(outcome, Refused) else 0


def _answer_for_caller(
    request: SessionRequest, answer: SessionAnswer
) -> SessionAnswer:
    return SessionAnswer(
        outcome=answer.outcome,
        phase=request.session.phase,
        rows=answer.rows if isinstance(answer.outcome, Completed) else (),
    )


def _may_retry_on_other_member(answer: SessionAnswer) -> bool:
    outcome = answer.outcome
    return isinstance(outcome, Refused) and outcome.code in _READ_RETRY_CODES


def _did_not_run(answer: SessionAnswer) -> bool:
    outcome = answer.outcome
    return isinstance(outcome, Refused) and outcome.code in NOT_RUN_CODES
