"""Requests and sessions of callers that use the session protocol."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from lavendergate.controllers.member_link import PooledSession
from lavendergate.core.customers.table import Customer, KeyDigest
from lavendergate.core.routes import Route
from lavendergate.core.sessions.context import StatementContext
from lavendergate.core.sessions.state import SessionState
from lavendergate.core.sessions.statements import (
    AccessKind,
    CallerStatement,
    Completed,
    Execute,
    Phase,
    Read,
    RefusalCode,
    Refused,
    SessionAnswer,
    Shape,
    Write,
)
from lavendergate.core.types import LogPosition, UpstreamId
from lavendergate.filters.chain import ChainStep

DataStatement = Read | Write | Execute


class KeyWithdrawnError(Exception):
    """The key of a session was taken away while its statement waited.

    The statement did not run.
    """


@dataclass(kw_only=True, slots=True)
class SessionTransaction:
    """A caller's transaction.

    Parameters
    ----------
    route
        Route at the begin; a route change applies to the next transaction.
    arrived_at
        When the transaction began, on the clock of `PrimaryPositions`, in
        seconds.
    connection
        Connection that the transaction runs on; None before its first
        statement.
    has_written
        Whether a statement that writes was sent to the member.
    is_charged
        Whether the transaction was charged to the customer's limit.
    """

    route: Route
    arrived_at: float
    read_only: bool
    connection: PooledSession | None = None
    has_written: bool = False
    is_charged: bool = False


@dataclass(kw_only=True, slots=True)
class CallerSession:
    """State of one caller's session.

    Parameters
    ----------
    own_position
        Position of the session's last acknowledged write.
    own_written_at
        When that write was sent, on the clock of `PrimaryPositions`, in
        seconds.
    is_expired
        Whether the transaction was rolled back because it was idle for too
        long, and the caller has not been told yet.
    customer
        Customer that the caller's key belongs to, as of the last statement;
        None if callers are not identified or the route is public.
    key_digest
        Digest of the caller's key; None if it sent none.
    """

    database: str
    phase: Phase = Phase.idle
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, Shape] = field(default_factory=dict)
    own_position: LogPosition | None = None
    own_written_at: float = float('-inf')
    transaction: SessionTransaction | None = None
    is_expired: bool = False
    customer: Customer | None = None
    key_digest: KeyDigest | None = field(default=None, repr=False)

    @property
    def state(self) -> SessionState:
        """Values and prepared statements of the session."""
        return SessionState(values=self.values, prepared=self.prepared)

    def record_write(self, position: LogPosition, sent_at: float) -> None:
        """Record the position of an acknowledged write."""
        if self.own_position is None or position > self.own_position:
            self.own_position = position
            self.own_written_at = sent_at


@dataclass(kw_only=True, slots=True)
class SessionRequest:
    """A statement and what the filters have found out about it.

    Parameters
    ----------
    arrived_at
        Arrival of the statement on the clock of `PrimaryPositions`, in
        seconds. That clock also advances while the host is suspended.
    arrived_at_monotonic, deadline
        Arrival of the statement and deadline for its answer, on the
        monotonic clock, in seconds.
    route
        Route of the statement, set by the routing filter.
    served_by
        Member that the statement was last sent to.
    home
        Home proxy that it was last passed on to; None if this proxy sent it.
    position, position_asked_at
        Log position that the member must have applied before a read, and
        when the primary was asked for it, on the clock of
        `PrimaryPositions`.
    held_s
        Time that it waited for the replicas of a new primary, in seconds.
    holds_key
        Returns whether the customer still holds the session's key; None if
        callers are not identified.
    """

    session: CallerSession
    request_id: str
    statement: CallerStatement
    arrived_at: float
    arrived_at_monotonic: float
    deadline: float
    route: Route | None = None
    attempts: int = 0
    served_by: UpstreamId | None = None
    home: str | None = None
    position: LogPosition | None = None
    position_asked_at: float | None = None
    held_s: float = 0
    holds_key: Callable[[], bool] | None = None

    @property
    def access(self) -> AccessKind:
        """Whether the statement reads or writes data."""
        match self.statement:
            case Read():
                return AccessKind.read
            case Execute(name=name):
                return self.session.prepared[name].access
            case _:
                return AccessKind.write

    @property
    def context(self) -> StatementContext:
        """Customer and priorities of the statement."""
        customer = self.session.customer
        route = self.route
        return StatementContext(
            customer=None if customer is None else customer.name,
            customer_priority=0 if customer is None else customer.priority,
            route_priority=0 if route is None else route.priority,
        )

    @property
    def known_route(self) -> Route:
        """Route of the statement, for filters after the routing filter."""
        if self.route is None:
            raise RuntimeError('the routing filter must run before this one')
        return self.route

    def check_key(self) -> None:
        """Check the key again, at the last moment before a member is used.

        Raises
        ------
        KeyWithdrawnError
            If the customer no longer holds it.
        """
        if self.holds_key is not None and not self.holds_key():
            raise KeyWithdrawnError


class SessionFilter(ChainStep[SessionRequest, SessionAnswer]):
    """One filter on the statement path of sessions."""


ForwardRequest = Callable[[SessionRequest], Awaitable[SessionAnswer]]


def refusal_answer(
    request: SessionRequest, code: RefusalCode, text: str
) -> SessionAnswer:
    """Return a refusal in the present phase of the session."""
    return SessionAnswer(
        outcome=Refused(code=code, text=text), phase=request.session.phase
    )


def success_answer(request: SessionRequest) -> SessionAnswer:
    """Return a success without rows in the present phase of the session."""
    return SessionAnswer(outcome=Completed(), phase=request.session.phase)
