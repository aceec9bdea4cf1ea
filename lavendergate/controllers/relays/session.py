"""Sessions whose statements run through home proxies."""

from collections.abc import Callable

import anyio

from lavendergate.backends.sessions import (
    AnswerLostError,
    HomeLostError,
    MemberDialer,
    MemberSession,
    MemberUnreachableError,
    ReportRequest,
)
from lavendergate.controllers.relays.client import RelayClient
from lavendergate.controllers.relays.link import RelayLink
from lavendergate.controllers.relays.transaction import (
    EndedTransaction,
    NoTransaction,
    OpenTransaction,
    RelayedTransactionState,
    next_transaction,
)
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.sessions.context import (
    SYSTEM_CONTEXT,
    StatementContext,
)
from lavendergate.core.sessions.statements import (
    AccessKind,
    Begin,
    Commit,
    Completed,
    Execute,
    Forget,
    MemberReport,
    Phase,
    Prepare,
    Read,
    RefusalCode,
    Refused,
    ReportStatus,
    ResetSession,
    Rollback,
    SessionAnswer,
    SetValue,
    Shape,
    Statement,
    Write,
)
from lavendergate.core.types import LogPosition
from lavendergate.rpc.relay_service import (
    RelayedBegin,
    RelayedCommit,
    RelayedExecute,
    RelayedRead,
    RelayedRollback,
    RelayedStatement,
    RelayedStatus,
    RelayedWrite,
    RelayReply,
    RelayRequest,
    RelayStatus,
)
from lavendergate.rpc.relay_transport import (
    RelayLostError,
    RelayNotSentError,
)

# Time by which the home must give up before the caller does, in seconds, so
# that its answer still arrives.
_ANSWER_MARGIN_S = 0.03
_LONGEST_WAIT_S = 5.0
_ROLLBACK_TIMEOUT_S = 0.5
_MS_PER_S = 1000
_ENDED_TEXT = 'the home holds no such transaction; begin it again'


class RelayDialer(MemberDialer):
    """Opens sessions through homes, and connections where there are none.

    Parameters
    ----------
    relays
        Chooses the homes.
    direct
        Opens connections to members.
    """

    def __init__(self, *, relays: RelayClient, direct: MemberDialer) -> None:
        self._relays = relays
        self._direct = direct

    def is_relayed(self, member: MemberEntry) -> bool:
        """Return whether a session would run through a home now."""
        return self._relays.link_for(member) is not None

    async def dial_directly(
        self,
        member: MemberEntry,
        context: StatementContext = SYSTEM_CONTEXT,
    ) -> tuple[MemberSession, LogPosition | None]:
        """Open a connection of this host; see the base class."""
        return await self._direct.dial(member, context)

    async def dial(
        self,
        member: MemberEntry,
        context: StatementContext = SYSTEM_CONTEXT,
    ) -> tuple[MemberSession, LogPosition | None]:
        """Open a session; see the base class."""
        if self.is_relayed(member):
            await anyio.lowlevel.checkpoint()
            return RelayedSession(relays=self._relays, member=member), None
        return await self._direct.dial(member, context)


