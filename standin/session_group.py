"""An in-memory replicated group that executes statements of sessions.

Its members implement the interfaces of `lavendergate.backends.sessions`, so
that tests can simulate failures without sockets: members that crash, stop
answering, lose answers, replicate nothing, leave, or restart without data.
"""

import itertools
from dataclasses import dataclass, field

import anyio

from lavendergate.backends.sessions import (
    AnswerLostError,
    MemberAbsentError,
    MemberDialer,
    MemberRefusedError,
    MemberSession,
    MemberUnreachableError,
    ReportRequest,
)
from lavendergate.core.fleet_directory import MemberAvailability, MemberEntry
from lavendergate.core.sessions.context import (
    SYSTEM_CONTEXT,
    StatementContext,
)
from lavendergate.core.sessions.statements import (
    AccessKind,
    Begin,
    Commit,
    Completed,
    DemotePrimary,
    Execute,
    Forget,
    MemberReport,
    PauseReplication,
    Phase,
    Prepare,
    Read,
    RefusalCode,
    Refused,
    ResetSession,
    ResumeReplication,
    Rollback,
    SessionAnswer,
    SetValue,
    Shape,
    Statement,
    Write,
)
from lavendergate.core.types import (
    FailureDomain,
    GroupId,
    LogPosition,
    Term,
    UpstreamId,
)

DEFAULT_CONNECTIONS = 16
_CRASH_CHECK_S = 0.005


@dataclass(frozen=True, kw_only=True)
class LogEntry:
    """A committed transaction with its writes, as items and contents."""

    position: LogPosition
    writes: tuple[tuple[str, str], ...]


@dataclass(frozen=True, kw_only=True)
class Execution:
    """A statement that a member executed, and the state of its connection."""

    request_id: str | None
    statement: Statement
    values: dict[str, str]
    in_transaction: bool


@dataclass(kw_only=True, eq=False)
class Member:
    """State of one member; tests set its fields to inject faults.

    Parameters
    ----------
    entry
        The announced identity of the member.
    log
        Entries that it received.
    applied
        Number of entries that it applied.
    is_primary
        Whether it accepts writes.
    term
        Highest term that it knows.
    paused_term
        Term for which replication is paused, 0 if it isn't paused.
    is_silent, is_malformed
        Whether it never answers, or answers status requests with something
        that raises an unexpected error.
    is_replication_cut
        Whether it receives no entries from the primary.
    is_apply_stopped
        Whether it receives entries without applying them.
    lost_answers
        Number of next data statements whose answers it will lose after
        executing them.
    refusals
        Codes with which it will refuse the next data statements.
    connections
        Number of open connections.
    executions
        Data statements that it executed.
    question_count
        Number of status, pause and resume requests that it received.
    statement_s
        Time that it takes to execute a data statement, in seconds.
    running
        Number of data statements that it is executing.
    crashes
        Number of times that it went down, which ended its connections.
    """

    entry: MemberEntry
    log: list[LogEntry] = field(default_factory=list)
    applied: int = 0
    is_primary: bool = False
    term: Term = Term(1)
    paused_term: Term = Term(0)
    is_silent: bool = False
    is_malformed: bool = False
    is_replication_cut: bool = False
    is_apply_stopped: bool = False
    lost_answers: int = 0
    refusals: list[RefusalCode] = field(default_factory=list)
    connections: int = 0
    executions: list[Execution] = field(default_factory=list)
    question_count: int = 0
    statement_s: float = 0
    running: int = 0
    crashes: int = field(default=0, init=False)
    _is_down: bool = field(default=False, init=False)

    @property
    def is_down(self) -> bool:
        """Whether it refuses connections; its earlier ones have ended."""
        return self._is_down

    @is_down.setter
    def is_down(self, is_down: bool) -> None:
        self.crashes += is_down and not self._is_down
        self._is_down = is_down

    @property
    def received(self) -> LogPosition:
        """Last position that the member received."""
        if not self.log:
            return LogPosition(term=Term(1), position=0)
        return self.log[-1].position

    @property
    def position(self) -> LogPosition:
        """Last position that the member applied."""
        if not self.applied:
            return LogPosition(term=Term(1), position=0)
        return self.log[self.applied - 1].position

    def content(self, item: str) -> str:
        """Return the applied content of an item."""
        content = ''
        for entry in self.log[: self.applied]:
            content = dict(entry.writes).get(item, content)
        return content


