"""Replaces primaries through orders that someone else carries out."""

from collections.abc import Callable, Iterable

import anyio
from anyio.abc import TaskGroup
from result import Err

from lavendergate.backends.promotion import OrderOutcome, PromotionOrders
from lavendergate.controllers.control_node import ControlNode
from lavendergate.controllers.fleet_hub import FleetHub
from lavendergate.controllers.member_watch import MemberWatch
from lavendergate.core.commands import OrderPromotion
from lavendergate.core.primary_replacement import (
    KeepPrimary,
    NotPromotable,
    PausedReplica,
    Promotable,
    PromotionEvidence,
    ReplacePrimary,
    ServiceObservation,
    check_promotion,
    choose_candidate,
    decide_replacement,
)
from lavendergate.core.routes import RouteTable
from lavendergate.core.sessions.statements import (
    PauseReplication,
    ReportStatus,
    ResumeReplication,
)
from lavendergate.core.types import GroupId, HostId, Term, UpstreamId
from lavendergate.observability.exposition import SessionMetrics
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent

_INTERVAL_S = 0.1
_RETRY_S = 0.2
# A new leader first looks at all members, in seconds.
_SETTLE_S = 0.7
# A proof counts for this long, in seconds: an order of a former leader, held
# up on its way, could resume a replica meanwhile.
_PROOF_AGE_S = 0.6
_ORDER_ATTEMPTS = 3
# Longest time from the acknowledgement of an order to its effect, in
# seconds.
_EFFECT_S = 3.0
_EFFECT_POLL_S = 0.08
_MS_PER_S = 1000


