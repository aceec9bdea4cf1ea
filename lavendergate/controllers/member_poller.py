"""Status polling of all members by the leader of the control hosts."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from lavendergate.backends.sessions import (
    AnswerLostError,
    MemberAbsentError,
    MemberDialer,
    MemberRefusedError,
    MemberSession,
    MemberUnreachableError,
    ReportRequest,
)
from lavendergate.controllers.fleet_state import FleetState
from lavendergate.controllers.members.idle_watch import IdleWatch
from lavendergate.core.fleet_directory import (
    MemberAvailability,
    MemberEntry,
)
from lavendergate.core.leases.evidence import (
    PrimaryClaim,
    confirms_primary,
)
from lavendergate.core.primary_replacement import (
    MemberObservation,
    ReachabilityReport,
    ServiceObservation,
)
from lavendergate.core.sessions.statements import (
    MemberReport,
    RefusalCode,
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
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent
from lavendergate.rpc.fleet_service import PrimaryNotice

_INTERVAL_S = 0.4
_RETRY_S = 0.15
# Replicas are polled less often: their status matters only after the primary
# failed, and it is read again then.
_REPLICA_INTERVAL_S = 1.5
_REQUEST_TIMEOUT_S = 0.6
# A member that announced its departure and neither answers nor announces
# itself for this long has ended, in seconds: it exits right after that call.
# This is longer than a partition lasts on the sites that we know. It says
# nothing about its commits; those need the bound of the ledger.
_SILENT_EXIT_S = 15.0
_REQUEST_ERRORS = (
    TimeoutError,
    AnswerLostError,
    MemberRefusedError,
    MemberUnreachableError,
)
_NEVER = float('-inf')


@dataclass(kw_only=True, slots=True)
class PolledMember:
    """Connection and last known status of a member.

    Parameters
    ----------
    entry
        Last announcement of the member.
    session
        Open connection, if there is one.
    lock
        Held during a request on the connection.
    report
        Last status report.
    answered_at, failing_since, behind_since
        See `MemberObservation`.
    target
        Position of the primary that the replica has to reach before both
        are compared again; None if it was not behind.
    followed_term
        Term of the primary when `behind_since` was last updated.
    waiting_since
        See `MemberObservation`.
    asked_at
        When the last report was requested, on the real clock, in seconds.
    absent_since
        Since when no process listens at the address, on the real clock, in
        seconds; None while one does or it is not known.
    bound
        See `MemberObservation`.
    ended_bound
        The last bound of an absence that is over. The start that was polled
        before it has confirmed no commit above this position.
    led
        Last report of this start as the primary; None if it did not lead.
    is_contested
        Whether another member announced the same address.
    idle_watch
        Notices the end of the connection while no request runs.
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
    waiting_since: float | None = None
    asked_at: float = _NEVER
    absent_since: float | None = None
    bound: LogPosition | None = None
    ended_bound: LogPosition | None = None
    led: MemberReport | None = None
    is_contested: bool = False
    idle_watch: IdleWatch = field(default_factory=IdleWatch)

    def record_report(self, report: MemberReport, now: float) -> None:
        """Record a status report."""
        self.report = report
        if report.is_primary:
            self.led = report
        self.record_answer(now)

    def update_behind_since(self, primary: MemberReport, now: float) -> None:
        """Update since when the replica is behind its primary.

        `behind_since` stays until the replica reaches `target`; then both
        are set from the current position of the primary. A former lag does
        not count while the replica is paused and receives nothing, nor after
        it was resumed or the term of the primary changed, because it has
        only just begun to receive then.
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

    def has_lost_lead(self, term: Term) -> bool:
        """Return whether this start led in a term and runs on as a replica.

        A start that was not announced yet answers as a replica, too, but its
        log may be empty.
        """
        led, report = self.led, self.report
        if led is None or report is None or led.term != term:
            return False
        is_replica = not (report.is_primary or self.entry.is_primary)
        return (
            is_replica
            and self.failing_since is None
            and report.received >= led.received
        )

    def record_answer(self, now: float) -> None:
        """Record that the member answered."""
        self.answered_at = now
        self.failing_since = None
        self.record_presence()

    def record_failure(self, now: float) -> None:
        """Record that the member did not answer."""
        if self.failing_since is None:
            self.failing_since = now

    def record_presence(self) -> None:
        """Record that a process may listen at the address."""
        if self.absent_since is not None:
            self.ended_bound = self.bound
        self.absent_since = None
        self.bound = None

    def record_absence(self, real_now: float) -> None:
        """Record that the member is not at its address."""
        if self.absent_since is None:
            self.absent_since = real_now

    def record_primary(self, position: LogPosition, asked_at: float) -> None:
        """Bound the commits of an absent member by the primary's position."""
        since = self.absent_since
        if self.bound is None and since is not None and since <= asked_at:
            self.bound = position