class SessionGroup:
    """Members of one service; the first one is the initial primary.

    Parameters
    ----------
    names
        Upstream ids of the members.
    service
        Name of the service.
    former_primary_continues
        Whether a primary that a promotion replaced still considers itself
        the primary of its term until it is demoted.
    synchronous_replicas
        Replicas that receive a transaction before it is acknowledged.
    waits_for_replicas
        Whether a commit that too few replicas have received is not answered.
    """

    def __init__(
        self,
        *,
        names: tuple[str, ...],
        service: str = 'rounds',
        former_primary_continues: bool = False,
        synchronous_replicas: int = 1,
        waits_for_replicas: bool = False,
    ) -> None:
        self.waits_for_replicas = waits_for_replicas
        self.service = GroupId(service)
        self.former_primary_continues = former_primary_continues
        self.synchronous_replicas = synchronous_replicas
        # Addresses that drop every packet.
        self.silent_addresses: set[str] = set()
        self.term = Term(1)
        self.max_connections = DEFAULT_CONNECTIONS
        self.members: dict[UpstreamId, Member] = {}
        for name in names:
            self._add(name)
        self._positions = itertools.count(1)
        self._signatures = itertools.count(1)

    def join(self, name: str) -> Member:
        """Add a replica that has received what the primary has."""
        log = list(self.primary.log)
        member = self._add(name)
        member.log = log
        member.applied = len(log)
        member.term = self.term
        return member

    def _add(self, name: str) -> Member:
        number = len(self.members) + 1
        member = Member(
            entry=MemberEntry(
                upstream_id=UpstreamId(name),
                service=self.service,
                address=f'10.0.0.{number}:80',
                failure_domain=FailureDomain(f'domain-{number}'),
                slots=2,
                availability=MemberAvailability.ready,
                is_primary=number == 1,
                born=1,
                sequence=1,
            ),
            is_primary=number == 1,
        )
        self.members[UpstreamId(name)] = member
        return member

    @property
    def primary(self) -> Member:
        """Member that is the primary of the newest term."""
        return max(
            (member for member in self.members.values() if member.is_primary),
            key=lambda member: member.term,
        )

    def member(self, name: str) -> Member:
        """Return a member by its id."""
        return self.members[UpstreamId(name)]

    def commit(self, primary: Member, writes: dict[str, str]) -> bool:
        """Append a transaction to the primary and its replicas.

        Returns
        -------
        bool
            Whether enough replicas received it.
        """
        position = LogPosition(
            term=primary.term, position=next(self._positions)
        )
        entry = LogEntry(position=position, writes=tuple(writes.items()))
        primary.log.append(entry)
        primary.applied = len(primary.log)
        received = 0
        for replica in self.members.values():
            if self._follows(replica, primary) and self.receives(replica):
                replica.log = list(primary.log)
                received += 1
                if not replica.is_apply_stopped:
                    replica.applied = len(replica.log)
        return received >= self.synchronous_replicas

    def restart(self, replica: Member) -> None:
        """Start a replica that crashed; it receives what it has missed."""
        replica.paused_term = Term(0)
        replica.is_down = False
        source = next(
            member
            for member in self.members.values()
            if member.is_primary and self._follows(replica, member)
        )
        if self.receives(replica):
            replica.log = list(source.log)
            replica.applied = len(replica.log)

    def receives(self, replica: Member) -> bool:
        """Return whether a replica receives new entries."""
        is_cut = replica.is_down or replica.is_replication_cut
        return not (is_cut or replica.paused_term)

    def promote(self, name: str) -> None:
        """Make a member the primary of a new term with the log it received."""
        self.term = Term(self.term + 1)
        for member in self.members.values():
            if not (member.is_primary and self.former_primary_continues):
                member.is_primary = False
                member.term = self.term
        new_primary = self.member(name)
        new_primary.is_primary = True
        new_primary.term = self.term
        new_primary.paused_term = Term(0)
        new_primary.applied = len(new_primary.log)

    def demote(self, member: Member, term: Term) -> None:
        """Make the primary of a lower term a replica of the newest primary."""
        if member.is_primary and member.term < term:
            member.is_primary = False
            member.term = self.term
            member.log = list(self.primary.log)
            member.applied = len(member.log)

    def _follows(self, replica: Member, primary: Member) -> bool:
        return not replica.is_primary and replica.term <= primary.term

    def next_signature(self) -> str:
        """Return a new signature for the execution of a statement."""
        return f'proof-{next(self._signatures)}'


