"""Messages by which a proxy has a statement run by a home proxy."""

import enum

import msgspec

from lavendergate.core.bounds.ranges import Count, Integer
from lavendergate.core.customers.table import CustomerName
from lavendergate.core.sessions.context import StatementContext
from lavendergate.core.sessions.statements import (
    MemberReport,
    Phase,
    RefusalCode,
)
from lavendergate.core.types import LogPosition, UpstreamId


class _Statement(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base class of relayed statements."""


class RelayedBegin(_Statement, frozen=True, kw_only=True, tag='begin'):
    """Begins a transaction that the home keeps on one connection."""

    read_only: bool


class RelayedCommit(_Statement, frozen=True, kw_only=True, tag='commit'):
    """Commits a transaction."""


class RelayedRollback(_Statement, frozen=True, kw_only=True, tag='rollback'):
    """Rolls a transaction back."""


class RelayedRead(_Statement, frozen=True, kw_only=True, tag='read'):
    """Reads an item."""

    item: str


class RelayedWrite(_Statement, frozen=True, kw_only=True, tag='write'):
    """Replaces the content of an item."""

    item: str
    content: str


class RelayedExecute(_Statement, frozen=True, kw_only=True, tag='execute'):
    """Runs a prepared statement; the home prepares it where needed.

    Parameters
    ----------
    writes, text
        The statement as it was prepared.
    """

    item: str
    content: str | None
    writes: bool
    text: str


class RelayedStatus(_Statement, frozen=True, kw_only=True, tag='status'):
    """Asks the member for its role and position."""


RelayedStatement = (
    RelayedBegin
    | RelayedCommit
    | RelayedRollback
    | RelayedRead
    | RelayedWrite
    | RelayedExecute
    | RelayedStatus
)


class RelayRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Asks a home to run a statement at a member.

    Parameters
    ----------
    born
        Start of the member that is meant; a home that knows another one
        declines.
    values
        Session variables with which the statement runs.
    request_id
        Id of the caller's request; None for statements of the system.
    after
        Position that the member must have applied.
    transaction
        Transaction of the home that the statement belongs to.
    expires_at_ms
        Time on the home's clock, in milliseconds, after which the home must
        not send the statement. A home that was frozen would otherwise send
        it after the proxy has given up.
    customer, customer_priority, route_priority
        Context of the statement; see `StatementContext`.
    """

    upstream_id: UpstreamId
    born: Count
    statement: RelayedStatement
    values: dict[str, str]
    request_id: str | None
    after: LogPosition | None
    transaction: Integer | None
    expires_at_ms: Integer
    customer: CustomerName | None = None
    customer_priority: Integer = 0
    route_priority: Integer = 0

    @property
    def context(self) -> StatementContext:
        """Customer and priorities of the statement."""
        return StatementContext(
            customer=self.customer,
            customer_priority=self.customer_priority,
            route_priority=self.route_priority,
            is_system=isinstance(self.statement, RelayedStatus),
        )


@enum.unique
class RelayStatus(enum.Enum):
    """What a home did with a statement.

    `answered`: the member answered.
    `not_run`: the statement was not sent, for want of time or a connection.
    `declined`: it was not sent, as the home is stopping or does not know the
    member; another home may run it.
    `unreachable`: it was not sent, because the member cannot be reached.
    `lost`: it was sent, and its answer was lost.
    `expired`: it may have been sent, and there was no answer within its time
    limit, which says nothing about the member.
    """

    answered = 'answered'
    not_run = 'not_run'
    declined = 'declined'
    unreachable = 'unreachable'
    lost = 'lost'
    expired = 'expired'


class RelayReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Result of a relayed statement.

    Parameters
    ----------
    now_ms
        Time on the home's clock when it replied, in milliseconds.
    code
        Refusal of the member; None if the statement completed.
    text
        Reason of a refusal, or why the statement was not run.
    phase
        Phase of the connection after the statement; None if the home does not
        know it, because it ran nothing, got no answer, or holds no such
        transaction.
    transaction
        Transaction that the statement began.
    report
        Answer to `RelayedStatus`.
    retry_after_ms
        Predicted wait for a turn at the member, in milliseconds, if the
        statement was not run for want of time; 0 if unknown.
    running_ms
        Time for which the member that answered is known to have run without
        a break, in milliseconds; 0 if unknown.
    """

    status: RelayStatus
    now_ms: Integer
    code: RefusalCode | None = None
    text: str = ''
    signature: str | None = None
    rows: tuple[str, ...] = ()
    phase: Phase | None = None
    position: LogPosition | None = None
    transaction: Integer | None = None
    report: MemberReport | None = None
    retry_after_ms: Integer = 0
    running_ms: Count = 0
