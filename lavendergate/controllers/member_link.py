"""Connections to one member, and what their answers tell about it."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from lavendergate.backends.sessions import AnswerLostError, MemberSession
from lavendergate.controllers.waiters import Signal
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
from lavendergate.core.types import LogPosition
from lavendergate.observability.exposition import SessionMetrics
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent

# Less time is not enough for any statement, in seconds.
_SHORTEST_RUN_S = 0.02
# A member that does not answer within this time is suspected, in seconds.
_TELLING_TIMEOUT_S = 0.3
# Weight of the latest answer in the smoothed latency.
_SMOOTHING = 0.2
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
        self._freed = Signal()

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
        self._freed.notify()

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
        await self._freed.wait(timeout_s)