class GroupDialer(MemberDialer):
    """Opens connections to the members of groups.

    Parameters
    ----------
    groups
        The groups.
    """

    def __init__(self, *, groups: tuple[SessionGroup, ...]) -> None:
        self._groups = {group.service: group for group in groups}
        self.dial_count = 0

    async def dial(
        self,
        member: MemberEntry,
        context: StatementContext = SYSTEM_CONTEXT,
    ) -> tuple[MemberSession, LogPosition | None]:
        """Open a connection and return it with the applied position."""
        await anyio.lowlevel.checkpoint()
        group = self._groups[member.service]
        target = group.members.get(member.upstream_id)
        if target is not None and target.is_down:
            raise MemberAbsentError(f'{member.upstream_id} is down')
        if target is None or target.entry.address != member.address:
            raise self._find_other(group, member)
        if target.is_silent:
            raise MemberUnreachableError(f'{member.upstream_id} is silent')
        if target.connections >= group.max_connections:
            raise MemberRefusedError(
                refusal=Refused(code=RefusalCode.connection_limit)
            )
        self.dial_count += 1
        target.connections += 1
        return GroupSession(group=group, member=target), target.position

    def _find_other(
        self, group: SessionGroup, member: MemberEntry
    ) -> MemberRefusedError | MemberUnreachableError:
        """Return the error for an address without that member."""
        for other in group.members.values():
            if other.entry.address == member.address and not other.is_down:
                return MemberRefusedError(
                    refusal=Refused(code=RefusalCode.misrouted)
                )
        if member.address in group.silent_addresses:
            return MemberUnreachableError(f'{member.address} is silent')
        return MemberAbsentError(f'nobody listens at {member.address}')


