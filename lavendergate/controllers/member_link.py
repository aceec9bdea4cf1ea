"""Connections to one member, and the health derived from their answers."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import anyio

from lavendergate.backends.sessions import (
    AnswerLostError,
    HomeLostError,
    MemberSession,
    MemberUnreachableError,
)
from lavendergate.controllers.members.pace import LinkPace
from lavendergate.controllers.members.turns import MemberTurns, NoTimeError
from lavendergate.controllers.waiters import OrderedWait
from lavendergate.core.customers.table import CustomerName
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.leases.running_span import RunningSpan
from lavendergate.core.pace.member_pace import PaceReason
from lavendergate.core.service_order.queue import ServiceQueue
from lavendergate.core.sessions.context import (
    SYSTEM_CONTEXT,
    StatementContext,
)
from lavendergate.core.sessions.state import ConnectionState, SessionState
from lavendergate.core.sessions.statements import (
    Execute,
    MemberReport,
    Phase,
    Read,
    RefusalCode,
    Refused,
    ReportStatus,
    SessionAnswer,
    Statement,
)
from lavendergate.core.types import LogPosition
from lavendergate.observability.exposition import HttpMetrics
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent

# Least remaining time with which a statement is sent, in seconds; with less,
# no statement completes.
_MIN_STATEMENT_TIME_S = 0.02
# Shortest timeout whose expiry makes the member suspected, in seconds. With a
# shorter one, a missing answer says nothing about the member.
_SUSPICION_TIMEOUT_S = 0.3
# Weight of the latest answer in the smoothed latency.
_LATENCY_WEIGHT = 0.2
# Latency assumed before the first answer, in seconds.
_INITIAL_LATENCY_S = 0.03
_MS_PER_S = 1000


class NotPreparedError(Exception):
    """The session state could not be applied; the statement did not run."""


@dataclass(kw_only=True, slots=True, eq=False)
class PooledSession:
    """A connection and the session state on it.

    Parameters
    ----------
    applied
        What sessions have set and prepared on the connection.
    is_broken
        Whether an answer is outstanding or was lost; a connection that is
        released in this state is not used again.
    opened_at, used_at
        When it was open, and time of the last release, on the clock of the
        pools, in seconds.
    member_running_since
        Time since when the member had run without a break at its last report,
        on the clock of the pools, in seconds; infinity if unknown.
    holds_turn
        Whether its next statement may be sent without waiting. A transaction
        gives its turn back between its statements.
    customer
        Customer for which the connection was opened; None for statements
        without one.
    context
        Customer and priorities of the statements that it is used for.
    """

    session: MemberSession
    link: 'MemberLink'
    applied: ConnectionState = field(default_factory=ConnectionState)
    phase: Phase = Phase.idle
    is_broken: bool = False
    opened_at: float = float('inf')
    used_at: float = 0
    member_running_since: float = float('inf')
    holds_turn: bool = False
    customer: CustomerName | None = None
    context: StatementContext = SYSTEM_CONTEXT

    def use_for(self, context: StatementContext) -> None:
        """Run the next statements for a caller."""
        self.context = context
        self.session.use_for(context)

    @property
    def is_relayed(self) -> bool:
        """Whether a home runs the statements."""
        return self.session.is_relayed

    @property
    def values(self) -> Mapping[str, str]:
        """Session values that are set on the connection."""
        return self.applied.values

    async def run(
        self,
        statement: Statement,
        *,
        state: SessionState,
        timeout_s: float,
        request_id: str | None = None,
        after: LogPosition | None = None,
    ) -> SessionAnswer:
        """Run a statement of a session and record its outcome.

        All statements of sessions pass here, so that each runs with the
        session's values, also the one that ends a transaction.

        Parameters
        ----------
        state
            State of the session, which is applied first.
        timeout_s
            Time limit of the statement and of what is applied before it,
            together, in seconds.

        Raises
        ------
        NotPreparedError
            If the state could not be applied; the statement was not sent.
        AnswerLostError
            If no complete answer arrived in time.
        NoTimeError
            If too little time was left; the statement was not sent.
        """
        deadline = self.link.now() + timeout_s
        await self._apply(state, statement, deadline)
        return await self._take_turn_and_run(
            state.with_shared_name(statement),
            timeout_s=deadline - self.link.now(),
            request_id=request_id,
            after=after,
        )

    async def _apply(
        self, state: SessionState, statement: Statement, deadline: float
    ) -> None:
        step = self.applied.next_step(state, statement)
        while step is not None:
            timeout_s = deadline - self.link.now()
            try:
                answer = await self._take_turn_and_run(
                    step, timeout_s=timeout_s
                )
            except AnswerLostError as error:
                raise NotPreparedError(str(error)) from error
            if isinstance(answer.outcome, Refused):
                # What is set on the connection is uncertain now.
                self.is_broken = True
                raise NotPreparedError(answer.outcome.text)
            self.applied.record(step)
            step = self.applied.next_step(state, statement)

    async def _take_turn_and_run(
        self,
        statement: Statement,
        *,
        timeout_s: float,
        request_id: str | None = None,
        after: LogPosition | None = None,
    ) -> SessionAnswer:
        if timeout_s < _MIN_STATEMENT_TIME_S:
            raise NoTimeError
        link = self.link
        deadline = link.now() + timeout_s
        if not self.holds_turn:
            await link.take_turn(
                is_new=False,
                deadline=deadline - _MIN_STATEMENT_TIME_S,
                context=self.context,
            )
            self.holds_turn = True
        try:
            return await self._run(
                statement,
                deadline - link.now(),
                request_id=request_id,
                after=after,
            )
        finally:
            if self.phase != Phase.idle:
                self.end_turn()

    def end_turn(self) -> None:
        """Let another statement run at the member."""
        if self.holds_turn:
            self.holds_turn = False
            self.link.end_turn()

    async def _run(
        self,
        statement: Statement,
        timeout_s: float,
        *,
        request_id: str | None,
        after: LogPosition | None,
    ) -> SessionAnswer:
        link = self.link
        started_at = link.begin_statement()
        self.is_broken = True
        try:
            with anyio.fail_after(timeout_s):
                answer = await self.session.run(
                    statement, request_id=request_id, after=after
                )
        except TimeoutError as error:
            # A statement that had little time left says nothing about the
            # health of the member.
            if timeout_s >= _SUSPICION_TIMEOUT_S and not (
                self.session.is_relayed
            ):
                link.record_failure(f'no answer within {timeout_s:.2f} s')
            raise AnswerLostError('no answer in time') from error
        except AnswerLostError as error:
            if not isinstance(error, HomeLostError):
                link.record_failure(str(error))
            raise
        except MemberUnreachableError as error:
            return SessionAnswer(
                outcome=Refused(code=RefusalCode.busy, text=str(error)),
                phase=self.phase,
            )
        finally:
            link.end_statement()
        self.is_broken = False
        self.phase = answer.phase
        outcome = answer.outcome
        if isinstance(outcome, Refused):
            if outcome.code == RefusalCode.no_statement:
                self.applied.prepared.clear()
        if not self.session.was_answered_by_member:
            # It says nothing about the member, which may be down.
            return answer
        link.record_answer(answer.position, started_at)
        link.pace.record_answer(
            outcome.code if isinstance(outcome, Refused) else None,
            link.now() - started_at,
            is_relayed=self.session.is_relayed,
            is_read=after is not None and isinstance(statement, Read | Execute),
        )
        return answer

    async def report(self, *, timeout_s: float) -> MemberReport | Refused:
        """Ask the member for its role and position."""
        link = self.link
        started_at = link.begin_statement()
        self.is_broken = True
        try:
            with anyio.fail_after(timeout_s):
                report = await self.session.request_report(ReportStatus())
        except HomeLostError:
            raise
        except (
            TimeoutError,
            AnswerLostError,
            MemberUnreachableError,
        ) as error:
            link.record_failure(
                str(error) or f'no status report within {timeout_s:.2f} s'
            )
            raise AnswerLostError(str(error)) from error
        finally:
            link.end_statement()
        self.is_broken = False
        if self.session.was_answered_by_member:
            link.record_answer(None, started_at)
            self._record_running(started_at)
        return report

    def _record_running(self, asked_at: float) -> None:
        """Record since when the member that answered has run."""
        since = self.opened_at
        if self.session.is_relayed:
            since = self.link.now() - (self.session.member_running_s or 0)
        running = self.link.running
        running.extend(since, asked_at)
        self.member_running_since = running.since_at(asked_at)


class MemberLink:
    """Connections of this host to one member, with their load and health.

    Parameters
    ----------
    entry
        The member; a restarted member with the same id gets a new link.
    clock
        Monotonic time, in seconds.
    events, metrics
        Receive failures and answers.
    """

    def __init__(
        self,
        *,
        entry: MemberEntry,
        clock: Callable[[], float],
        events: EventLog,
        metrics: HttpMetrics,
    ) -> None:
        self._events = events
        self._metrics = metrics
        self.entry = entry
        self.idle: list[PooledSession] = []
        self.opened = 0
        self.in_flight = 0
        self.latency_s = _INITIAL_LATENCY_S
        self.applied: LogPosition | None = None
        self.applied_at = float('-inf')
        self.answered_at = float('-inf')
        self.failing_since: float | None = None
        self.next_connect_at = float('-inf')
        self.is_closed = False
        self.connection_wait = OrderedWait()
        self.running = RunningSpan()
        self.pace = LinkPace(
            entry=entry, clock=clock, events=events, metrics=metrics
        )
        self._turns = MemberTurns(
            entry=entry, clock=clock, events=events, metrics=metrics
        )
        self._clock = clock

    @property
    def turns(self) -> ServiceQueue:
        """Statements that run at the member or wait for a turn."""
        return self._turns.queue

    @property
    def is_suspect(self) -> bool:
        """Whether the member failed since its last answer."""
        return self.failing_since is not None

    def now(self) -> float:
        """Return the monotonic time, in seconds."""
        return self._clock()

    async def take_turn(
        self, *, is_new: bool, deadline: float, context: StatementContext
    ) -> None:
        """Wait until a statement may be sent; see `MemberTurns.take`."""
        await self._turns.take(
            is_new=is_new,
            deadline=deadline,
            context=context,
            statement_s=self.latency_s,
        )

    def end_turn(self) -> None:
        """End a turn and start the next one."""
        self._turns.end()

    def begin_statement(self) -> float:
        """Count a started statement; return its start, in seconds."""
        self.in_flight += 1
        return self._clock()

    def end_statement(self) -> None:
        """Stop counting a statement."""
        self.in_flight -= 1

    def record_answer(
        self, position: LogPosition | None, started_at: float
    ) -> None:
        """Record an answer, with the applied position if it names one."""
        now = self._clock()
        self.answered_at = now
        if self.failing_since is not None:
            self._record_recovery(now - self.failing_since)
        duration_s = now - started_at
        self.latency_s += _LATENCY_WEIGHT * (duration_s - self.latency_s)
        member = self.entry.upstream_id
        self._metrics.member_seconds.labels(member).observe(duration_s)
        if position is not None:
            self.applied = position
            self.applied_at = now

    def change_entry(self, entry: MemberEntry) -> None:
        """Replace the announcement of the member by a later one."""
        if entry.is_primary and not self.entry.is_primary:
            self.pace.restart(PaceReason.promoted)
        self.entry = entry

    def statement_limit(self, share: int | None) -> int | None:
        """Return the number of statements in flight that its pace allows.

        Parameters
        ----------
        share
            Number of statements that the share of this host allows; None for
            no limit.
        """
        # The probe of a suspected member must not wait for statements that
        # are not answered.
        return share if self.is_suspect else self.pace.limit(self.entry, share)

    def record_failure(self, reason: str) -> None:
        """Record a lost answer or a failed connection attempt."""
        entry = self.entry
        self._metrics.member_failures.labels(entry.upstream_id).inc()
        if self.failing_since is None:
            self.failing_since = self._clock()
            self._events.emit(
                SessionEvent.member_suspected,
                upstream=entry.upstream_id,
                service=entry.service,
                reason=reason,
            )

    def _record_recovery(self, failed_s: float) -> None:
        self.failing_since = None
        self.pace.restart(PaceReason.recovered)
        self._events.emit(
            SessionEvent.member_regained,
            upstream=self.entry.upstream_id,
            service=self.entry.service,
            failed_ms=round(failed_s * _MS_PER_S),
        )
