"""Checks the key of a session before each of its statements."""

from lavendergate.controllers.customers.registry import CustomerRegistry
from lavendergate.controllers.fleet_view import FleetView
from lavendergate.core.customers.identity import (
    Admitted,
    UnknownKey,
    UnprovenKey,
    has_changed_customer,
)
from lavendergate.core.customers.table import Customer
from lavendergate.core.routes import Route
from lavendergate.core.sessions.statements import (
    Commit,
    Phase,
    RefusalCode,
    Refused,
    Rollback,
    SessionAnswer,
)
from lavendergate.filters.sessions.base import (
    ForwardRequest,
    KeyWithdrawnError,
    SessionFilter,
    SessionRequest,
    refusal_answer,
    success_answer,
)
from lavendergate.filters.sessions.transaction import TransactionFilter
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent


class IdentificationFilter(SessionFilter):
    """Sets the customer of each statement by the table in force.

    It runs before all other filters, so that a session whose key was taken
    away ends with its next statement, whatever that is.

    Parameters
    ----------
    view
        Provides the routes in force.
    customers
        Identifies customers.
    transactions
        Rolls back the transaction of a session that loses its key.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        customers: CustomerRegistry,
        transactions: TransactionFilter,
        events: EventLog,
    ) -> None:
        self._view = view
        self._customers = customers
        self._transactions = transactions
        self._events = events

    async def handle(
        self, request: SessionRequest, forward: ForwardRequest
    ) -> SessionAnswer:
        """Answer the request, or forward it to the next filter."""
        session = request.session
        transaction = session.transaction
        if transaction is None:
            route = self._view.route(session.database)
        else:
            route = transaction.route
        if route is None:
            return await forward(request)
        found = self._customers.identify(
            session.key_digest, route, request.arrived_at
        )
        match found:
            case UnknownKey():
                return await self._end_session(request)
            case UnprovenKey():
                return await self._abort(request, unproven_key())
            case Admitted(customer=customer):
                return await self._admit(request, customer, forward)

    async def _admit(
        self,
        request: SessionRequest,
        customer: Customer | None,
        forward: ForwardRequest,
    ) -> SessionAnswer:
        session = request.session
        has_changed = has_changed_customer(session.customer, customer)
        session.customer = customer
        if has_changed and session.transaction is not None:
            return await self._abort(request, _customer_changed())
        if customer is not None:
            digest = session.key_digest
            request.holds_key = lambda: self._customers.still_holds(
                customer, digest
            )
        try:
            return await forward(request)
        except KeyWithdrawnError:
            return await self._refuse_withdrawn(request)

    async def _refuse_withdrawn(self, request: SessionRequest) -> SessionAnswer:
        """Refuse a statement whose key was taken away while it waited."""
        session = request.session
        route: Route = request.known_route
        found = self._customers.identify(
            session.key_digest, route, request.arrived_at
        )
        if not isinstance(found, Admitted):
            return await self._end_session(request)
        return await self._abort(request, _customer_changed())

    async def _end_session(self, request: SessionRequest) -> SessionAnswer:
        session = request.session
        customer = session.customer
        self._events.emit(
            SessionEvent.key_withdrawn,
            customer=None if customer is None else customer.name,
            database=session.database,
            phase=session.phase.value,
            request_id=request.request_id,
        )
        await self._transactions.end_transaction(session)
        session.phase = Phase.idle
        return refusal_answer(
            request, RefusalCode.not_authorized, not_authorized().text
        )

    async def _abort(
        self, request: SessionRequest, refusal: Refused
    ) -> SessionAnswer:
        """Refuse a statement and roll back the transaction that it is in."""
        session = request.session
        statement = request.statement
        if session.transaction is not None:
            await self._transactions.end_transaction(session)
            session.phase = Phase.failed
        if isinstance(statement, (Commit, Rollback)):
            session.phase = Phase.idle
        if isinstance(statement, Rollback):
            return success_answer(request)
        return refusal_answer(request, refusal.code, refusal.text)


def _customer_changed() -> Refused:
    return Refused(
        code=RefusalCode.aborted,
        text=(
            'the key of the session belongs to another customer now; send the '
            'statement or the transaction again'
        ),
    )


def not_authorized() -> Refused:
    """Return the refusal of a key that no customer holds."""
    return Refused(
        code=RefusalCode.not_authorized,
        text='no customer holds the key of this session; use a valid key',
    )


def unproven_key() -> Refused:
    """Return the refusal of a key while withdrawals may be missing."""
    return Refused(
        code=RefusalCode.busy,
        text=(
            'the host cannot prove that the key is still valid, because no '
            'control leader answers it; retry in 500 ms at another host'
        ),
    )
