"""Watches the members of all services from the leader of control."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from lavendergate.backends.sessions import (
    AnswerLostError,
    MemberDialer,
    MemberQuestion,
    MemberRefusedError,
    MemberSession,
    MemberUnreachableError,
)
from lavendergate.controllers.fleet_hub import FleetHub
from lavendergate.core.fleet_directory import (
    MemberAvailability,
    MemberEntry,
)
from lavendergate.core.primary_replacement import (
    MemberObservation,
    ReachabilityReport,
    ServiceObservation,
)
from lavendergate.core.sessions.statements import (
    MemberReport,
    Refused,
    ReportStatus,
)
from lavendergate.core.types import (
    LOG_START,
    NO_TERM,
    GroupId,
    LogPosition,
    Term,
    UpstreamId,
)
from lavendergate.rpc.fleet_service import PrimaryNotice

_INTERVAL_S = 0.4
_RETRY_S = 0.15
# Replicas matter once the primary fails, and are asked anew then.
_REPLICA_INTERVAL_S = 1.5
_QUESTION_TIMEOUT_S = 0.6
_UNANSWERED = (
    TimeoutError,
    AnswerLostError,
    MemberRefusedError,
    MemberUnreachableError,
)
_NEVER = float('-inf')


@dataclass(kw_only=True, slots=True)
class WatchedMember:
    """What the watcher knows about a member.

    Parameters
    ----------
    report
        Last report.
    answered_at, failing_since, behind_since
        See `MemberObservation`.
    target
        Position of the primary that the member has to reach next.
    followed_term
        Term of that primary.
    """

    entry: MemberEntry
    session: MemberSession | None = None
    lock: anyio.Lock
    report: MemberReport | None = None
    answered_at: float = _NEVER
    failing_since: float | None = None
    behind_since: float | None = None
    target: LogPosition | None = None
    followed_term: Term = NO_TERM

    def learn(self, report: MemberReport, now: float) -> None:
        """Record a report."""
        self.report = report
        self.answer(now)

    def compare(self, primary: MemberReport, now: float) -> None:
        """Set the next target, once the former one is reached.

        A replica that is paused receives nothing, and one that was resumed
        or follows another primary has just begun to.
        """
        report = self.report
        if report is None:
            return
        if report.paused_term or primary.term != self.followed_term:
            self.followed_term = primary.term
            self.target = None
            self.behind_since = None
        if report.paused_term:
            return
        if self.target is None or report.received >= self.target:
            is_behind = report.received < primary.received
            self.target = primary.received if is_behind else None
            self.behind_since = now if is_behind else None

    def answer(self, now: float) -> None:
        """Record that the member answered."""
        self.answered_at = now
        self.failing_since = None

    def fail(self, now: float) -> None:
        """Record that the member did not answer."""
        if self.failing_since is None:
            self.failing_since = now


class MemberWatch:
    """Asks all members for their status while this host leads.

    While no leader is known, as after a loss of power, each host asks the
    members that are believed to lead. Proxies need their positions for
    reads, and members may have no connection left for each proxy then.

    Parameters
    ----------
    hub
        Directory of the members.
    dialer
        Opens connections.
    clock
        Monotonic time, in seconds.
    real_clock
        Time that also passes while the host is suspended, in seconds.
    """

    def __init__(
        self,
        *,
        hub: FleetHub,
        dialer: MemberDialer,
        clock: Callable[[], float],
        real_clock: Callable[[], float],
    ) -> None:
        self._real_clock = real_clock
        self._hub = hub
        self._dialer = dialer
        self._clock = clock
        self._watched: dict[UpstreamId, WatchedMember] = {}
        self._primary_seen: dict[GroupId, float] = {}

    async def run(self) -> None:
        """Watch until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                if self._hub.is_leading or not self._hub.knows_leader:
                    self._start_missing(tasks)
                else:
                    self._watched = {}
                    self._primary_seen = {}
                await anyio.sleep(_RETRY_S)

    def observe(self, service: GroupId) -> ServiceObservation:
        """Return what is known about a service."""
        members = [
            watched
            for watched in self._watched.values()
            if watched.entry.service == service
        ]
        primary = _primary_among(members) or self._unseen_primary(service)
        return ServiceObservation(
            primary=primary,
            members=tuple(self._observation(known) for known in members),
            reports=tuple(
                ReachabilityReport(
                    reported_at=reported_at, reachable=reach.reachable
                )
                for reported_at, reach in self._hub.reports_of(service)
                if reach.upstream_id == primary
            ),
            departed_at=self._hub.departed_at(service),
            primary_seen_at=self._primary_seen.get(service),
        )

    def _unseen_primary(self, service: GroupId) -> UpstreamId | None:
        """Return the primary that other hosts saw, if it never answered."""
        believed = self._hub.believed_primary(service)
        watched = None if believed is None else self._watched.get(believed)
        is_unseen = watched is not None and watched.report is None
        return believed if is_unseen else None

    def is_complete(self, service: GroupId) -> bool:
        """Return whether all members of a service are being watched."""
        return all(
            entry.upstream_id in self._watched
            for entry in self._hub.directory.members_of(service)
        )

    async def ask(
        self, upstream_id: UpstreamId, question: MemberQuestion
    ) -> MemberReport | None:
        """Ask a member; None if it did not answer with a report."""
        watched = self._watched.get(upstream_id)
        if watched is None:
            return None
        try:
            with anyio.fail_after(_QUESTION_TIMEOUT_S):
                async with watched.lock:
                    return await self._ask(watched, question)
        except _UNANSWERED:
            # A connection may be silent although a new one would work.
            await self._close(watched)
            watched.fail(self._clock())
            return None

    async def _ask(
        self, watched: WatchedMember, question: MemberQuestion
    ) -> MemberReport | None:
        if watched.session is None:
            dialed = await self._dialer.dial(watched.entry)
            watched.session = dialed[0]
        asked_at = self._real_clock()
        report = await watched.session.ask(question)
        now = self._clock()
        if isinstance(report, Refused):
            watched.answer(now)
            return None
        primary = self._primary_report(watched.entry.service)
        watched.learn(report, now)
        if primary is not None and not report.is_primary:
            watched.compare(primary, now)
        if self._notice(watched, report, now):
            service = watched.entry.service
            self._hub.note_position(service, report.received, asked_at)
        return report

    def _primary_report(self, service: GroupId) -> MemberReport | None:
        leading = [
            watched.report
            for watched in self._watched.values()
            if watched.entry.service == service
            and watched.report is not None
            and watched.report.is_primary
        ]
        return max(leading, key=lambda report: report.term, default=None)

    def _notice(
        self, watched: WatchedMember, report: MemberReport, now: float
    ) -> bool:
        """Tell the hosts who leads; return whether this member does."""
        if not report.is_primary:
            return False
        service = watched.entry.service
        newest = self._primary_report(service)
        if newest is not None and report.term < newest.term:
            return False
        self._primary_seen[service] = now
        self._hub.notice_primary(
            PrimaryNotice(
                service=service,
                upstream_id=watched.entry.upstream_id,
                term=report.term,
            )
        )
        return True

    def _start_missing(self, tasks: TaskGroup) -> None:
        entries = self._hub.directory.entries
        for upstream_id, entry in entries.items():
            if entry.availability == MemberAvailability.gone:
                self._watched.pop(upstream_id, None)
                continue
            watched = self._watched.get(upstream_id)
            if watched is not None and watched.entry.is_same_start(entry):
                watched.entry = entry
                continue
            if not self._hub.is_leading and not self._is_believed(entry):
                continue
            watched = WatchedMember(entry=entry, lock=anyio.Lock())
            self._watched[upstream_id] = watched
            tasks.start_soon(self._watch, watched)

    def _is_believed(self, entry: MemberEntry) -> bool:
        return self._hub.believed_primary(entry.service) == entry.upstream_id

    async def _watch(self, watched: WatchedMember) -> None:
        upstream_id = watched.entry.upstream_id
        try:
            while self._watched.get(upstream_id) is watched:
                await self.ask(upstream_id, ReportStatus())
                await anyio.sleep(_pause_after(watched))
        finally:
            await self._close(watched)

    async def _close(self, watched: WatchedMember) -> None:
        session, watched.session = watched.session, None
        if session is not None:
            with anyio.CancelScope(shield=True):
                await session.close()

    def _observation(self, watched: WatchedMember) -> MemberObservation:
        report = watched.report
        entry = watched.entry
        return MemberObservation(
            upstream_id=entry.upstream_id,
            is_leaving=entry.availability == MemberAvailability.draining,
            is_primary=report is not None and report.is_primary,
            term=Term(0) if report is None else report.term,
            received=LOG_START if report is None else report.received,
            answered_at=watched.answered_at,
            failing_since=watched.failing_since,
            behind_since=watched.behind_since,
            paused_term=Term(0) if report is None else report.paused_term,
        )


def _primary_among(members: list[WatchedMember]) -> UpstreamId | None:
    leading = [
        (watched.report.term, watched.entry.upstream_id)
        for watched in members
        if watched.report is not None and watched.report.is_primary
    ]
    return max(leading)[1] if leading else None


def _pause_after(watched: WatchedMember) -> float:
    if watched.failing_since is not None:
        return _RETRY_S
    report = watched.report
    if report is None or report.is_primary or report.paused_term:
        return _INTERVAL_S
    return _REPLICA_INTERVAL_S
