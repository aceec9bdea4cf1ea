"""Home of members: runs the statements that other proxies pass on."""

import itertools
import secrets
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from lavendergate.backends.sessions import AnswerLostError
from lavendergate.controllers.fleet_view import FleetView
from lavendergate.controllers.member_link import NotPreparedError, PooledSession
from lavendergate.controllers.members.turns import (
    NoConnectionError,
    NoTimeError,
)
from lavendergate.controllers.session_pools import SessionPools
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.sessions.state import SessionState
from lavendergate.core.sessions.statements import (
    AccessKind,
    Begin,
    Commit,
    Completed,
    Execute,
    MemberReport,
    Phase,
    Read,
    RefusalCode,
    Refused,
    Rollback,
    SessionAnswer,
    Shape,
    Statement,
    Write,
)
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent
from lavendergate.rpc.relay_service import (
    RelayedBegin,
    RelayedCommit,
    RelayedExecute,
    RelayedRead,
    RelayedRollback,
    RelayedStatus,
    RelayedWrite,
    RelayReply,
    RelayRequest,
    RelayStatus,
)
from lavendergate.supervision.boundary import Boundary

_MS_PER_S = 1000
# Least remaining time with which a statement is accepted, in seconds.
_MIN_TIME_S = 0.02
# Time after the expiry of a statement within which the reply is sent, in
# seconds. The proxy waits a little longer.
_REPLY_MARGIN_S = 0.015
# Time beyond the idle limit of transactions after which the home rolls one
# back, in seconds. The proxy of the caller does it first, unless it is gone.
_IDLE_MARGIN_S = 1.0
_IDLE_CHECK_S = 0.5
_EXECUTE_NAME = 'relayed'
_NUMBER_BITS = 62
# Statements that run only where their transaction is.
_ENDS_TRANSACTION = (RelayedCommit, RelayedRollback)


@dataclass(kw_only=True, slots=True, eq=False)
class RelayedTransaction:
    """A transaction of another proxy's caller.

    Parameters
    ----------
    used_at
        End of its last statement, in seconds; None while one is running.
    is_abandoned
        Whether its proxy rolled it back while a statement was running.
    """

    connection: PooledSession
    used_at: float | None = None
    is_abandoned: bool = False


