"""Sets the route of a statement and opens transactions."""

from lavendergate.controllers.fleet_view import FleetView
from lavendergate.core.sessions.statements import (
    Begin,
    Phase,
    RefusalCode,
    SessionAnswer,
)
from lavendergate.filters.sessions.base import (
    ForwardRequest,
    SessionFilter,
    SessionRequest,
    SessionTransaction,
    refusal_answer,
    success_answer,
)

_MS_PER_S = 1000


class RouteFilter(SessionFilter):
    """Sets the route and the deadline, and opens transactions.

    Parameters
    ----------
    view
        Provides the routes in force.
    """

    def __init__(self, *, view: FleetView) -> None:
        self._view = view

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
            return refusal_answer(
                request,
                RefusalCode.no_database,
                f'no route serves database {session.database!r}',
            )
        request.route = route
        request.deadline = (
            request.arrived_at_monotonic + route.timeout_ms / _MS_PER_S
        )
        match request.statement:
            case Begin(read_only=read_only):
                # The transaction begins at a member with its first
                # statement, so that it uses no connection before that.
                session.transaction = SessionTransaction(
                    route=route,
                    arrived_at=request.arrived_at,
                    read_only=read_only,
                )
                session.phase = Phase.in_transaction
                return success_answer(request)
            case _:
                return await forward(request)
