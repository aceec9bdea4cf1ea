"""A replicated group in memory that speaks in sessions and statements.

Its members implement the port of `lavendergate.backends.sessions`, so tests
play failures without sockets: members that crash, go silent, lose answers,
replicate nothing, leave, or start again empty.
"""

import itertools
from dataclasses import dataclass, field

import anyio

from lavendergate.backends.sessions import (
    AnswerLostError,
    MemberDialer,
    MemberRefusedError,
    MemberSession,
    MemberUnreachableError,
    ReportRequest,
)
from lavendergate.core.fleet_directory import MemberAvailability, MemberEntry
from lavendergate.core.sessions.statements import (
    AccessKind,
    Begin,
    Commit,
    Completed,
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


@dataclass(frozen=True, kw_only=True)
class LogEntry:
    """A committed transaction."""

    position: LogPosition
    writes: tuple[tuple[str, str], ...]


@dataclass(frozen=True, kw_only=True)
class Run:
    """A statement that a member ran, and on what connection."""

    request_id: str | None
    statement: Statement
    values: dict[str, str]
    in_transaction: bool


@dataclass(kw_only=True, eq=False)
class Member:
    """One member; tests set its faults.

    Parameters
    ----------
    entry
        What the member announces.
    log
        What it received.
    applied
        Number of entries that it applied.
    is_down, is_silent
        Whether it refuses connections, or answers nothing.
    is_deaf
        Whether it receives nothing from the primary.
    lost_answers
        Number of answers to data statements that it will lose after
        running them.
    refusals
        Codes with which it will refuse the next statements.
    """

    entry: MemberEntry
    log: list[LogEntry] = field(default_factory=list)
    applied: int = 0
    is_primary: bool = False
    paused_term: Term = Term(0)
    is_down: bool = False
    is_silent: bool = False
    is_deaf: bool = False
    lags: bool = False
    lost_answers: int = 0
    refusals: list[RefusalCode] = field(default_factory=list)
    connections: int = 0
    runs: list[Run] = field(default_factory=list)
    questions: int = 0

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
        found = ''
        for entry in self.log[: self.applied]:
            found = dict(entry.writes).get(item, found)
        return found


class SessionGroup:
    """Members of one service, the first one as primary.

    Parameters
    ----------
    names
        Ids of the members.
    service
        Name of the service.
    """

    def __init__(
        self, *, names: tuple[str, ...], service: str = 'rounds'
    ) -> None:
        self.service = GroupId(service)
        self.term = Term(1)
        self.max_connections = DEFAULT_CONNECTIONS
        self.members = {
            UpstreamId(name): Member(
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
            for number, name in enumerate(names, 1)
        }
        self._numbers = itertools.count(1)
        self._signatures = itertools.count(1)

    @property
    def primary(self) -> Member:
        """Member that leads."""
        return next(
            member for member in self.members.values() if member.is_primary
        )

    def member(self, name: str) -> Member:
        """Return a member by its id."""
        return self.members[UpstreamId(name)]

    def commit(self, primary: Member, writes: dict[str, str]) -> bool:
        """Append a transaction; return whether a replica received it."""
        position = LogPosition(term=self.term, position=next(self._numbers))
        entry = LogEntry(position=position, writes=tuple(writes.items()))
        primary.log.append(entry)
        primary.applied = len(primary.log)
        received = False
        for replica in self.members.values():
            if replica is not primary and self.receives(replica):
                replica.log = list(primary.log)
                received = True
                if not replica.lags:
                    replica.applied = len(replica.log)
        return received

    def receives(self, replica: Member) -> bool:
        """Return whether a replica receives what is committed."""
        is_cut = replica.is_down or replica.is_deaf
        return not (is_cut or replica.paused_term)

    def promote(self, name: str) -> None:
        """Make a member the primary with what it received."""
        self.term = Term(self.term + 1)
        for member in self.members.values():
            member.is_primary = False
        chosen = self.member(name)
        chosen.is_primary = True
        chosen.paused_term = Term(0)
        chosen.applied = len(chosen.log)

    def signature(self) -> str:
        """Return the proof of a run."""
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
        self.dialed = 0

    async def dial(
        self, member: MemberEntry
    ) -> tuple[MemberSession, LogPosition | None]:
        """Open a connection."""
        await anyio.lowlevel.checkpoint()
        group = self._groups[member.service]
        known = group.members.get(member.upstream_id)
        if known is None or known.is_down or known.is_silent:
            raise MemberUnreachableError(f'{member.upstream_id} is down')
        if known.connections >= group.max_connections:
            raise MemberRefusedError(
                refusal=Refused(code=RefusalCode.connection_limit)
            )
        self.dialed += 1
        known.connections += 1
        return GroupSession(group=group, member=known), known.position


class GroupSession(MemberSession):
    """A connection to a member."""

    def __init__(self, *, group: SessionGroup, member: Member) -> None:
        self._group = group
        self._member = member
        self._values: dict[str, str] = {}
        self._prepared: dict[str, Shape] = {}
        self._phase = Phase.idle
        self._writes: dict[str, str] = {}
        self._was_primary = False
        self._is_closed = False

    async def run(
        self,
        statement: Statement,
        *,
        request_id: str | None = None,
        after: LogPosition | None = None,
    ) -> SessionAnswer:
        """Run a statement."""
        await self._reach()
        member = self._member
        is_data = isinstance(statement, (Read, Write, Execute, Commit, Begin))
        if is_data and member.refusals:
            return self._refuse(member.refusals.pop(0))
        if after is not None and member.position < after:
            return self._refuse(RefusalCode.lagging)
        answer = self._perform(statement, request_id)
        if is_data and member.lost_answers:
            member.lost_answers -= 1
            raise AnswerLostError('the answer was lost')
        return answer

    async def request_report(
        self, request: ReportRequest
    ) -> MemberReport | Refused:
        """Ask for a report, or pause or resume the replica."""
        await self._reach()
        member = self._member
        member.questions += 1
        match request:
            case PauseReplication(term=term) if term > self._group.term:
                member.paused_term = term
            case ResumeReplication():
                member.paused_term = Term(0)
            case _:
                await anyio.lowlevel.checkpoint()
        return MemberReport(
            is_primary=member.is_primary,
            term=self._group.term,
            received=member.received,
            paused_term=member.paused_term,
            lag_ms=0,
            busy=0,
            connections=member.connections,
        )

    async def close(self) -> None:
        """Close the connection."""
        if not self._is_closed:
            self._is_closed = True
            self._member.connections -= 1

    async def _reach(self) -> None:
        await anyio.lowlevel.checkpoint()
        if self._member.is_silent:
            await anyio.sleep_forever()
        if self._member.is_down or self._is_closed:
            raise AnswerLostError('the connection is gone')

    def _perform(
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
                self._was_primary = not read_only
                self._writes = {}
            case Rollback():
                self._phase = Phase.idle
                self._writes = {}
            case _:
                return self._perform_data(statement, request_id)
        return self._done()

    def _perform_data(
        self, statement: Statement, request_id: str | None
    ) -> SessionAnswer:
        member = self._member
        if isinstance(statement, Execute):
            if statement.name not in self._prepared:
                return self._refuse(RefusalCode.no_statement)
        if self._was_primary and not member.is_primary:
            if self._phase == Phase.in_transaction:
                return self._refuse(RefusalCode.read_only)
        is_write = self._is_write(statement)
        if is_write and not member.is_primary:
            return self._refuse(RefusalCode.read_only)
        member.runs.append(
            Run(
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
        self._group.commit(self._member, {item: content})
        return self._done(signed=True)

    def _commit(self) -> SessionAnswer:
        writes, self._writes = self._writes, {}
        self._phase = Phase.idle
        if writes:
            self._group.commit(self._member, writes)
        return self._done(signed=True)

    def _done(
        self, rows: tuple[str, ...] = (), *, signed: bool = False
    ) -> SessionAnswer:
        signature = self._group.signature() if signed else None
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