class RelayedSession(MemberSession):
    """A session whose statements a home runs.

    Session variables and prepared statements are kept here and travel with
    each statement. A transaction stays at the home that began it.

    Parameters
    ----------
    relays
        Chooses the home of each statement outside of transactions.
    """

    def __init__(self, *, relays: RelayClient, member: MemberEntry) -> None:
        self._relays = relays
        self._member = member
        self._values: dict[str, str] = {}
        self._prepared: dict[str, Shape] = {}
        self._phase = Phase.idle
        self._transaction: RelayedTransactionState = NoTransaction()
        self._home: str | None = None
        self._context = SYSTEM_CONTEXT
        self._was_answered_by_member = False
        self._member_running_s: float | None = None

    @property
    def home(self) -> str | None:
        """Address of the home that ran the last statement."""
        return self._home

    @property
    def is_relayed(self) -> bool:
        """Whether the session needs no connection of this host."""
        return True

    @property
    def was_answered_by_member(self) -> bool:
        """Whether the last answer came from the member itself.

        This session answers some statements itself, and a home refuses
        statements that it does not send.
        """
        return self._was_answered_by_member

    @property
    def member_running_s(self) -> float | None:
        """Time for which the member had run; see the base class."""
        return self._member_running_s

    def use_for(self, context: StatementContext) -> None:
        """Run the next statements for a caller; see the base class."""
        self._context = context

    async def run(
        self,
        statement: Statement,
        *,
        request_id: str | None = None,
        after: LogPosition | None = None,
    ) -> SessionAnswer:
        """Run a statement; see the base class."""
        self._was_answered_by_member = False
        match statement:
            case SetValue(name=name, value=value):
                self._values[name] = value
            case Prepare(name=name, shape=shape):
                self._prepared[name] = shape
            case Forget(name=name):
                self._prepared.pop(name, None)
            case ResetSession():
                self._values = {}
                self._prepared = {}
            case Execute(name=name) if name not in self._prepared:
                return self._refuse(RefusalCode.no_statement, name)
            case Rollback() if not self._has_open_transaction:
                self._transaction = NoTransaction()
                self._phase = Phase.idle
            case _ if self._lacks_transaction(statement):
                return self._refuse(RefusalCode.aborted, _ENDED_TEXT)
            case _:
                return await self._relay(statement, request_id, after)
        await anyio.lowlevel.checkpoint()
        return SessionAnswer(outcome=Completed(), phase=self._phase)

    async def request_report(
        self, request: ReportRequest
    ) -> MemberReport | Refused:
        """Request a report; see the base class."""
        if not isinstance(request, ReportStatus):
            raise TypeError(
                f'{request!r} is not passed on: only control hosts send it'
            )
        self._was_answered_by_member = False
        reply = await self._send(RelayedStatus(), None, None)
        self._was_answered_by_member = reply.status == RelayStatus.answered
        self._member_running_s = reply.running_ms / _MS_PER_S
        if reply.report is not None:
            return reply.report
        return Refused(code=reply.code or RefusalCode.busy, text=reply.text)

    async def close(self) -> None:
        """Have the home give up an open transaction.

        The request has expired, so that the home runs no ROLLBACK: this
        session may lack values that its caller has set since.
        """
        if not self._has_open_transaction:
            return
        with anyio.move_on_after(_ROLLBACK_TIMEOUT_S):
            try:
                await self._send(RelayedRollback(), None, None, is_expired=True)
            except AnswerLostError:
                # The home rolls the transaction back when it has been idle.
                self._transaction = NoTransaction()

    @property
    def _has_open_transaction(self) -> bool:
        return isinstance(self._transaction, OpenTransaction)

    def _lacks_transaction(self, statement: Statement) -> bool:
        """Whether a statement belongs to a transaction that no home holds."""
        match self._transaction:
            case NoTransaction():
                return isinstance(statement, Commit)
            case EndedTransaction():
                return True
            case OpenTransaction():
                return False

    async def _relay(
        self,
        statement: Statement,
        request_id: str | None,
        after: LogPosition | None,
    ) -> SessionAnswer:
        reply = await self._send(self._encode(statement), request_id, after)
        match reply.status:
            case RelayStatus.answered if self._is_ended:
                self._phase = Phase.failed
                return self._refuse(RefusalCode.aborted, reply.text)
            case RelayStatus.answered:
                self._was_answered_by_member = True
                if reply.phase is not None:
                    self._phase = reply.phase
                return _answer(reply, self._phase)
            case RelayStatus.lost:
                raise AnswerLostError(reply.text)
            case RelayStatus.expired:
                raise HomeLostError(reply.text)
            case RelayStatus.unreachable:
                raise MemberUnreachableError(reply.text)
            case _:
                return self._refuse(
                    reply.code or RefusalCode.busy,
                    reply.text,
                    retry_after_s=reply.retry_after_ms / _MS_PER_S,
                )

    @property
    def _is_ended(self) -> bool:
        return isinstance(self._transaction, EndedTransaction)

    def _refuse(
        self, code: RefusalCode, text: str, *, retry_after_s: float = 0
    ) -> SessionAnswer:
        return SessionAnswer(
            outcome=Refused(code=code, text=text, retry_after_s=retry_after_s),
            phase=self._phase,
        )

    async def _send(
        self,
        statement: RelayedStatement,
        request_id: str | None,
        after: LogPosition | None,
        *,
        is_expired: bool = False,
    ) -> RelayReply:
        def make_request(link: RelayLink) -> RelayRequest:  # noqa: WPS430
            self._home = link.address
            return RelayRequest(
                upstream_id=self._member.upstream_id,
                born=self._member.born,
                statement=statement,
                values=self._values,
                request_id=request_id,
                after=after,
                transaction=transaction,
                expires_at_ms=(
                    0 if is_expired else link.expires_at_ms(_remaining_s())
                ),
                customer=self._context.customer,
                customer_priority=self._context.customer_priority,
                route_priority=self._context.route_priority,
            )

        self._home = None
        transaction: int | None = None
        match self._transaction:
            case OpenTransaction(link=link, number=transaction):
                reply = await _run_in_transaction(link, make_request)
            case _:
                link, reply = await self._relays.run(
                    self._member, make_request, self._context.customer
                )
        self._transaction = next_transaction(self._transaction, link, reply)
        return reply

    def _encode(self, statement: Statement) -> RelayedStatement:
        match statement:
            case Begin(read_only=read_only):
                return RelayedBegin(read_only=read_only)
            case Commit():
                return RelayedCommit()
            case Rollback():
                return RelayedRollback()
            case Read(item=item):
                return RelayedRead(item=item)
            case Write(item=item, content=content):
                return RelayedWrite(item=item, content=content)
            case Execute(name=name, item=item, content=content):
                shape = self._prepared[name]
                return RelayedExecute(
                    item=item,
                    content=content,
                    writes=shape.access == AccessKind.write,
                    text=shape.text,
                )
            case _:
                raise TypeError(f'{statement!r} cannot be passed on')


async def _run_in_transaction(
    link: RelayLink, make_request: Callable[[RelayLink], RelayRequest]
) -> RelayReply:
    try:
        await link.connect()
        return await link.run(make_request(link))
    except RelayNotSentError as error:
        # The home ended with its connections, which rolls the transaction
        # back, or rolls it back once it has been idle for too long.
        return RelayReply(
            status=RelayStatus.answered,
            now_ms=0,
            code=RefusalCode.aborted,
            text=str(error),
        )
    except RelayLostError as error:
        # The home rolls the transaction back, unless this was its commit.
        raise HomeLostError(str(error)) from error


def _remaining_s() -> float:
    left_s = anyio.current_effective_deadline() - anyio.current_time()
    return max(0, min(left_s, _LONGEST_WAIT_S) - _ANSWER_MARGIN_S)


def _answer(reply: RelayReply, phase: Phase) -> SessionAnswer:
    if reply.code is None:
        return SessionAnswer(
            outcome=Completed(signature=reply.signature),
            phase=phase,
            rows=reply.rows,
            position=reply.position,
        )
    return SessionAnswer(
        outcome=Refused(code=reply.code, text=reply.text),
        phase=phase,
        position=reply.position,
    )
