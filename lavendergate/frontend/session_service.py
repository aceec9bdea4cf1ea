"""Serves callers that use the session protocol."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from lavendergate.controllers.customers.registry import CustomerRegistry
from lavendergate.controllers.fleet_view import FleetView
from lavendergate.core.customers.identity import (
    Admitted,
    UnknownKey,
    UnprovenKey,
)
from lavendergate.core.sessions.statements import (
    Completed,
    Phase,
    RefusalCode,
    Refused,
    SessionAnswer,
)
from lavendergate.filters.customers.identification import (
    not_authorized,
    unproven_key,
)
from lavendergate.filters.sessions.base import (
    CallerSession,
    ForwardRequest,
    SessionRequest,
)
from lavendergate.filters.sessions.transaction import TransactionFilter
from lavendergate.filters.sessions.unfinished import unfinished_answer
from lavendergate.frontend.caller_channel import (
    CallerChannel,
    CallerDisconnectedError,
    CallerRequest,
    SessionEndRequest,
    SessionStart,
)
from lavendergate.observability.event_type import FieldValue
from lavendergate.observability.exposition import HttpMetrics
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent

# Time for which a new session waits for routes if the host has just started
# and has none yet, in seconds. Callers wait two seconds for a session to open.
_ROUTES_TIMEOUT_S = 1.6
# Time after the start of a session within which its first statement is
# expected, in seconds; the session is not closed as idle before that.
_FIRST_STATEMENT_GRACE_S = 1.0
# Time for which an idle session is still read before the host closes it, in
# seconds, because a statement may be on its way.
_CLOSE_GRACE_S = 0.02
_MS_PER_S = 1000
# Interval at which a waiting session checks whether it can be opened, in
# seconds. Renewals of the lease on the keys change no route.
_ROUTES_CHECK_INTERVAL_S = 0.05
# Refusals after which a session ends.
_SESSION_END_CODES = frozenset(
    (RefusalCode.no_database, RefusalCode.not_authorized)
)
# Time limit of a statement until its route sets one, in seconds.
_DEFAULT_TIMEOUT_S = 1.0


@dataclass(kw_only=True, slots=True, eq=False)
class ServedSession:
    """A session that is being served.

    Parameters
    ----------
    opened_at
        When the session was opened, on the monotonic clock.
    has_answered
        Whether a statement of the caller was answered.
    receive_scope
        Cancel scope of the wait for the next statement; None while a
        statement runs.
    run_scope
        Cancel scope of the running statement; None while none runs.
    """

    state: CallerSession
    opened_at: float
    has_answered: bool = False
    receive_scope: anyio.CancelScope | None = None
    run_scope: anyio.CancelScope | None = None

    def can_be_closed(self, now: float) -> bool:
        """Return whether the session can be closed without loss.

        Parameters
        ----------
        now
            Monotonic time, in seconds.
        """
        is_waiting = self.receive_scope is not None
        is_new = now - self.opened_at < _FIRST_STATEMENT_GRACE_S
        is_about_to_start = is_new and not self.has_answered
        is_outside_transaction = self.state.phase == Phase.idle
        return is_waiting and is_outside_transaction and not is_about_to_start


class SessionService:
    """Serves the sessions of callers.

    Parameters
    ----------
    chain
        Filter chain that answers a statement.
    transactions
        Rolls back the transactions of sessions that end.
    view
        Provides the routes in force.
    clock
        Clock of `PrimaryPositions`, in seconds.
    monotonic
        Monotonic time, in seconds.
    events, metrics
        Receive the outcome and duration of statements.
    customers
        Identifies callers; None if they are not identified.
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
        metrics: HttpMetrics,
        customers: CustomerRegistry | None = None,
    ) -> None:
        self._customers = customers
        self._metrics = metrics
        self._chain = chain
        self._transactions = transactions
        self._view = view
        self._clock = clock
        self._monotonic = monotonic
        self._events = events
        # Ordered by the last answer, the oldest first.
        self._open: dict[ServedSession, None] = {}
        self._is_closing_idle = False
        self._is_ending_transactions = False

    @property
    def session_count(self) -> int:
        """Number of sessions that are being served."""
        return len(self._open)

    def close_idle(self) -> None:
        """Close idle sessions, now and whenever one becomes idle."""
        self._is_closing_idle = True
        now = self._monotonic()
        for session in self._open:
            if session.can_be_closed(now) and session.receive_scope is not None:
                session.receive_scope.cancel()

    def close_oldest_idle(self) -> bool:
        """Close the session whose last answer is oldest, if one is idle."""
        now = self._monotonic()
        for session in self._open:
            scope = session.receive_scope
            if scope is None or scope.cancel_called:
                continue
            if session.can_be_closed(now):
                scope.cancel()
                return True
        return False

    def end_transactions(self) -> None:
        """Roll back all transactions, now or once their statement has run."""
        self._is_ending_transactions = True
        for session in self._open:
            if session.receive_scope is not None:
                session.receive_scope.cancel()

    def give_up_statements(self) -> None:
        """Answer all running statements without waiting for their members."""
        for session in self._open:
            if session.run_scope is not None:
                session.run_scope.cancel()

    async def serve(self, channel: CallerChannel) -> None:
        """Serve a caller until its session ends."""
        try:
            start = await channel.receive_start()
            opened = await self._open_session(start)
            if isinstance(opened, Refused):
                await channel.refuse(opened)
                return
            await channel.accept()
            await self._serve_session(channel, opened)
        except CallerDisconnectedError:
            # Nobody is left to answer, and `_serve_session` has rolled back the
            # transaction.
            return

    async def _open_session(
        self, start: SessionStart | None
    ) -> CallerSession | Refused:
        """Return a new session, or why it cannot be opened."""
        give_up_at = self._monotonic() + _ROUTES_TIMEOUT_S
        while not self._has_routes:
            remaining_s = give_up_at - self._monotonic()
            if remaining_s <= 0:
                break
            await self._view.wait_for_change(
                min(remaining_s, _ROUTES_CHECK_INTERVAL_S)
            )
        if not self._view.routes.version:
            # Without routes, it is not known whether the database exists.
            return Refused(
                code=RefusalCode.busy,
                text='the host has not received routes yet; retry in 500 ms',
            )
        route = None if start is None else self._view.route(start.database)
        if start is None or route is None:
            return _no_database_refusal(start)
        session = CallerSession(
            database=start.database, key_digest=start.key_digest
        )
        if self._customers is None:
            return session
        found = self._customers.identify(start.key_digest, route, self._clock())
        match found:
            case Admitted(customer=customer):
                session.customer = customer
                return session
            case UnknownKey():
                return self._refuse_key(session, not_authorized())
            case UnprovenKey():
                return self._refuse_key(session, unproven_key())

    @property
    def _has_routes(self) -> bool:
        """Whether sessions can be opened, as far as the routes are needed."""
        if not self._view.routes.version:
            return False
        customers = self._customers
        if customers is None or self._view.routes.customers is None:
            return True
        return customers.has_proof

    def _refuse_key(self, session: CallerSession, refusal: Refused) -> Refused:
        database = session.database
        self._metrics.statements.labels(database, refusal.code.value).inc()
        self._events.emit(
            SessionEvent.key_refused, database=database, reason=refusal.text
        )
        return refusal

    async def _serve_session(
        self, channel: CallerChannel, state: CallerSession
    ) -> None:
        session = ServedSession(state=state, opened_at=self._monotonic())
        self._open[session] = None
        self._metrics.sessions.set(len(self._open))
        try:
            while True:
                received = await self._receive(channel, session)
                if not isinstance(received, CallerRequest):
                    return
                answer = await self._answer(received, session)
                await channel.answer(answer)
                session.has_answered = True
                self._open[session] = self._open.pop(session)
                if _ends_session(answer):
                    return
                if self._is_closing_idle and state.phase == Phase.idle:
                    return
        finally:
            self._open.pop(session, None)
            self._metrics.sessions.set(len(self._open))
            with anyio.CancelScope(shield=True):
                await self._transactions.end_transaction(state)

    async def _receive(
        self, channel: CallerChannel, session: ServedSession
    ) -> CallerRequest | SessionEndRequest | None:
        """Return the next request; None if the session is to be closed."""
        state = session.state
        while True:
            if self._is_ending_transactions and state.phase != Phase.idle:
                await self._expire_transaction(state)
                return await self._receive_before_close(channel)
            has_connection = (
                state.transaction is not None
                and state.transaction.connection is not None
            )
            limit_s = self._view.routes.transaction_idle_ms / _MS_PER_S
            until = anyio.current_time() + limit_s
            with anyio.CancelScope() as receive_scope:
                if has_connection:
                    receive_scope.deadline = until
                session.receive_scope = receive_scope
                try:
                    return await channel.receive()
                finally:
                    session.receive_scope = None
            if state.phase != Phase.in_transaction:
                return await self._receive_before_close(channel)
            await self._expire_transaction(state)

    async def _receive_before_close(
        self, channel: CallerChannel
    ) -> CallerRequest | SessionEndRequest | None:
        """Return a request that arrives just before the session is closed."""
        with anyio.move_on_after(_CLOSE_GRACE_S):
            return await channel.receive()
        return None

    async def _expire_transaction(self, state: CallerSession) -> None:
        if state.phase != Phase.in_transaction:
            return
        await self._transactions.end_transaction(state)
        state.phase = Phase.failed
        state.is_expired = True

    async def _answer(
        self, received: CallerRequest, session: ServedSession
    ) -> SessionAnswer:
        state = session.state
        if received.statement is None:
            malformed = Refused(
                code=RefusalCode.malformed,
                text='the statement cannot be parsed',
            )
            return SessionAnswer(
                outcome=received.refusal or malformed, phase=state.phase
            )
        arrived_at_monotonic = self._monotonic()
        request = SessionRequest(
            session=state,
            request_id=received.request_id,
            statement=received.statement,
            arrived_at=self._clock(),
            arrived_at_monotonic=arrived_at_monotonic,
            deadline=arrived_at_monotonic + _DEFAULT_TIMEOUT_S,
        )
        run_scope = anyio.CancelScope()
        with run_scope:
            session.run_scope = run_scope
            try:
                answer = await self._chain(request)
            finally:
                session.run_scope = None
        if run_scope.cancelled_caught:
            answer = unfinished_answer(request)
            state.phase = answer.phase
        self._record(request, answer)
        return answer

    def _record(self, request: SessionRequest, answer: SessionAnswer) -> None:
        elapsed_s = self._monotonic() - request.arrived_at_monotonic
        database = request.session.database
        metrics = self._metrics
        metrics.statement_seconds.labels(database).observe(elapsed_s)
        outcome = answer.outcome
        match outcome:
            case Refused(code=code):
                metrics.statements.labels(database, code.value).inc()
                self._log_failure(request, outcome, elapsed_s)
            case Completed():
                metrics.statements.labels(database, 'done').inc()
                self._log_delay(request, elapsed_s)

    def _log_failure(
        self, request: SessionRequest, refusal: Refused, elapsed_s: float
    ) -> None:
        self._events.emit(
            SessionEvent.request_refused,
            request_id=request.request_id,
            kind=type(request.statement).__name__,
            code=refusal.code.value,
            reason=refusal.text,
            waited_ms=round(elapsed_s * _MS_PER_S),
            attempts=request.attempts,
            upstream=request.served_by,
            **self._routing_fields(request),
        )

    def _log_delay(self, request: SessionRequest, elapsed_s: float) -> None:
        route = request.route
        waited_ms = round(elapsed_s * _MS_PER_S)
        if route is None or waited_ms < route.target_latency_ms:
            return
        self._events.emit(
            SessionEvent.request_delayed,
            request_id=request.request_id,
            kind=type(request.statement).__name__,
            waited_ms=waited_ms,
            attempts=request.attempts,
            upstream=request.served_by,
            **self._routing_fields(request),
        )

    def _routing_fields(self, request: SessionRequest) -> dict[str, FieldValue]:
        """Return log fields about the routing of a request.

        Routes version, primary and term are the present ones, and may have
        changed since the request was routed.
        """
        routing_fields: dict[str, FieldValue] = {
            'home': request.home,
            'database': request.session.database,
            'routes_version': self._view.routes.version,
            'customer': request.context.customer,
        }
        if request.held_s:
            routing_fields['held_ms'] = round(request.held_s * _MS_PER_S)
        route = request.route
        if route is not None:
            primary = self._view.primary_of(route.service)
            routing_fields['service'] = route.service
            routing_fields['consistency'] = route.consistency.value
            routing_fields['primary'] = (
                None if primary is None else primary.upstream_id
            )
            routing_fields['term'] = self._view.term_of(route.service)
        position = request.position
        if position is not None and request.position_asked_at is not None:
            age_s = request.arrived_at - request.position_asked_at
            routing_fields['position'] = f'{position.term}.{position.position}'
            routing_fields['position_age_ms'] = round(age_s * _MS_PER_S)
        return routing_fields


def _no_database_refusal(start: SessionStart | None) -> Refused:
    database = None if start is None else start.database
    return Refused(
        code=RefusalCode.no_database,
        text=f'no route serves database {database!r}',
    )


def _ends_session(answer: SessionAnswer) -> bool:
    outcome = answer.outcome
    return isinstance(outcome, Refused) and outcome.code in _SESSION_END_CODES