class RelayHome:
    """Runs statements for other proxies on the connections of this one.

    Parameters
    ----------
    view, pools
        Members as this proxy knows them, and its connections.
    is_home
        Returns whether this proxy may be the home of a member.
    clock
        Monotonic time, in seconds.
    real_clock
        Time that also passes while the host is suspended, in seconds.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        pools: SessionPools,
        is_home: Callable[[MemberEntry], bool],
        clock: Callable[[], float],
        real_clock: Callable[[], float],
        events: EventLog,
    ) -> None:
        self._view = view
        self._pools = pools
        self._is_home = is_home
        self._clock = clock
        self._real_clock = real_clock
        self._events = events
        self._transactions: dict[int, RelayedTransaction] = {}
        # A restarted home must not give a number again that another proxy still
        # uses for a transaction of the former process.
        self._numbers = itertools.count(secrets.randbits(_NUMBER_BITS))
        self._running = 0
        self._is_stopping = False
        self._is_ending_transactions = False

    @property
    def is_idle(self) -> bool:
        """Whether no statement is running and no transaction is open."""
        return not (self._running or self._transactions)

    def stop(self) -> None:
        """Decline new statements; those of open transactions still run."""
        self._is_stopping = True

    async def end_transactions(self, boundary: Boundary) -> None:
        """Roll back all transactions, now or once their statement has run."""
        self._is_ending_transactions = True
        waiting = [
            number
            for number, transaction in self._transactions.items()
            if transaction.used_at is not None
        ]
        # At the same time, since a silent member takes `_ROLLBACK_TIMEOUT_S`
        # for each of them.
        async with anyio.create_task_group() as tasks:
            for number in waiting:
                tasks.start_soon(
                    boundary.run, 'relayed transaction', self._end, number
                )

    async def run(self) -> None:
        """Roll back transactions that were left behind, until cancelled."""
        while True:
            await anyio.sleep(_IDLE_CHECK_S)
            limit_s = self._view.routes.transaction_idle_ms / _MS_PER_S
            oldest = self._clock() - limit_s - _IDLE_MARGIN_S
            for number, transaction in tuple(self._transactions.items()):
                used_at = transaction.used_at
                if used_at is not None and used_at < oldest:
                    self._events.emit(
                        SessionEvent.relayed_transaction_expired,
                        upstream=transaction.connection.link.entry.upstream_id,
                    )
                    await self._end(number)

    def now_ms(self) -> int:
        """Return the time on the clock of expiries, in milliseconds."""
        return int(self._real_clock() * _MS_PER_S)

    async def handle(self, request: RelayRequest) -> RelayReply:
        """Run a statement of another proxy."""
        remaining_s = (request.expires_at_ms - self.now_ms()) / _MS_PER_S
        if remaining_s < _MIN_TIME_S:
            if isinstance(request.statement, RelayedRollback):
                # It keeps nothing, so it is never too late.
                return await self._abandon(request.transaction)
            return self._reply(
                RelayStatus.not_run, 'the statement arrived too late'
            )
        self._running += 1
        try:
            with anyio.fail_after(remaining_s + _REPLY_MARGIN_S):
                return await self._run(request, self._clock() + remaining_s)
        except TimeoutError:
            # Each step has its own, shorter time limit; a statement that was
            # sent may be among those that exceed this one.
            return self._reply(RelayStatus.expired, 'no answer in time')
        finally:
            self._running -= 1

    async def _run(self, request: RelayRequest, deadline: float) -> RelayReply:
        if request.transaction is not None:
            return await self._run_in_transaction(request, deadline)
        if isinstance(request.statement, _ENDS_TRANSACTION):
            # On any other connection it would end nothing, or another
            # transaction.
            return self._unknown_transaction()
        member = self._view.directory.member(request.upstream_id)
        if (
            self._is_stopping
            or member is None
            or member.born != request.born
            or not self._is_home(member)
        ):
            return self._reply(
                RelayStatus.declined, 'this proxy is no home of the member'
            )
        if not self._view.accepts_work(member):
            return self._reply(RelayStatus.not_run, 'the member is leaving')
        try:
            connection = await self._pools.acquire(
                member,
                request.values,
                deadline - _MIN_TIME_S,
                context=request.context,
                for_other_proxy=True,
            )
        except NoConnectionError as error:
            return self._reply(
                RelayStatus.unreachable
                if self._pools.link(member).is_suspect
                else RelayStatus.not_run,
                str(error),
                retry_after_s=error.refusal.retry_after_s,
            )
        return await self._run_on(connection, member, request, deadline)

    async def _run_on(
        self,
        connection: PooledSession,
        member: MemberEntry,
        request: RelayRequest,
        deadline: float,
    ) -> RelayReply:
        keep = False
        try:
            reply = await self._run_statement(connection, request, deadline)
            begins = isinstance(request.statement, RelayedBegin)
            keep = begins and connection.phase == Phase.in_transaction
        finally:
            if not keep:
                await self._pools.release(connection)
        if not keep:
            return reply
        number = next(self._numbers)
        self._transactions[number] = RelayedTransaction(
            connection=connection, used_at=self._clock()
        )
        if self._is_ending_transactions:
            await self._end(number)
        return self._with_transaction(reply, number)

    async def _run_in_transaction(
        self, request: RelayRequest, deadline: float
    ) -> RelayReply:
        number = request.transaction
        transaction = self._transactions.get(number or 0)
        if transaction is None or transaction.used_at is None:
            return await self._abandon(number)
        transaction.used_at = None
        try:
            return await self._run_statement(
                transaction.connection, request, deadline
            )
        finally:
            transaction.used_at = self._clock()
            await self._settle(number or 0, transaction)

    async def _abandon(self, number: int | None) -> RelayReply:
        """Roll a transaction back that its proxy has given up."""
        transaction = self._transactions.get(number or 0)
        if transaction is not None and transaction.used_at is None:
            transaction.is_abandoned = True
        elif transaction is not None:
            await self._end(number or 0)
        return self._unknown_transaction()

    async def _settle(
        self, number: int, transaction: RelayedTransaction
    ) -> None:
        """Release the connection of a transaction that has ended."""
        connection = transaction.connection
        if connection.is_broken or connection.phase == Phase.idle:
            self._transactions.pop(number, None)
            await self._pools.release(connection)
        elif transaction.is_abandoned or self._is_ending_transactions:
            await self._end(number)

    async def _run_statement(
        self, connection: PooledSession, request: RelayRequest, deadline: float
    ) -> RelayReply:
        if isinstance(request.statement, RelayedStatus):
            return await self._report(connection, deadline)
        state, statement = _decode(request)
        try:
            answer = await connection.run(
                statement,
                state=state,
                timeout_s=deadline - self._clock(),
                request_id=request.request_id,
                after=request.after,
            )
        except (NoTimeError, NotPreparedError) as error:
            return self._reply(RelayStatus.not_run, str(error))
        except AnswerLostError as error:
            return self._lost(connection, error)
        return self._answered(answer)

    async def _report(
        self, connection: PooledSession, deadline: float
    ) -> RelayReply:
        try:
            report = await connection.report(timeout_s=deadline - self._clock())
        except AnswerLostError as error:
            return self._lost(connection, error)
        if isinstance(report, MemberReport):
            return RelayReply(
                status=RelayStatus.answered,
                now_ms=self.now_ms(),
                report=report,
                running_ms=self._running_ms(connection),
            )
        return RelayReply(
            status=RelayStatus.answered,
            now_ms=self.now_ms(),
            code=report.code,
            text=report.text,
        )

    def _running_ms(self, connection: PooledSession) -> int:
        """Return how long the member of a report has run, in milliseconds."""
        running_s = self._clock() - connection.member_running_since
        return int(max(0, running_s) * _MS_PER_S)

    async def _end(self, number: int) -> None:
        transaction = self._transactions.pop(number, None)
        if transaction is None:
            return
        # The connection is closed, which makes the member roll back. A ROLLBACK
        # would need the session's values, of which only its proxy knows all.
        with anyio.CancelScope(shield=True):
            await self._pools.drop(transaction.connection)

    def _lost(
        self, connection: PooledSession, error: AnswerLostError
    ) -> RelayReply:
        is_suspect = connection.link.is_suspect
        status = RelayStatus.lost if is_suspect else RelayStatus.expired
        return self._reply(status, str(error))

    def _answered(self, answer: SessionAnswer) -> RelayReply:
        outcome = answer.outcome
        match outcome:
            case Completed(signature=signature):
                return RelayReply(
                    status=RelayStatus.answered,
                    now_ms=self.now_ms(),
                    signature=signature,
                    rows=answer.rows,
                    phase=answer.phase,
                    position=answer.position,
                )
            case Refused(code=code, text=text):
                return RelayReply(
                    status=RelayStatus.answered,
                    now_ms=self.now_ms(),
                    code=code,
                    text=text,
                    phase=answer.phase,
                    position=answer.position,
                )

    def _unknown_transaction(self) -> RelayReply:
        """Refuse a statement whose transaction this home does not hold."""
        return RelayReply(
            status=RelayStatus.answered,
            now_ms=self.now_ms(),
            code=RefusalCode.aborted,
            text='the home has rolled the transaction back; begin it again',
        )

    def _with_transaction(self, reply: RelayReply, number: int) -> RelayReply:
        return RelayReply(
            status=reply.status,
            now_ms=reply.now_ms,
            phase=reply.phase,
            position=reply.position,
            transaction=number,
        )

    def _reply(
        self,
        status: RelayStatus,
        text: str,
        *,
        retry_after_s: float = 0,
    ) -> RelayReply:
        return RelayReply(
            status=status,
            now_ms=self.now_ms(),
            text=text,
            retry_after_ms=round(retry_after_s * _MS_PER_S),
        )


def _decode(request: RelayRequest) -> tuple[SessionState, Statement]:
    """Return the state of the session, and its statement."""
    state = SessionState(values=request.values)
    match request.statement:
        case RelayedBegin(read_only=read_only):
            return state, Begin(read_only=read_only)
        case RelayedCommit():
            return state, Commit()
        case RelayedRollback():
            return state, Rollback()
        case RelayedRead(item=item):
            return state, Read(item=item)
        case RelayedWrite(item=item, content=content):
            return state, Write(item=item, content=content)
        case RelayedExecute(
            item=item, content=content, writes=writes, text=text
        ):
            access = AccessKind.write if writes else AccessKind.read
            shape = Shape(access=access, text=text)
            state = SessionState(
                values=request.values, prepared={_EXECUTE_NAME: shape}
            )
            return state, Execute(
                name=_EXECUTE_NAME, item=item, content=content
            )
        case unknown:
            raise TypeError(f'{unknown!r} is no statement')