class GroupSession(MemberSession):
    """A connection to a member."""

    def __init__(self, *, group: SessionGroup, member: Member) -> None:
        self._group = group
        self._member = member
        self._crashes = member.crashes
        self._values: dict[str, str] = {}
        self._prepared: dict[str, Shape] = {}
        self._phase = Phase.idle
        self._writes: dict[str, str] = {}
        self._is_write_transaction = False
        self._is_unconfirmed = False
        self._is_closed = False

    async def run(
        self,
        statement: Statement,
        *,
        request_id: str | None = None,
        after: LogPosition | None = None,
    ) -> SessionAnswer:
        """Execute a statement, or apply the next fault of the member."""
        await self._check_connection()
        member = self._member
        is_data = isinstance(statement, (Read, Write, Execute, Commit, Begin))
        if is_data and member.statement_s:
            member.running += 1
            try:
                await anyio.sleep(member.statement_s)
            finally:
                member.running -= 1
        if is_data and member.refusals:
            return self._refuse(member.refusals.pop(0))
        if after is not None and member.position < after:
            return self._refuse(RefusalCode.lagging)
        answer = self._execute(statement, request_id)
        if self._is_unconfirmed and self._group.waits_for_replicas:
            await anyio.sleep_forever()
        if is_data and member.lost_answers:
            member.lost_answers -= 1
            raise AnswerLostError('the answer was lost')
        return answer

    async def request_report(
        self, request: ReportRequest
    ) -> MemberReport | Refused:
        """Report the status, after pausing or resuming replication if asked.

        A pause for a term that is not above the group's is ignored.
        """
        await self._check_connection()
        member = self._member
        if member.is_malformed:
            raise ValueError('the answer cannot be read')
        member.question_count += 1
        match request:
            case PauseReplication(term=term) if term > self._group.term:
                member.paused_term = term
            case ResumeReplication():
                member.paused_term = Term(0)
            case DemotePrimary(term=term):
                self._group.demote(member, term)
            case _:
                await anyio.lowlevel.checkpoint()
        return MemberReport(
            is_primary=member.is_primary,
            term=member.term,
            received=member.received,
            paused_term=member.paused_term,
            lag_ms=0,
            busy=0,
            connections=member.connections,
        )

    async def wait_until_lost(self) -> None:
        """Wait until the member crashes."""
        while self._member.crashes == self._crashes:
            await anyio.sleep(_CRASH_CHECK_S)

    async def close(self) -> None:
        """Close the connection."""
        if not self._is_closed:
            self._is_closed = True
            self._member.connections -= 1

    async def _check_connection(self) -> None:
        await anyio.lowlevel.checkpoint()
        if self._member.is_silent:
            await anyio.sleep_forever()
        has_crashed = self._member.crashes != self._crashes
        if has_crashed or self._is_closed:
            raise AnswerLostError(
                'the member is down or the connection was closed'
            )

    def _execute(
        self, statement: Statement, request_id: str | None
    ) -> SessionAnswer:
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
            case Begin(read_only=read_only):
                if not (read_only or self._member.is_primary):
                    return self._refuse(RefusalCode.read_only)
                self._phase = Phase.in_transaction
                self._is_write_transaction = not read_only
                self._writes = {}
            case Rollback():
                self._phase = Phase.idle
                self._writes = {}
            case _:
                return self._execute_data(statement, request_id)
        return self._done()

    def _execute_data(
        self, statement: Statement, request_id: str | None
    ) -> SessionAnswer:
        member = self._member
        if isinstance(statement, Execute):
            if statement.name not in self._prepared:
                return self._refuse(RefusalCode.no_statement)
        if self._is_write_transaction and not member.is_primary:
            if self._phase == Phase.in_transaction:
                return self._refuse(RefusalCode.read_only)
        is_write = self._is_write(statement)
        if is_write and not member.is_primary:
            return self._refuse(RefusalCode.read_only)
        member.executions.append(
            Execution(
                request_id=request_id,
                statement=statement,
                values=dict(self._values),
                in_transaction=self._phase == Phase.in_transaction,
            )
        )
        match statement:
            case Commit():
                return self._commit()
            case Read(item=item) | Execute(item=item, content=None):
                rows = (member.content(item),)
                return self._done(rows, signed=True)
            case Write(item=item, content=content):
                return self._write(item, content)
            case Execute(item=item, content=content):
                return self._write(item, content or '')
            case _:
                return self._refuse(RefusalCode.malformed)

    def _is_write(self, statement: Statement) -> bool:
        match statement:
            case Write():
                return True
            case Execute(name=name):
                return self._prepared[name].access == AccessKind.write
            case _:
                return False

    def _write(self, item: str, content: str) -> SessionAnswer:
        if self._phase == Phase.in_transaction:
            self._writes[item] = content
            return self._done(signed=True)
        self._append({item: content})
        return self._done(signed=True)

    def _commit(self) -> SessionAnswer:
        writes, self._writes = self._writes, {}
        self._phase = Phase.idle
        if writes:
            self._append(writes)
        return self._done(signed=True)

    def _append(self, writes: dict[str, str]) -> None:
        self._is_unconfirmed = not self._group.commit(self._member, writes)

    def _done(
        self, rows: tuple[str, ...] = (), *, signed: bool = False
    ) -> SessionAnswer:
        signature = self._group.next_signature() if signed else None
        return SessionAnswer(
            outcome=Completed(signature=signature),
            phase=self._phase,
            rows=rows,
            position=self._member.position,
        )

    def _refuse(self, code: RefusalCode) -> SessionAnswer:
        if self._phase == Phase.in_transaction and code != RefusalCode.busy:
            self._phase = Phase.failed
        return SessionAnswer(
            outcome=Refused(code=code, text=self._member.entry.upstream_id),
            phase=self._phase,
            position=self._member.position,
        )
