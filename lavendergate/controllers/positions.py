"""Log positions of primaries; one query serves all reads that wait for it."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

import anyio

from lavendergate.controllers.fleet_view import FleetView
from lavendergate.controllers.leases.kept_connections import KeptConnections
from lavendergate.controllers.members.questions import (
    MemberAnswer,
    MemberQuestions,
)
from lavendergate.controllers.promotions.term_followers import claim_of
from lavendergate.controllers.session_pools import SessionPools
from lavendergate.controllers.waiters import TaskStarter
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.leases.evidence import (
    CommitProof,
    PrimaryClaim,
    PrimaryCommit,
    PrimaryEvidence,
    ReplicaReport,
    confirms_primary,
)
from lavendergate.core.sessions.freshness import (
    PositionHistory,
    PositionSample,
)
from lavendergate.core.types import GroupId, LogPosition, UpstreamId
from lavendergate.rpc.fleet_service import PrimaryNotice

# Pause after a query that returned no position, in seconds.
_RETRY_DELAY_S = 0.03
# Pause after the members did not confirm a primary, in seconds. They are asked
# only while there is no lease, and each question takes one of their slots.
_REJECTED_DELAY_S = 0.25
# The same after they confirmed it. Reads that arrive meanwhile share the next
# confirmation.
_CONFIRMED_DELAY_S = 0.08
# Least pause after any query without a lease, for each proxy that may ask the
# same members, in seconds: without it, hundreds of proxies would flood them.
_DELAY_PER_PROXY_S = 0.009
# Time for which an answer of the control leader counts as its present state, in
# seconds. It exceeds the interval of its answers.
_REPLACING_VALIDITY_S = 1.5


class PrimaryPositions:
    """Recent log positions of the primary of each service.

    A position is used only once a lease or the other members prove that its
    sender was the newest primary when it was asked.

    Parameters
    ----------
    view
        Provides the primary and the term of each service.
    pools
        Connections for the queries.
    clock
        Clock on which samples are timed, in seconds; it also advances while
        the host is suspended.
    monotonic
        Monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        pools: SessionPools,
        tasks: TaskStarter,
        clock: Callable[[], float],
        monotonic: Callable[[], float],
    ) -> None:
        self._view = view
        self._questions = MemberQuestions(
            pools=pools, clock=clock, monotonic=monotonic
        )
        self._kept_connections = KeptConnections(
            view=view, pools=pools, tasks=tasks, monotonic=monotonic
        )
        self._tasks = tasks
        self._clock = clock
        self._monotonic = monotonic
        self._evidence: dict[GroupId, PrimaryEvidence] = {}
        self._queries: dict[GroupId, anyio.Event] = {}
        # Number of writes of each service that wait for a proof.
        self._waiting_writes: Counter[GroupId] = Counter()
        self._next_query_at: dict[GroupId, float] = {}
        self._replacing: frozenset[GroupId] = frozenset()
        self._replacing_at = float('-inf')

    def now(self) -> float:
        """Return the time on the clock of samples, in seconds."""
        return self._clock()

    def evidence(self, service: GroupId) -> PrimaryEvidence:
        """Return what is known about the present primary of a service."""
        evidence = self._evidence.setdefault(service, PrimaryEvidence())
        evidence.follow(self._view.claim_of(service))
        return evidence

    def history(self, service: GroupId) -> PositionHistory:
        """Return the proved positions of a service's primary."""
        return self.evidence(service).history

    def extend_leases(
        self, notices: Iterable[PrimaryNotice], until: float
    ) -> None:
        """Record until when the control leader leases primaries.

        Parameters
        ----------
        until
            End of the leases, on the clock of samples, in seconds.
        """
        services = []
        for notice in notices:
            evidence = self.evidence(notice.service)
            evidence.lease(claim_of(notice), until)
            services.append(notice.service)
        self._kept_connections.open_missing(services)

    def _synchronous_replicas(self, service: GroupId) -> int:
        limits = self._view.routes.services.get(service)
        return 0 if limits is None else limits.synchronous_replicas

    def record_proof(self, notice: PrimaryNotice, proved_at: float) -> None:
        """Record that all other members knew no newer primary at a time.

        Parameters
        ----------
        proved_at
            When they were asked, on the clock of samples, in seconds.
        """
        self._confirm(notice.service, claim_of(notice), proved_at)

    def record_replacing(self, services: Iterable[GroupId]) -> None:
        """Record the services whose primary the control leader replaces."""
        self._replacing = frozenset(services)
        self._replacing_at = self._clock()

    def is_being_replaced(self, service: GroupId) -> bool:
        """Return whether the primary may be replaced at any moment.

        True once the control leader has begun to replace it and its lease has
        expired. Replicas are paused then, so a write would not complete.
        """
        now = self._clock()
        is_recent = now - self._replacing_at < _REPLACING_VALIDITY_S
        if service not in self._replacing or not is_recent:
            return False
        return not self.evidence(service).is_confirmed_at(now)

    def add(
        self,
        service: GroupId,
        upstream_id: UpstreamId,
        position: LogPosition,
        asked_at: float,
    ) -> None:
        """Record a position that a member sent as the primary."""
        evidence = self.evidence(service)
        claim = evidence.claim
        if claim is not None and claim.upstream_id == upstream_id:
            evidence.add(
                claim, PositionSample(position=position, asked_at=asked_at)
            )

    def add_acknowledged(
        self, service: GroupId, position: LogPosition, asked_at: float
    ) -> None:
        """Record the position of a write that was acknowledged.

        Its proof shows that the primary was the newest one, too.
        """
        sample = PositionSample(position=position, asked_at=asked_at)
        self.history(service).add(sample)

    def refresh(self, service: GroupId) -> None:
        """Start a query of the primary's position, unless one is running."""
        if service not in self._queries:
            self._queries[service] = anyio.Event()
            self._tasks.start_soon(self._query, service)

    async def wait_for_sample(
        self, service: GroupId, asked_at: float, deadline: float
    ) -> PositionSample | None:
        """Return a proved position that was requested at a time or later.

        Parameters
        ----------
        asked_at
            Earliest time of the request, on the clock of samples.
        deadline
            Time at which waiting ends, on the monotonic clock.

        Returns
        -------
        PositionSample or None
            None if the deadline passed first.
        """
        while True:
            sample = self.history(service).since(asked_at)
            if sample is not None:
                return sample
            if not await self._wait_for_query(service, deadline):
                return None

    async def wait_for_proof(
        self, service: GroupId, moment: float, deadline: float
    ) -> bool:
        """Return whether the present primary was the newest at a time.

        Parameters
        ----------
        moment
            Time on the clock of samples, in seconds.
        deadline
            Time at which waiting ends, on the monotonic clock.
        """
        if self.evidence(service).is_confirmed_at(moment):
            return True
        sample = await self.wait_for_sample(service, moment, deadline)
        return sample is not None

    async def wait_until_provable(
        self, service: GroupId, deadline: float
    ) -> bool:
        """Return whether a commit that ends now could be acknowledged.

        False at once while the members can prove nothing, so that the caller
        can go to a proxy that holds a lease.

        Parameters
        ----------
        deadline
            Time at which waiting ends, on the monotonic clock.
        """
        with self._waiting_write(service):
            while not self.evidence(service).may_prove_commits(self._clock()):
                if self.evidence(service).is_unprovable(self._clock()):
                    self.refresh(service)
                    return False
                if not await self._wait_for_query(service, deadline):
                    return False
        return True

    async def prove_commit(
        self, service: GroupId, commit: PrimaryCommit, deadline: float
    ) -> CommitProof:
        """Return what proves that a commit survives each promotion.

        Parameters
        ----------
        deadline
            Time at which waiting ends, on the monotonic clock.
        """
        with self._waiting_write(service):
            while True:
                proof = self.evidence(service).proof_of(commit)
                if proof != CommitProof.none or self.is_being_replaced(service):
                    return proof
                if not await self._wait_for_query(service, deadline):
                    return proof

    @contextmanager
    def _waiting_write(self, service: GroupId) -> Iterator[None]:
        self._waiting_writes[service] += 1
        try:
            yield
        finally:
            self._waiting_writes[service] -= 1

    async def _wait_for_query(self, service: GroupId, deadline: float) -> bool:
        """Wait for the next query; return False if the time is over."""
        remaining = deadline - self._monotonic()
        if remaining <= 0:
            return False
        self.refresh(service)
        with anyio.move_on_after(remaining):
            await self._queries[service].wait()
        return True

    def forget_beyond(
        self, service: GroupId, position: LogPosition | None
    ) -> None:
        """Remove positions beyond the end of the primary's log."""
        if position is not None:
            self.evidence(service).forget_beyond(position)

    def _confirm(
        self, service: GroupId, claim: PrimaryClaim, until: float
    ) -> None:
        self.evidence(service).confirm(claim, until)

    async def _query(self, service: GroupId) -> None:
        next_at = self._next_query_at.get(service, 0)
        try:
            if not self.evidence(service).is_leased_at(self._clock()):
                await anyio.sleep(max(0, next_at - self._monotonic()))
            pause_s = await self._query_primary(service)
            if pause_s:
                proxies = self._view.proxies or 0
                pause_s = max(pause_s, proxies * _DELAY_PER_PROXY_S)
            self._next_query_at[service] = self._monotonic() + pause_s
        finally:
            self._queries.pop(service).set()

    async def _query_primary(self, service: GroupId) -> float:
        """Query the primary; return the pause before the next query."""
        primary = self._view.primary_of(service)
        asked = None if primary is None else await self._questions.ask(primary)
        if primary is None or asked is None:
            return _RETRY_DELAY_S
        report, asked_at = asked.report, asked.asked_at
        if not report.is_primary or report.term < self._view.term_of(service):
            return _RETRY_DELAY_S
        notice = PrimaryNotice(
            service=service,
            upstream_id=primary.upstream_id,
            term=report.term,
        )
        self._view.record_primaries((notice,))
        self.add(service, primary.upstream_id, report.received, asked_at)
        if not self._needs_members(service, asked_at):
            return 0
        return await self._ask_other_members(notice, report.received)

    def _needs_members(self, service: GroupId, asked_at: float) -> bool:
        """Return whether the other members have to be asked, too."""
        evidence = self.evidence(service)
        if evidence.is_leased_at(asked_at):
            return False
        is_confirmed = evidence.is_confirmed_at(asked_at)
        return not is_confirmed or self._waiting_writes[service] > 0

    async def _ask_other_members(
        self, notice: PrimaryNotice, reported: LogPosition
    ) -> float:
        """Ask all other members whether they know a newer primary.

        Parameters
        ----------
        reported
            Position that the primary has just reported.
        """
        asked_at = self._clock()
        answers: list[MemberAnswer | None] = []

        async def ask(member: MemberEntry) -> None:  # noqa: WPS430
            answer = await self._questions.ask(member)
            answers.append(answer)
            if answer is not None and answer.report.is_primary:
                self._view.record_primaries(
                    (
                        PrimaryNotice(
                            service=notice.service,
                            upstream_id=member.upstream_id,
                            term=answer.report.term,
                        ),
                    )
                )

        async with anyio.create_task_group() as tasks:
            for member in self._view.members_of(notice.service):
                if member.upstream_id != notice.upstream_id:
                    tasks.start_soon(ask, member)
        claim = claim_of(notice)
        reports = [
            None if answer is None else answer.report for answer in answers
        ]
        if None in reports:
            self.evidence(notice.service).record_unprovable(
                claim, self._clock()
            )
        if not confirms_primary(claim, reports):
            is_outdated = self._view.claim_of(notice.service) != claim
            return _RETRY_DELAY_S if is_outdated else _REJECTED_DELAY_S
        self._confirm(notice.service, claim, asked_at)
        replicas = [
            ReplicaReport(
                received=answer.report.received,
                running_since=answer.running_since,
            )
            for answer in answers
            if answer is not None
        ]
        self.evidence(notice.service).record_received(
            claim,
            reported,
            replicas,
            asked_at,
            synchronous_replicas=self._synchronous_replicas(notice.service),
        )
        return _CONFIRMED_DELAY_S