class TakeoverController:
    """Judges the primary of each service and replaces it where needed.

    Parameters
    ----------
    node
        Replicated log; the index of an order's entry is its token.
    hub, watch
        What is known about members.
    orders
        Carries promotions out.
    routes
        Returns the route table in force.
    host_id
        This host, as holder of the orders.
    clock
        Monotonic time, in seconds.
    real_clock
        Time that also passes while the host is suspended, in seconds.
    events, metrics
        Where decisions are recorded.
    """

    def __init__(
        self,
        *,
        node: ControlNode,
        hub: FleetHub,
        watch: MemberWatch,
        orders: PromotionOrders,
        routes: Callable[[], RouteTable],
        host_id: HostId,
        clock: Callable[[], float],
        real_clock: Callable[[], float],
        events: EventLog,
        metrics: SessionMetrics,
    ) -> None:
        self._metrics = metrics
        self._node = node
        self._hub = hub
        self._watch = watch
        self._orders = orders
        self._routes = routes
        self._host_id = host_id
        self._clock = clock
        self._real_clock = real_clock
        self._events = events
        self._busy: set[GroupId] = set()
        self._leading_since: float | None = None
        self._last_reason: dict[GroupId, str] = {}

    async def run(self) -> None:
        """Judge the primaries until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(_INTERVAL_S)
                if not self._hub.is_leading:
                    self._leading_since = None
                    continue
                now = self._clock()
                if self._leading_since is None:
                    self._leading_since = now
                if now - self._leading_since >= _SETTLE_S:
                    self._judge_all(tasks)

    def _judge_all(self, tasks: TaskGroup) -> None:
        for service in self._routes().services:
            if service in self._busy or not self._watch.is_complete(service):
                continue
            observed = self._watch.observe(service)
            match decide_replacement(observed, self._clock()):
                case ReplacePrimary(reason=reason):
                    self._busy.add(service)
                    tasks.start_soon(self._take_over, service, reason)
                case KeepPrimary() if _has_paused(observed):
                    self._busy.add(service)
                    tasks.start_soon(self._release, service)

    async def _take_over(self, service: GroupId, reason: str) -> None:
        began_at = self._clock()
        observed = self._watch.observe(service)
        self._events.emit(
            SessionEvent.takeover_begun,
            service=service,
            reason=reason,
            former=observed.primary,
            term=_newest_term(observed),
        )
        outcome = 'the host does not lead any more'
        try:
            while self._hub.is_leading:
                ended = await self._attempt(service)
                if ended is not None:
                    outcome = ended
                    break
                await anyio.sleep(_RETRY_S)
        finally:
            self._busy.discard(service)
            self._last_reason.pop(service, None)
        self._events.emit(
            SessionEvent.takeover_ended,
            service=service,
            outcome=outcome,
            duration_ms=round((self._clock() - began_at) * _MS_PER_S),
        )

    async def _attempt(self, service: GroupId) -> str | None:
        """Try once to replace the primary; return how the takeover ended."""
        observed = self._watch.observe(service)
        if isinstance(decide_replacement(observed, self._clock()), KeepPrimary):
            return 'the primary serves again'
        if not self._watch.is_complete(service):
            self._wait(service, 'a member has just announced itself', None)
            return None
        proved_at = self._real_clock()
        candidate = choose_candidate(observed, self._ordered(service))
        if candidate is None:
            self._wait(service, 'no replica answers', None)
            return None
        evidence = await self._gather(observed, candidate)
        if evidence is None:
            self._wait(service, 'the candidate does not answer', candidate)
            return None
        proof = check_promotion(
            self._watch.observe(service),
            evidence,
            self._clock(),
            synchronous_replicas=self._synchronous_replicas(service),
        )
        match proof:
            case NotPromotable(reason=reason):
                self._wait(service, reason, candidate)
                return None
            case Promotable():
                return await self._promote(service, evidence, proved_at)

    async def _gather(
        self, observed: ServiceObservation, candidate: UpstreamId
    ) -> PromotionEvidence | None:
        """Pause all replicas but the candidate, then read its position."""
        others = [
            known.upstream_id
            for known in observed.replicas
            if known.upstream_id != candidate
        ]
        term = Term(_newest_term(observed) + 1)
        paused: list[PausedReplica] = []
        async with anyio.create_task_group() as tasks:
            for other in others:
                tasks.start_soon(self._pause, other, term, paused)
        report = await self._watch.ask(candidate, ReportStatus())
        if report is None:
            return None
        confirmed = {replica.upstream_id for replica in paused}
        return PromotionEvidence(
            candidate=candidate,
            candidate_received=report.received,
            paused=tuple(paused),
            unconfirmed=frozenset(others) - confirmed,
        )

    async def _pause(
        self, replica: UpstreamId, term: Term, paused: list[PausedReplica]
    ) -> None:
        report = await self._watch.ask(replica, PauseReplication(term=term))
        if report is None or report.paused_term < term:
            report = await self._watch.ask(replica, ReportStatus())
        if report is not None and report.paused_term >= term:
            paused.append(
                PausedReplica(upstream_id=replica, received=report.received)
            )

    async def _promote(
        self, service: GroupId, evidence: PromotionEvidence, proved_at: float
    ) -> str | None:
        candidate = evidence.candidate
        token = await self._announce(service, candidate)
        if token is None:
            return None
        if self._real_clock() - proved_at > _PROOF_AGE_S:
            # The host may have been suspended; others may have acted.
            self._wait(service, 'the proof is too old', candidate)
            return None
        for _ in range(_ORDER_ATTEMPTS):
            outcome = await self._order(service, candidate, token)
            if outcome != OrderOutcome.unclear:
                break
            await anyio.sleep(_RETRY_S)
        if outcome != OrderOutcome.done:
            return None
        if not await self._leads(candidate):
            self._wait(service, 'the promoted member does not lead', candidate)
            return None
        await self._resume(known.upstream_id for known in evidence.paused)
        return f'{candidate} was promoted'

    async def _leads(self, upstream_id: UpstreamId) -> bool:
        """Wait until a promoted member leads.

        An order is acknowledged before it takes effect. Replicas that
        resumed in between would confirm commits that the member lacks.
        """
        with anyio.move_on_after(_EFFECT_S):
            while True:
                report = await self._watch.ask(upstream_id, ReportStatus())
                if report is not None and report.is_primary:
                    return True
                await anyio.sleep(_EFFECT_POLL_S)
        return False

    async def _announce(
        self, service: GroupId, upstream_id: UpstreamId
    ) -> int | None:
        """Commit an order, and return its token."""
        proposed = await self._node.propose(
            OrderPromotion(
                service=service, upstream_id=upstream_id, holder=self._host_id
            )
        )
        if isinstance(proposed, Err):
            return None
        return proposed.ok_value.index

    async def _order(
        self, service: GroupId, upstream_id: UpstreamId, token: int
    ) -> OrderOutcome:
        outcome = await self._orders.promote(
            service=service,
            upstream_id=upstream_id,
            holder=self._host_id,
            token=token,
        )
        self._metrics.orders.labels(service, outcome.value).inc()
        self._events.emit(
            SessionEvent.promotion_ordered,
            upstream=upstream_id,
            service=service,
            token=token,
            outcome=outcome.value,
        )
        return outcome

    async def _release(self, service: GroupId) -> None:
        """Resume replicas that a former takeover left paused.

        The order of that takeover may still be on its way. It is harmless
        only once a higher token was seen, so the present primary is
        confirmed with one first.
        """
        try:
            await self._confirm_and_resume(service)
        finally:
            self._busy.discard(service)

    async def _confirm_and_resume(self, service: GroupId) -> None:
        observed = self._watch.observe(service)
        primary = observed.primary
        if primary is None:
            return
        token = await self._announce(service, primary)
        if token is None:
            return
        outcome = await self._order(service, primary, token)
        if outcome != OrderOutcome.done:
            await anyio.sleep(_RETRY_S)
            return
        # An order that was accepted earlier may be about to take effect.
        await anyio.sleep(_EFFECT_S)
        now = self._watch.observe(service)
        if now.primary != primary:
            return
        await self._resume(
            replica.upstream_id
            for replica in observed.replicas
            if replica.paused_term
        )

    async def _resume(self, replicas: Iterable[UpstreamId]) -> None:
        confirmed = await self._node.read_state()
        if isinstance(confirmed, Err):
            return
        async with anyio.create_task_group() as tasks:
            for replica in replicas:
                tasks.start_soon(self._watch.ask, replica, ResumeReplication())

    def _ordered(self, service: GroupId) -> UpstreamId | None:
        record = self._node.view.state.promotions.get(service)
        return None if record is None else record.upstream_id

    def _synchronous_replicas(self, service: GroupId) -> int:
        return self._routes().services[service].synchronous_replicas

    def _wait(
        self, service: GroupId, reason: str, candidate: UpstreamId | None
    ) -> None:
        if self._last_reason.get(service) == reason:
            return
        self._last_reason[service] = reason
        self._events.emit(
            SessionEvent.takeover_waits,
            service=service,
            reason=reason,
            candidate=candidate,
        )


def _has_paused(observed: ServiceObservation) -> bool:
    return any(replica.paused_term for replica in observed.replicas)


def _newest_term(observed: ServiceObservation) -> Term:
    return max((member.term for member in observed.members), default=Term(0))
