"""Connections to members that speak in sessions, shared by all callers."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from lavendergate.backends.sessions import (
    AnswerLostError,
    MemberDialer,
    MemberRefusedError,
    MemberSession,
    MemberUnreachableError,
)
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.sessions.statements import (
    MemberReport,
    Phase,
    RefusalCode,
    Refused,
    ReportStatus,
    SessionAnswer,
    Statement,
)
from lavendergate.core.types import LogPosition, UpstreamId
from lavendergate.observability.exposition import SessionMetrics
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent

# Pause after a member refused a connection because of its limit, and
# between attempts to reach a member that failed, in seconds.
_REDIAL_S = 0.25
# Connections beyond this number are closed when unused this long, in
# seconds. Members hold connections of hosts that lost power for a while, so
# some of their limit must stay free for a restart.
_KEPT_IDLE = 1
_SURPLUS_IDLE_S = 1.0
_TRIM_INTERVAL_S = 0.5
_PROBE_TIMEOUT_S = 0.8
# Less time is not enough for any statement, in seconds.
_SHORTEST_RUN_S = 0.02
# A member that does not answer within this time is suspected, in seconds.
_TELLING_TIMEOUT_S = 0.3
# Weight of the latest answer in the smoothed latency.
_SMOOTHING = 0.2
# Transactions that write hold connections to the primary between their
# statements, so a host may go this far beyond its share there while others
# use less of theirs.
_PRIMARY_BORROWING = 2
# Assumed before the first answer, in seconds.
_FIRST_LATENCY_S = 0.03
_MS_PER_S = 1000


class NoConnectionError(Exception):
    """No connection was free in time, so nothing ran.

    Parameters
    ----------
    refusal
        What to tell the caller.
    """

    def __init__(self, *, refusal: Refused) -> None:
        super().__init__(refusal.text)
        self.refusal = refusal


class NoTimeError(NoConnectionError):
    """Too little time was left to send a statement, so nothing ran."""

    def __init__(self) -> None:
        super().__init__(
            refusal=Refused(
                code=RefusalCode.busy, text='no time was left to run it'
            )
        )


@dataclass(kw_only=True, slots=True, eq=False)
class PooledSession:
    """A connection and what is set on it.

    Parameters
    ----------
    values, prepared
        Session values, and names of prepared statements, on the connection.
    is_broken
        Whether an answer was lost; the connection is not used again.
    """

    session: MemberSession
    link: 'MemberLink'
    values: dict[str, str] = field(default_factory=dict)
    prepared: set[str] = field(default_factory=set)
    phase: Phase = Phase.idle
    is_broken: bool = False
    used_at: float = 0

    async def run(
        self,
        statement: Statement,
        *,
        timeout_s: float,
        request_id: str | None = None,
        after: LogPosition | None = None,
    ) -> SessionAnswer:
        """Run a statement, and learn from the answer.

        Raises
        ------
        AnswerLostError
            If no complete answer arrived in time.
        NoTimeError
            If the time would not do, so that nothing was sent.
        """
        if timeout_s < _SHORTEST_RUN_S:
            raise NoTimeError
        link = self.link
        started_at = link.begin()
        self.is_broken = True
        try:
            with anyio.fail_after(timeout_s):
                answer = await self.session.run(
                    statement, request_id=request_id, after=after
                )
        except TimeoutError as error:
            # A statement with little time left says nothing about the
            # member.
            if timeout_s >= _TELLING_TIMEOUT_S:
                link.fail(f'no answer within {timeout_s:.2f} s')
            raise AnswerLostError('no answer in time') from error
        except AnswerLostError as error:
            link.fail(str(error))
            raise
        finally:
            link.end()
        self.is_broken = False
        self.phase = answer.phase
        link.learn(answer.position, started_at)
        outcome = answer.outcome
        if isinstance(outcome, Refused):
            if outcome.code == RefusalCode.no_statement:
                self.prepared.clear()
        return answer

    async def report(self, *, timeout_s: float) -> MemberReport | Refused:
        """Ask the member for its role and position."""
        link = self.link
        started_at = link.begin()
        self.is_broken = True
        try:
            with anyio.fail_after(timeout_s):
                report = await self.session.ask(ReportStatus())
        except (TimeoutError, AnswerLostError) as error:
            link.fail(str(error) or 'no report in time')
            raise AnswerLostError(str(error)) from error
        finally:
            link.end()
        self.is_broken = False
        link.learn(None, started_at)
        return report


class MemberLink:
    """Connections of this host to one member.

    Parameters
    ----------
    entry
        The member; a start under the same id is another member.
    clock
        Monotonic time, in seconds.
    events, metrics
        Where failures and answers are recorded.
    """

    def __init__(
        self,
        *,
        entry: MemberEntry,
        clock: Callable[[], float],
        events: EventLog,
        metrics: SessionMetrics,
    ) -> None:
        self._events = events
        self._metrics = metrics
        self.entry = entry
        self.idle: list[PooledSession] = []
        self.opened = 0
        self.in_flight = 0
        self.latency_s = _FIRST_LATENCY_S
        self.applied: LogPosition | None = None
        self.applied_at = float('-inf')
        self.answered_at = float('-inf')
        self.failing_since: float | None = None
        self.dial_after = float('-inf')
        self.is_closed = False
        self._clock = clock
        self._freed = anyio.Event()

    @property
    def is_suspect(self) -> bool:
        """Whether the member failed since its last answer."""
        return self.failing_since is not None

    def begin(self) -> float:
        """Count a statement and return the time."""
        self.in_flight += 1
        return self._clock()

    def end(self) -> None:
        """Stop counting a statement."""
        self.in_flight -= 1

    def learn(self, position: LogPosition | None, started_at: float) -> None:
        """Record an answer."""
        now = self._clock()
        self.answered_at = now
        if self.failing_since is not None:
            self._regain(now - self.failing_since)
        took_s = now - started_at
        self.latency_s += _SMOOTHING * (took_s - self.latency_s)
        member = self.entry.upstream_id
        self._metrics.member_seconds.labels(member).observe(took_s)
        if position is not None:
            self.applied = position
            self.applied_at = now

    def fail(self, reason: str) -> None:
        """Record that an answer or a connection was not had."""
        entry = self.entry
        self._metrics.member_failures.labels(entry.upstream_id).inc()
        if self.failing_since is None:
            self.failing_since = self._clock()
            self._events.emit(
                SessionEvent.member_suspected,
                upstream=entry.upstream_id,
                service=entry.service,
                reason=reason,
            )

    def notify(self) -> None:
        """Wake those who wait for a connection."""
        self._freed.set()
        self._freed = anyio.Event()

    def _regain(self, failed_s: float) -> None:
        self.failing_since = None
        self._events.emit(
            SessionEvent.member_regained,
            upstream=self.entry.upstream_id,
            service=self.entry.service,
            failed_ms=round(failed_s * _MS_PER_S),
        )

    async def wait(self, timeout_s: float) -> None:
        """Wait until a connection may be free."""
        freed = self._freed
        with anyio.move_on_after(timeout_s):
            await freed.wait()


class SessionPools:
    """Connections of this host to all members.

    Parameters
    ----------
    dialer
        Opens connections.
    tasks
        Task group for probes of members that failed.
    clock
        Monotonic time, in seconds.
    share
        Returns the connections that this host may keep to a member.
    events, metrics
        Where failures and answers are recorded.
    """

    def __init__(
        self,
        *,
        dialer: MemberDialer,
        tasks: TaskGroup,
        clock: Callable[[], float],
        share: Callable[[MemberEntry], int],
        events: EventLog,
        metrics: SessionMetrics,
    ) -> None:
        self._events = events
        self._metrics = metrics
        self._dialer = dialer
        self._tasks = tasks
        self._clock = clock
        self._share = share
        self._links: dict[UpstreamId, MemberLink] = {}
        self._probing: set[UpstreamId] = set()

    @property
    def links(self) -> Mapping[UpstreamId, MemberLink]:
        """Links by member."""
        return self._links

    def link(self, entry: MemberEntry) -> MemberLink:
        """Return the link to a member."""
        link = self._links.get(entry.upstream_id)
        if link is not None and not _is_another(link.entry, entry):
            link.entry = entry
        else:
            if link is not None:
                self._discard(link)
            link = MemberLink(
                entry=entry,
                clock=self._clock,
                events=self._events,
                metrics=self._metrics,
            )
            self._links[entry.upstream_id] = link
        return link

    async def acquire(
        self, entry: MemberEntry, values: Mapping[str, str], deadline: float
    ) -> PooledSession:
        """Return a connection to a member.

        Parameters
        ----------
        values
            Values of the session; a connection with the same ones is taken
            first.
        deadline
            Until when to wait.

        Raises
        ------
        NoConnectionError
            If no connection was free in time.
        """
        link = self.link(entry)
        waits = self._metrics.connection_seconds.labels(entry.upstream_id)
        with waits.time():
            return await self._acquire(link, values, deadline)

    async def _acquire(
        self, link: MemberLink, values: Mapping[str, str], deadline: float
    ) -> PooledSession:
        while True:
            pooled = _take_idle(link, values)
            if pooled is None and self._may_open(link):
                pooled = await self._open(link, deadline)
            if pooled is not None:
                return pooled
            now = self._clock()
            if now >= deadline or link.is_closed:
                raise NoConnectionError(refusal=_busy(link.entry))
            until = deadline
            if now < link.dial_after:
                until = min(until, link.dial_after)
            await link.wait(max(0, until - now))

    def _may_open(self, link: MemberLink) -> bool:
        limit = self._share(link.entry)
        if link.entry.is_primary:
            limit *= _PRIMARY_BORROWING
        return link.opened < limit and self._clock() >= link.dial_after

    async def release(self, pooled: PooledSession) -> None:
        """Give a connection back."""
        link = pooled.link
        is_usable = not pooled.is_broken and pooled.phase == Phase.idle
        if not is_usable:
            await self.drop(pooled)
            return
        if link.is_closed:
            await self.drop(pooled)
            return
        pooled.used_at = self._clock()
        link.idle.append(pooled)
        link.notify()

    async def drop(self, pooled: PooledSession) -> None:
        """Close a connection."""
        link = pooled.link
        link.opened -= 1
        link.notify()
        if link.is_suspect:
            self._suspect(link)
        with anyio.CancelScope(shield=True):
            await pooled.session.close()

    async def run(self) -> None:
        """Close connections that are not needed, until cancelled."""
        while True:
            await anyio.sleep(_TRIM_INTERVAL_S)
            for link in tuple(self._links.values()):
                await self._trim(link)

    def forget(self, upstream_id: UpstreamId) -> None:
        """Close the idle connections to a member that is gone."""
        link = self._links.pop(upstream_id, None)
        if link is not None:
            self._discard(link)

    async def _open(
        self, link: MemberLink, deadline: float
    ) -> PooledSession | None:
        link.opened += 1
        try:
            session, position = await self._dialer.dial(link.entry)
        except MemberRefusedError as error:
            link.opened -= 1
            self._refused(link, error.refusal, deadline)
            return None
        except MemberUnreachableError as error:
            link.opened -= 1
            link.dial_after = self._clock() + _REDIAL_S
            link.fail(str(error))
            self._suspect(link)
            raise NoConnectionError(
                refusal=Refused(code=RefusalCode.busy, text=str(error))
            ) from error
        except BaseException:
            link.opened -= 1
            raise
        if position is not None:
            link.applied = position
            link.applied_at = self._clock()
        return PooledSession(session=session, link=link, used_at=self._clock())

    def _refused(
        self, link: MemberLink, refusal: Refused, deadline: float
    ) -> None:
        link.dial_after = self._clock() + _REDIAL_S
        is_full = refusal.code == RefusalCode.connection_limit
        if is_full and self._clock() < deadline:
            return
        raise NoConnectionError(refusal=refusal)

    def _suspect(self, link: MemberLink) -> None:
        """Drop idle connections, which may be silent, and probe anew."""
        idle, link.idle = link.idle, []
        for pooled in idle:
            self._tasks.start_soon(self.drop, pooled)
        upstream_id = link.entry.upstream_id
        if upstream_id not in self._probing and not link.is_closed:
            self._probing.add(upstream_id)
            self._tasks.start_soon(self._probe, link)

    async def _probe(self, link: MemberLink) -> None:
        try:
            while link.is_suspect and not link.is_closed:
                await self._probe_once(link)
                await anyio.sleep(_REDIAL_S)
        finally:
            self._probing.discard(link.entry.upstream_id)
        link.notify()

    async def _probe_once(self, link: MemberLink) -> None:
        deadline = self._clock() + _PROBE_TIMEOUT_S
        try:
            pooled = await self.acquire(link.entry, {}, deadline)
        except NoConnectionError:
            return
        try:
            await pooled.report(timeout_s=_PROBE_TIMEOUT_S)
        except AnswerLostError:
            # The link has recorded the failure.
            await anyio.lowlevel.checkpoint()
        finally:
            await self.release(pooled)

    async def _trim(self, link: MemberLink) -> None:
        now = self._clock()
        for pooled in tuple(link.idle):
            is_surplus = link.opened > _KEPT_IDLE
            if is_surplus and now - pooled.used_at >= _SURPLUS_IDLE_S:
                link.idle.remove(pooled)
                await self.drop(pooled)

    def _discard(self, link: MemberLink) -> None:
        link.is_closed = True
        idle, link.idle = link.idle, []
        for pooled in idle:
            self._tasks.start_soon(self.drop, pooled)
        link.notify()


def _take_idle(
    link: MemberLink, values: Mapping[str, str]
) -> PooledSession | None:
    if not link.idle:
        return None
    for pooled in reversed(link.idle):
        if pooled.values == values:
            link.idle.remove(pooled)
            return pooled
    return link.idle.pop()


def _is_another(known: MemberEntry, entry: MemberEntry) -> bool:
    return (known.born, known.address, known.service) != (
        entry.born,
        entry.address,
        entry.service,
    )


def _busy(entry: MemberEntry) -> Refused:
    return Refused(
        code=RefusalCode.busy,
        text=f'no connection to {entry.upstream_id} is free; try again',
    )