class MemberPoller:
    """Polls the status of all members while this host leads.

    While no leader is known, as after a power failure, each control host
    polls the members, too. Proxies need the positions of primaries, and the
    proof that no newer primary exists, for reads, and the members may not have
    a free connection for every proxy at that time.

    Parameters
    ----------
    fleet
        Fleet state of this host.
    dialer
        Opens connections to members.
    clock
        Monotonic time, in seconds.
    real_clock
        Time that also passes while the host is suspended, in seconds.
    """

    def __init__(
        self,
        *,
        fleet: FleetState,
        dialer: MemberDialer,
        clock: Callable[[], float],
        real_clock: Callable[[], float],
        events: EventLog,
    ) -> None:
        self._events = events
        self._real_clock = real_clock
        self._fleet = fleet
        self._dialer = dialer
        self._clock = clock
        self._members: dict[UpstreamId, PolledMember] = {}

    async def run(self) -> None:
        """Poll the members until cancelled."""
        # Members that were polled before a restart of this task are not.
        self._members = {}
        async with anyio.create_task_group() as tasks:
            while True:
                if self._fleet.is_leading or not self._fleet.knows_leader:
                    self._start_polling(tasks)
                else:
                    self._members = {}
                await anyio.sleep(_RETRY_S)

    def observe(self, service: GroupId) -> ServiceObservation:
        """Return the observations of a service and its members."""
        members = [
            member
            for member in self._members.values()
            if member.entry.service == service
        ]
        primary = (
            self._newest_primary(service, members)
            or self._unanswering_primary(service)
            or self._unseen_primary(service)
        )
        return ServiceObservation(
            primary=primary,
            members=tuple(self._observation(known) for known in members),
            reports=tuple(
                ReachabilityReport(
                    reported_at=reported_at, reachable=reach.reachable
                )
                for reported_at, reach in self._fleet.reachability_reports(
                    service
                )
                if reach.upstream_id == primary
            ),
            departures=self._fleet.departures(service),
            had_primary=self._fleet.newest_term(service) > NO_TERM,
        )

    def _newest_primary(
        self, service: GroupId, members: list[PolledMember]
    ) -> UpstreamId | None:
        """Return the primary, unless a newer one was known and has ended."""
        leading = _primary_among(members)
        if leading is None:
            return None
        report = self._members[leading].report
        newest_term = self._fleet.newest_term(service)
        if report is None or report.term < newest_term:
            return None
        return leading

    def _unanswering_primary(self, service: GroupId) -> UpstreamId | None:
        """Return the last known primary, if it never answered this host."""
        believed = self._fleet.last_known_primary(service)
        member = None if believed is None else self._members.get(believed)
        is_unseen = member is not None and member.report is None
        return believed if is_unseen else None

    def _unseen_primary(self, service: GroupId) -> UpstreamId | None:
        """Return the promoted member, if it was lost before it was seen.

        The start that led before runs on as a replica, so the last order was
        carried out. It has all commits of its term, and those of the promoted
        member were confirmed by a replica, so none is on that member alone.
        """
        ordered = self._fleet.last_ordered_member(service)
        known = self._fleet.last_known_primary(service)
        if ordered is None or known is None or ordered == known:
            return None
        former = self._members.get(known)
        promoted = self._members.get(ordered)
        if former is None or promoted is None:
            return None
        is_replaced = former.has_lost_lead(self._fleet.newest_term(service))
        is_lost = promoted.failing_since is not None
        return ordered if is_replaced and is_lost else None

    def is_complete(self, service: GroupId) -> bool:
        """Return whether all members of a service are being polled.

        Members that announced their departure and may still run belong to
        them.
        """
        return all(
            entry.upstream_id in self._members
            for entry in self._fleet.directory.members_of(service)
        ) and all(
            upstream_id in self._members
            for upstream_id in self._fleet.departing(service)
        )

    def born(self, upstream_id: UpstreamId) -> int | None:
        """Return which start of a member is being polled; None if none is."""
        member = self._members.get(upstream_id)
        return None if member is None else member.entry.born

    def _is_polled(self, entry: MemberEntry) -> bool:
        member = self._members.get(entry.upstream_id)
        return member is not None and member.entry.is_same_instance(entry)

    async def ask(
        self, upstream_id: UpstreamId, request: ReportRequest
    ) -> MemberReport | None:
        """Send a request to a member.

        Returns
        -------
        MemberReport or None
            The report; None if the member refused the request, did not
            answer in time, or is not being polled.
        """
        member = self._members.get(upstream_id)
        if member is None:
            return None
        try:
            with anyio.fail_after(_REQUEST_TIMEOUT_S):
                member.idle_watch.interrupt()
                async with member.lock:
                    member.waiting_since = self._clock()
                    return await self._ask(member, request)
        except _REQUEST_ERRORS as error:
            # The connection may be broken although the member is up, so the
            # next request opens a new one.
            await self._close(member)
            member.record_failure(self._clock())
            self._update_presence(member, error)
            return None
        except Exception as error:
            # An answer that nobody expected must not end the polling of the
            # other members.
            await self._close(member)
            member.record_failure(self._clock())
            self._events.emit(
                SessionEvent.member_suspected,
                upstream=upstream_id,
                service=member.entry.service,
                reason=f'unexpected error: {error!r}',
            )
            return None
        finally:
            member.waiting_since = None

    def _update_presence(self, member: PolledMember, error: Exception) -> None:
        """Record whether a failure shows that the member is not there."""
        is_elsewhere = (
            isinstance(error, MemberRefusedError)
            and error.refusal.code == RefusalCode.misrouted
        )
        if is_elsewhere or isinstance(error, MemberAbsentError):
            member.record_absence(self._real_clock())
        else:
            member.record_presence()
        entry = member.entry
        if not self._fleet.is_leading or not self._is_polled(
            self._fleet.directory.entries[entry.upstream_id]
        ):
            return
        if is_elsewhere or self._has_ended(member):
            self._fleet.record_end(
                self._fleet.directory.entries[entry.upstream_id]
            )

    def _has_ended(self, member: PolledMember) -> bool:
        """Whether a member that announced its departure has exited."""
        if member.entry.availability != MemberAvailability.gone:
            # It may come back with its log.
            return False
        if member.absent_since is not None:
            return True
        since = member.failing_since
        return since is not None and self._clock() - since >= _SILENT_EXIT_S

    async def _ask(
        self, member: PolledMember, request: ReportRequest
    ) -> MemberReport | None:
        if member.session is None:
            dialed = await self._dialer.dial(member.entry)
            member.session = dialed[0]
        asked_at = self._real_clock()
        try:
            report = await member.session.request_report(request)
        except BaseException:
            # Also if the request is cancelled: its answer may still arrive,
            # and the next request must not read it.
            await self._close(member)
            raise
        now = self._clock()
        if isinstance(report, Refused):
            member.record_answer(now)
            return None
        primary = self._primary_report(member.entry.service)
        if _is_restarted(member.report, report):
            # Its announcement has not arrived yet.
            self._fleet.record_restart(member.entry)
        member.record_report(report, now)
        member.asked_at = asked_at
        if primary is not None and not report.is_primary:
            member.update_behind_since(primary, now)
        if self._publish_if_primary(member, report, now):
            self._record_primary(member.entry.service, report, asked_at)
        if not self._fleet.is_leading:
            self._record_proof(member.entry.service)
        return report

    def _record_primary(
        self, service: GroupId, report: MemberReport, asked_at: float
    ) -> None:
        self._fleet.record_position(service, report.received, asked_at)
        for member in self._members.values():
            if member.entry.service == service:
                member.record_primary(report.received, asked_at)

    def settle_departures(
        self, service: GroupId, synchronous_replicas: int
    ) -> None:
        """Forget ended starts whose commits are on all members.

        Parameters
        ----------
        synchronous_replicas
            Number of replicas that have a commit before it is acknowledged.
        """
        if not self._fleet.departures(service) or not self.is_complete(service):
            return
        reports = [
            member.report if member.failing_since is None else None
            for member in self._members.values()
            if member.entry.service == service
        ]
        received = [report.received for report in reports if report is not None]
        is_known = len(received) == len(reports)
        if is_known and len(received) >= _settled_count(synchronous_replicas):
            self._fleet.settle_departures(service, min(received))

    def _record_proof(self, service: GroupId) -> None:
        """Record when the members last showed that the primary leads."""
        members = [
            member
            for member in self._members.values()
            if member.entry.service == service
        ]
        leading = _primary_among(members)
        if leading is None or not self.is_complete(service):
            return
        primary = self._members[leading]
        if primary.report is None:
            return
        claim = PrimaryClaim(upstream_id=leading, term=primary.report.term)
        others = [member for member in members if member is not primary]
        if confirms_primary(claim, [member.report for member in others]):
            self._fleet.record_proof(
                service,
                min(
                    (member.asked_at for member in others),
                    default=primary.asked_at,
                ),
            )

    def _primary_report(self, service: GroupId) -> MemberReport | None:
        leading = [
            member.report
            for member in self._members.values()
            if member.entry.service == service
            and member.report is not None
            and member.report.is_primary
        ]
        return max(leading, key=lambda report: report.term, default=None)

    def _publish_if_primary(
        self, member: PolledMember, report: MemberReport, now: float
    ) -> bool:
        """Publish a member as primary if its report has the newest term.

        Returns
        -------
        bool
            Whether the member is the newest primary of its service.
        """
        if not report.is_primary:
            return False
        service = member.entry.service
        newest = self._primary_report(service)
        if newest is not None and report.term < newest.term:
            return False
        if report.term < self._fleet.newest_term(service):
            return False
        self._fleet.publish_primary(
            PrimaryNotice(
                service=service,
                upstream_id=member.entry.upstream_id,
                term=report.term,
            )
        )
        return True

    def _start_polling(self, tasks: TaskGroup) -> None:
        entries = self._fleet.directory.entries
        users = Counter(
            entry.address for entry in entries.values() if entry.may_run
        )
        for upstream_id, entry in entries.items():
            member = self._members.get(upstream_id)
            is_polled = member is not None and member.entry.is_same_instance(
                entry
            )
            if member is not None and not (is_polled and entry.may_run):
                self._stop_polling(member)
            if not entry.may_run:
                continue
            if member is not None and is_polled:
                member.entry = entry
                member.is_contested = users[entry.address] > 1
                continue
            member = PolledMember(entry=entry, lock=anyio.Lock())
            self._members[upstream_id] = member
            tasks.start_soon(self._poll, member)

    def _stop_polling(self, member: PolledMember) -> None:
        """Stop polling a start that has ended, and keep its bound."""
        del self._members[member.entry.upstream_id]
        is_absent = member.absent_since is not None
        bound = member.bound if is_absent else member.ended_bound
        if bound is not None:
            self._fleet.lower_departure_bound(member.entry, bound)

    async def _poll(self, member: PolledMember) -> None:
        upstream_id = member.entry.upstream_id
        try:
            while self._members.get(upstream_id) is member:
                was_absent = member.absent_since is not None
                await self.ask(upstream_id, ReportStatus())
                if member.absent_since is not None and not was_absent:
                    await self._bound_absent(member)
                await self._wait_for_turn(member)
        finally:
            await self._close(member)

    async def _bound_absent(self, member: PolledMember) -> None:
        """Ask the primary at once, which bounds what an absent member has.

        Otherwise a primary that is lost within its poll interval could not be
        replaced before the member is back.
        """
        primary = self._fleet.last_known_primary(member.entry.service)
        if primary is not None and primary != member.entry.upstream_id:
            await self.ask(primary, ReportStatus())

    async def _wait_for_turn(self, member: PolledMember) -> None:
        """Wait for the next poll, which comes early if the process ends."""
        polled_at = anyio.current_time()
        interval_s = _poll_interval_s(member, self._fleet.is_leading)
        while True:
            remaining_s = polled_at + interval_s - anyio.current_time()
            if remaining_s <= 0:
                return
            if await self._is_lost_within(member, remaining_s):
                # A member may accept each connection and close it.
                await anyio.sleep_until(polled_at + _RETRY_S)
                return

    async def _is_lost_within(
        self, member: PolledMember, seconds: float
    ) -> bool:
        """Return whether the connection of a member ends within a time.

        False, perhaps earlier, if a request is sent to the member.
        """
        if member.session is None:
            await anyio.sleep(seconds)
            return False
        async with member.lock:
            session = member.session
            # A request that came while the lock was taken could not interrupt
            # the watch, and would wait for its end.
            if session is None or member.lock.statistics().tasks_waiting:
                return False
            is_lost = await member.idle_watch.is_lost_within(session, seconds)
            if is_lost:
                await self._close(member)
        return is_lost

    async def _close(self, member: PolledMember) -> None:
        session, member.session = member.session, None
        if session is not None:
            with anyio.CancelScope(shield=True):
                await session.close()

    def _observation(self, member: PolledMember) -> MemberObservation:
        report = member.report
        entry = member.entry
        return MemberObservation(
            upstream_id=entry.upstream_id,
            is_leaving=entry.availability != MemberAvailability.ready,
            is_primary=report is not None and report.is_primary,
            term=Term(0) if report is None else report.term,
            received=LOG_START if report is None else report.received,
            answered_at=member.answered_at,
            failing_since=member.failing_since,
            behind_since=member.behind_since,
            paused_term=Term(0) if report is None else report.paused_term,
            waiting_since=member.waiting_since,
            is_absent=member.absent_since is not None,
            bound=member.bound,
        )


