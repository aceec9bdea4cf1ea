"""Serves callers that speak in sessions."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from lavendergate.controllers.fleet_view import FleetView
from lavendergate.core.sessions.statements import (
    Completed,
    Phase,
    RefusalCode,
    Refused,
    SessionAnswer,
)
from lavendergate.filters.sessions.base import (
    CallerSession,
    ForwardRequest,
    SessionRequest,
)
from lavendergate.filters.sessions.transaction import TransactionFilter
from lavendergate.frontend.caller_channel import (
    CallerChannel,
    CallerFarewell,
    CallerGoneError,
    CallerRequest,
)
from lavendergate.observability.event_type import FieldValue
from lavendergate.observability.exposition import SessionMetrics
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent

# A host that has just started may learn the routes within this time, in
# seconds; callers wait two seconds for the answer to their start.
_ROUTES_TIMEOUT_S = 1.6
# A session that was opened a moment ago is about to send its first
# statement, in seconds.
_FIRST_STATEMENT_S = 1.0
# A statement may be on its way when the host closes a session, in seconds.
_LAST_WORDS_S = 0.02
_MS_PER_S = 1000
# Without a route there is no time limit of its own, in seconds.
_DEFAULT_TIMEOUT_S = 1.0


@dataclass(kw_only=True, slots=True, eq=False)
class OpenSession:
    """A session that is being served.

    Parameters
    ----------
    opened_at
        When the session was opened, on the monotonic clock.
    has_answered
        Whether a statement of the caller was answered.
    waiting
        Scope of the wait for the next statement; None while one runs.
    """

    state: CallerSession
    opened_at: float
    has_answered: bool = False
    waiting: anyio.CancelScope | None = None

    def is_idle(self, now: float) -> bool:
        """Return whether the session may be closed without harm."""
        is_waiting = self.waiting is not None
        is_new = now - self.opened_at < _FIRST_STATEMENT_S
        is_about_to_start = is_new and not self.has_answered
        at_rest = self.state.phase == Phase.idle
        return is_waiting and at_rest and not is_about_to_start


class SessionService:
    """Reads statements of callers and answers them.

    Parameters
    ----------
    chain
        Filters that answer a statement.
    transactions
        Ends transactions whose callers left.
    view
        Routes in force.
    clock
        Clock of positions, in seconds.
    monotonic
        Monotonic time, in seconds.
    events, metrics
        Where answers are recorded.
    """

    def __init__(
        self,
        *,
        chain: ForwardRequest,
        transactions: TransactionFilter,
        view: FleetView,
        clock: Callable[[], float],
        monotonic: Callable[[], float],
        events: EventLog,
        metrics: SessionMetrics,
    ) -> None:
        self._metrics = metrics
        self._chain = chain
        self._transactions = transactions
        self._view = view
        self._clock = clock
        self._monotonic = monotonic
        self._events = events
        self._open: set[OpenSession] = set()
        self._closes_idle = False
        self._ends_transactions = False

    @property
    def sessions(self) -> int:
        """Number of sessions that are being served."""
        return len(self._open)

    def close_idle(self) -> None:
        """Close idle sessions, now and whenever one becomes idle."""
        self._closes_idle = True
        now = self._monotonic()
        for session in self._open:
            if session.is_idle(now) and session.waiting is not None:
                session.waiting.cancel()

    def end_transactions(self) -> None:
        """Roll back transactions that wait for their caller."""
        self._ends_transactions = True
        for session in self._open:
            if session.waiting is not None:
                session.waiting.cancel()

    async def serve(self, channel: CallerChannel) -> None:
        """Serve a caller to the end of the session."""
        try:
            database = await channel.open()
            refusal = await self._problem_with(database)
            if refusal is not None:
                await channel.refuse(refusal)
                return
            await channel.accept()
            await self._serve_session(
                channel, CallerSession(database=database or '')
            )
        except CallerGoneError:
            # Nothing is owed to a caller that left; its transaction was
            # rolled back on the way here.
            return

    async def _problem_with(self, database: str | None) -> Refused | None:
        """Return why a session with a database cannot be opened."""
        until = self._monotonic() + _ROUTES_TIMEOUT_S
        while not self._view.routes.version:
            remaining_s = until - self._monotonic()
            if remaining_s <= 0:
                break
            await self._view.wait_for_change(remaining_s)
        if not self._view.routes.version:
            # It is not known yet whether the database exists.
            return Refused(
                code=RefusalCode.busy,
                text='the host has just started; come back in 500 ms',
            )
        if database is None or self._view.route(database) is None:
            return _no_database(database)
        return None

    async def _serve_session(
        self, channel: CallerChannel, state: CallerSession
    ) -> None:
        session = OpenSession(state=state, opened_at=self._monotonic())
        self._open.add(session)
        self._metrics.sessions.set(len(self._open))
        try:
            while True:
                received = await self._receive(channel, session)
                if not isinstance(received, CallerRequest):
                    return
                answer = await self._answer(received, state)
                await channel.answer(answer)
                session.has_answered = True
                if _ends_session(answer):
                    return
                if self._closes_idle and state.phase == Phase.idle:
                    return
        finally:
            self._open.discard(session)
            self._metrics.sessions.set(len(self._open))
            with anyio.CancelScope(shield=True):
                await self._transactions.end(state)

    async def _receive(
        self, channel: CallerChannel, session: OpenSession
    ) -> CallerRequest | CallerFarewell | None:
        """Return what the caller says; None if the session is to be closed."""
        while True:
            state = session.state
            has_connection = (
                state.transaction is not None
                and state.transaction.pooled is not None
            )
            limit_s = self._view.routes.transaction_idle_ms / _MS_PER_S
            until = anyio.current_time() + limit_s
            with anyio.CancelScope() as waiting:
                if has_connection:
                    waiting.deadline = until
                session.waiting = waiting
                try:
                    return await channel.receive()
                finally:
                    session.waiting = None
            if state.phase != Phase.in_transaction:
                return await self._last_words(channel)
            await self._expire(state)
            if self._ends_transactions:
                return None

    async def _last_words(
        self, channel: CallerChannel
    ) -> CallerRequest | CallerFarewell | None:
        """Return a statement that arrived just before the session ends."""
        with anyio.move_on_after(_LAST_WORDS_S):
            return await channel.receive()
        return None

    async def _expire(self, state: CallerSession) -> None:
        await self._transactions.end(state)
        state.phase = Phase.failed
        state.is_expired = True

    async def _answer(
        self, received: CallerRequest, state: CallerSession
    ) -> SessionAnswer:
        if received.statement is None:
            return SessionAnswer(
                outcome=Refused(
                    code=RefusalCode.malformed, text='no such statement'
                ),
                phase=state.phase,
            )
        started_at = self._monotonic()
        request = SessionRequest(
            session=state,
            request_id=received.request_id,
            statement=received.statement,
            arrived_at=self._clock(),
            started_at=started_at,
            deadline=started_at + _DEFAULT_TIMEOUT_S,
        )
        answer = await self._chain(request)
        self._record(request, answer)
        return answer

    def _record(self, request: SessionRequest, answer: SessionAnswer) -> None:
        waited_s = self._monotonic() - request.started_at
        database = request.session.database
        metrics = self._metrics
        metrics.statement_seconds.labels(database).observe(waited_s)
        outcome = answer.outcome
        match outcome:
            case Refused(code=code):
                metrics.statements.labels(database, code.value).inc()
                self._log_refusal(request, outcome, waited_s)
            case Completed():
                metrics.statements.labels(database, 'done').inc()
                self._log_delay(request, waited_s)

    def _log_refusal(
        self, request: SessionRequest, refusal: Refused, waited_s: float
    ) -> None:
        self._events.emit(
            SessionEvent.request_refused,
            request_id=request.request_id,
            kind=type(request.statement).__name__,
            code=refusal.code.value,
            reason=refusal.text,
            waited_ms=round(waited_s * _MS_PER_S),
            attempts=request.attempts,
            upstream=request.served_by,
            **self._inputs(request),
        )

    def _log_delay(self, request: SessionRequest, waited_s: float) -> None:
        route = request.route
        waited_ms = round(waited_s * _MS_PER_S)
        if route is None or waited_ms < route.target_latency_ms:
            return
        self._events.emit(
            SessionEvent.request_delayed,
            request_id=request.request_id,
            kind=type(request.statement).__name__,
            waited_ms=waited_ms,
            attempts=request.attempts,
            upstream=request.served_by,
            **self._inputs(request),
        )

    def _inputs(self, request: SessionRequest) -> dict[str, FieldValue]:
        """Return what decided about a statement, with versions and ages."""
        found: dict[str, FieldValue] = {
            'database': request.session.database,
            'routes_version': self._view.routes.version,
        }
        route = request.route
        if route is not None:
            primary = self._view.primary_of(route.service)
            found['service'] = route.service
            found['consistency'] = route.consistency.value
            found['primary'] = None if primary is None else primary.upstream_id
            found['term'] = self._view.term_of(route.service)
        position = request.position
        if position is not None and request.position_asked_at is not None:
            age_s = request.arrived_at - request.position_asked_at
            found['position'] = f'{position.term}.{position.position}'
            found['position_age_ms'] = round(age_s * _MS_PER_S)
        return found


def _no_database(database: str | None) -> Refused:
    return Refused(
        code=RefusalCode.no_database,
        text=f'no route serves database {database!r}',
    )


def _ends_session(answer: SessionAnswer) -> bool:
    outcome = answer.outcome
    return (
        isinstance(outcome, Refused) and outcome.code == RefusalCode.no_database
    )