def _settled_count(synchronous_replicas: int) -> int:
    """Return how many members must have the commits of an ended start.

    They are the primary and as many replicas as acknowledge a commit. A
    candidate that lacks a commit of theirs joined later. Each of these replicas
    that cannot be paused and compared with it counts as uncertain, until the
    candidate has a bound that a primary with the commit gave. All of them
    together are enough to prevent the promotion.
    """
    return 1 + max(1, synchronous_replicas)


def _is_restarted(former: MemberReport | None, report: MemberReport) -> bool:
    """Whether a report shows that the log of an earlier one is lost.

    Logs are truncated only by a promotion, which raises the term.
    """
    if former is None:
        return False
    return report.term <= former.term and report.received < former.received


def _primary_among(members: list[PolledMember]) -> UpstreamId | None:
    leading = [
        (member.report.term, member.entry.upstream_id)
        for member in members
        if member.report is not None and member.report.is_primary
    ]
    return max(leading)[1] if leading else None


def _poll_interval_s(member: PolledMember, is_leading: bool) -> float:
    if member.failing_since is not None or member.is_contested:
        return _RETRY_S
    if not is_leading:
        # Proxies hold no lease, so they need a recent proof.
        return _INTERVAL_S
    report = member.report
    if report is None or report.is_primary or report.paused_term:
        return _INTERVAL_S
    return _REPLICA_INTERVAL_S
