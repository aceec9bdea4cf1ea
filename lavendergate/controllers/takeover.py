"""Fails services over by ordering promotions from the platform."""

from collections.abc import Callable, Iterable
from dataclasses import replace

import anyio
from result import Err

from lavendergate.backends.promotion import OrderOutcome, PromotionOrders
from lavendergate.controllers.control_node import ControlNode
from lavendergate.controllers.fleet_state import FleetState
from lavendergate.controllers.leases.grants import LeaseGrants
from lavendergate.controllers.member_poller import MemberPoller
from lavendergate.controllers.takeovers.former_primaries import FormerPrimaries
from lavendergate.controllers.takeovers.promotion_proof import (
    PromotionProof,
    PromotionProofs,
    newest_term,
)
from lavendergate.controllers.waiters import TaskStarter
from lavendergate.core.commands import OrderPromotion
from lavendergate.core.leases.granting import (
    PromotionHistory,
    has_unresolved_order,
    may_be_superseded,
    may_grant_lease,
)
from lavendergate.core.primary_replacement import (
    KeepPrimary,
    NotPromotable,
    Promotable,
    ReplacementDecision,
    ReplacePrimary,
    ServiceObservation,
    check_promotion,
    choose_candidate,
    decide_replacement,
)
from lavendergate.core.routes import RouteTable
from lavendergate.core.sessions.statements import (
    ReportStatus,
    ResumeReplication,
)
from lavendergate.core.types import GroupId, HostId, UpstreamId
from lavendergate.observability.exposition import HttpMetrics
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent
from lavendergate.supervision.boundary import Boundary, GuardedTasks

_INTERVAL_S = 0.1
_RETRY_S = 0.2
# Time that a new leader observes all members before its first decision, in
# seconds.
_OBSERVATION_S = 0.7
# Time for which a proof that a promotion is safe stays valid, in seconds.
# After it, a delayed resume request of a former leader may have resumed a
# replica that the proof counts as paused. With the time to deliver an order,
# it is no longer than a lease, for which the next leader waits.
_PROOF_AGE_S = 0.6
_ORDER_ATTEMPTS = 3
# Longest wait for leases before the members are observed again, in seconds.
_LEASE_WAIT_S = 0.1
# Maximum time from the acknowledgement of a promotion order until the member
# is primary, in seconds.
_PROMOTION_TIMEOUT_S = 3.0
_PROMOTION_POLL_S = 0.08
# Time without a candidate after which operators are told, in seconds. Most
# takeovers end within it.
_BLOCKED_AFTER_S = 3.0
_MS_PER_S = 1000


class TakeoverController:
    """Checks the primary of each service and replaces it if it fails.

    Parameters
    ----------
    node
        Node of the replicated log. The log index of an order's entry is the
        fencing token of the order.
    fleet, poller
        State and observations of the members.
    leases
        Leases on the primaries; an order waits until they have expired.
    orders
        Sends promotion orders to the platform, which performs them.
    routes
        Returns the route table in force.
    host_id
        Identifier of this host; sent as the lease holder of its orders.
    clock
        Monotonic time, in seconds.
    real_clock
        Time that also passes while the host is suspended, in seconds.
    events, metrics
        Event log and metrics of the decisions.
    """

    def __init__(
        self,
        *,
        node: ControlNode,
        fleet: FleetState,
        poller: MemberPoller,
        leases: LeaseGrants,
        orders: PromotionOrders,
        routes: Callable[[], RouteTable],
        host_id: HostId,
        clock: Callable[[], float],
        real_clock: Callable[[], float],
        events: EventLog,
        metrics: HttpMetrics,
        boundary: Boundary | None = None,
    ) -> None:
        # An error in the work on one service must not stop the others'.
        self._boundary = boundary or Boundary(events=events)
        self._metrics = metrics
        self._node = node
        self._fleet = fleet
        self._poller = poller
        self._leases = leases
        self._orders = orders
        self._routes = routes
        self._host_id = host_id
        self._clock = clock
        self._real_clock = real_clock
        self._events = events
        self._running: set[GroupId] = set()
        self._former_primaries = FormerPrimaries(poller=poller, events=events)
        self._proofs = PromotionProofs(fleet=fleet, poller=poller)
        self._leading_since: float | None = None
        self._last_reason: dict[GroupId, str] = {}
        self._ahead: dict[GroupId, UpstreamId] = {}
        self._takeovers: dict[GroupId, float] = {}
        self._blocked: set[GroupId] = set()

    async def run(self) -> None:
        """Check the primaries while this host leads, until cancelled."""
        async with anyio.create_task_group() as group:
            tasks = GuardedTasks(tasks=group, boundary=self._boundary)
            while True:
                await anyio.sleep(_INTERVAL_S)
                if not self._fleet.is_leading:
                    self._leading_since = None
                    continue
                now = self._clock()
                if self._leading_since is None:
                    self._leading_since = now
                self._update_leases(tasks)
                if now - self._leading_since >= _OBSERVATION_S:
                    self._check_services(tasks)

    def _update_leases(self, tasks: TaskStarter) -> None:
        """Lease the primaries that are known and healthy."""
        for service in self._routes().services:
            with self._boundary.contain('lease'):
                self._update_lease(tasks, service)

    def _update_lease(self, tasks: TaskStarter, service: GroupId) -> None:
        observed = self._poller.observe(service)
        self._former_primaries.demote(tasks, service, observed)
        self._poller.settle_departures(
            service, self._synchronous_replicas(service)
        )
        if service in self._running:
            # The takeover decides when the service is leased again.
            return
        if self._poller.is_complete(service) and may_grant_lease(
            observed, self._promotion_history(service), self._clock()
        ):
            self._leases.grant(service)
        else:
            self._leases.withhold(service)

    def _promotion_history(self, service: GroupId) -> PromotionHistory:
        return PromotionHistory(
            ordered=self._fleet.last_ordered_member(service),
            newest_term=self._fleet.newest_term(service),
        )

    def _check_services(self, tasks: TaskStarter) -> None:
        for service in self._routes().services:
            if service in self._running or not self._poller.is_complete(
                service
            ):
                continue
            with self._boundary.contain('primary check'):
                self._check_service(tasks, service)

    def _check_service(self, tasks: TaskStarter, service: GroupId) -> None:
        observed = self._poller.observe(service)
        match self._decide(service, observed):
            case ReplacePrimary(reason=reason):
                self._leases.begin_replacing(service)
                self._running.add(service)
                tasks.start_soon(self._take_over, service, reason)
            case KeepPrimary() if self._must_confirm(service, observed):
                self._leases.withhold(service)
                self._running.add(service)
                tasks.start_soon(self._resume_paused, service)

    def _decide(
        self, service: GroupId, observed: ServiceObservation
    ) -> ReplacementDecision:
        return decide_replacement(
            observed,
            self._clock(),
            synchronous_replicas=self._synchronous_replicas(service),
        )

    def _must_confirm(
        self, service: GroupId, observed: ServiceObservation
    ) -> bool:
        """Return whether an earlier takeover ended without its promotion."""
        history = self._promotion_history(service)
        if may_be_superseded(observed, history):
            return False
        return _has_paused_replica(observed) or has_unresolved_order(
            observed, history
        )

    async def _take_over(self, service: GroupId, reason: str) -> None:
        began_at = self._clock()
        observed = self._poller.observe(service)
        self._events.emit(
            SessionEvent.takeover_begun,
            service=service,
            reason=reason,
            former=observed.primary,
            term=newest_term(observed),
        )
        outcome = 'this host is no longer the leader'
        self._takeovers[service] = began_at
        try:
            while self._fleet.is_leading:
                ended = await self._try_promotion(service)
                if ended is not None:
                    outcome = ended
                    break
                await anyio.sleep(self._retry_s(service))
        finally:
            self._running.discard(service)
            self._leases.end_replacing(service)
            self._last_reason.pop(service, None)
            self._ahead.pop(service, None)
            self._takeovers.pop(service, None)
            self._report_unblocked(service, outcome, began_at)
        self._events.emit(
            SessionEvent.takeover_ended,
            service=service,
            outcome=outcome,
            duration_ms=round((self._clock() - began_at) * _MS_PER_S),
        )

    def _retry_s(self, service: GroupId) -> float:
        lease_s = self._leases.remaining_s(service)
        return min(lease_s, _LEASE_WAIT_S) if lease_s else _RETRY_S

    async def _try_promotion(self, service: GroupId) -> str | None:
        """Try once to replace the primary.

        Returns
        -------
        str or None
            Outcome of the takeover, or None if it has to be tried again.
        """
        observed = self._poller.observe(service)
        if isinstance(self._decide(service, observed), KeepPrimary):
            return 'the primary serves again'
        if not self._poller.is_complete(service):
            self._report_wait(
                service, 'a new member has not been polled yet', None
            )
            return None
        if self._leases.remaining_s(service):
            self._report_wait(
                service, 'proxies may still hold leases on the primary', None
            )
            return None
        proved_at = self._real_clock()
        candidate = choose_candidate(
            observed,
            self._fleet.last_ordered_member(service),
            self._ahead.get(service),
        )
        if candidate is None:
            self._report_wait(service, 'no replica answers', None)
            return None
        proof = await self._proofs.gather(service, observed, candidate)
        if proof is None:
            self._report_wait(
                service, 'the candidate does not answer', candidate
            )
            return None
        check = check_promotion(
            self._poller.observe(service),
            proof.evidence,
            synchronous_replicas=self._synchronous_replicas(service),
            now=self._clock(),
        )
        match check:
            case NotPromotable(reason=reason, more_advanced=ahead):
                if ahead is not None:
                    self._ahead[service] = ahead
                self._report_wait(service, reason, candidate)
                return None
            case Promotable(absent=absent):
                return await self._promote(
                    replace(proof, absent=absent), proved_at
                )

    async def _promote(
        self, proof: PromotionProof, proved_at: float
    ) -> str | None:
        service = proof.service
        candidate = proof.evidence.candidate
        token = await self._commit_proved_order(proof)
        if token is None:
            return None
        if self._real_clock() - proved_at > _PROOF_AGE_S:
            # This host may have been suspended, and another leader may have
            # acted meanwhile.
            self._report_wait(
                service, 'the proof of a safe promotion has expired', candidate
            )
            return None
        if not await self._still_holds(proof):
            return None
        outcome = await self._send_order(
            service, candidate, token, proved_at, proof
        )
        for _ in range(_ORDER_ATTEMPTS - 1):
            if outcome != OrderOutcome.unclear:
                break
            await anyio.sleep(_RETRY_S)
            if not await self._leases.confirm():
                break
            if not await self._still_holds(proof):
                break
            outcome = await self._send_order(
                service, candidate, token, self._leases.confirmed_at, proof
            )
        if outcome != OrderOutcome.done:
            return None
        if not await self._wait_until_primary(candidate):
            self._report_wait(
                service,
                'the promoted member did not become primary in time',
                candidate,
            )
            return None
        # The order named this member, so no earlier order is unresolved.
        self._leases.grant(service)
        await self._resume_replicas(
            replica.upstream_id for replica in proof.evidence.paused
        )
        return f'{candidate} was promoted'

    async def _commit_proved_order(self, proof: PromotionProof) -> int | None:
        """Commit an order while the paused replicas are asked again.

        Returns
        -------
        int or None
            The fencing token; None if the commit is not confirmed or a replica
            is not paused any more.
        """
        resumed: set[UpstreamId] = set()
        candidate = proof.evidence.candidate
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._proofs.find_resumed, proof, resumed)
            token = await self._commit_order(proof.service, candidate)
        for replica in sorted(resumed):
            self._report_wait(
                proof.service,
                f'replica {replica} is not paused any more',
                candidate,
            )
        return None if resumed else token

    async def _still_holds(self, proof: PromotionProof) -> bool:
        """Return whether a proof holds after absent replicas were asked."""
        await self._proofs.ask_absent(proof)
        problem = self._proofs.problem(proof)
        if problem is not None:
            self._report_wait(proof.service, problem, proof.evidence.candidate)
        return problem is None

    async def _wait_until_primary(self, upstream_id: UpstreamId) -> bool:
        """Wait until a promoted member reports that it is primary.

        An order is acknowledged before it takes effect. Replicas that
        resumed before then would confirm commits of the former primary
        that the promoted member lacks. False if the wait timed out.
        """
        with anyio.move_on_after(_PROMOTION_TIMEOUT_S):
            while True:
                report = await self._poller.ask(upstream_id, ReportStatus())
                if report is not None and report.is_primary:
                    return True
                await anyio.sleep(_PROMOTION_POLL_S)
        return False

    async def _commit_order(
        self, service: GroupId, upstream_id: UpstreamId
    ) -> int | None:
        """Commit an order to the log and return its fencing token.

        None if the commit is not confirmed.
        """
        proposed = await self._node.propose(
            OrderPromotion(
                service=service, upstream_id=upstream_id, holder=self._host_id
            )
        )
        if isinstance(proposed, Err):
            return None
        return proposed.ok_value.index

    async def _send_order(
        self,
        service: GroupId,
        upstream_id: UpstreamId,
        token: int,
        proved_at: float,
        proof: PromotionProof | None = None,
    ) -> OrderOutcome:
        """Send an order, unless the proof for it has become too old.

        Parameters
        ----------
        proved_at
            Time at which this host was the leader and the promotion was safe,
            on the real clock, in seconds.
        proof
            Proof that must hold when the order is sent; None for an order
            that names the present primary.
        """
        outcome = await self._orders.promote(
            service=service,
            upstream_id=upstream_id,
            holder=self._host_id,
            token=token,
            may_send=lambda: (
                self._is_valid_proof(proved_at)
                and (proof is None or self._proofs.problem(proof) is None)
            ),
        )
        self._metrics.promotion_orders.labels(service, outcome.value).inc()
        self._events.emit(
            SessionEvent.promotion_ordered,
            upstream=upstream_id,
            service=service,
            token=token,
            outcome=outcome.value,
        )
        return outcome

    def _is_valid_proof(self, proved_at: float) -> bool:
        age_s = self._real_clock() - proved_at
        return self._fleet.is_leading and age_s <= _PROOF_AGE_S

    async def _resume_paused(self, service: GroupId) -> None:
        """Resume replicas that an earlier takeover left paused.

        The order of that takeover may still be in transit. The platform
        refuses it only after it has received a higher token, so an order
        with a new token for the current primary is sent first.
        """
        try:
            await self._confirm_and_resume(service)
        finally:
            self._running.discard(service)

    async def _confirm_and_resume(self, service: GroupId) -> None:
        while lease_s := self._leases.remaining_s(service):
            if not self._fleet.is_leading:
                return
            await anyio.sleep(min(lease_s, _LEASE_WAIT_S))
        observed = self._poller.observe(service)
        primary = observed.primary
        if primary is None or not self._must_confirm(service, observed):
            return
        proved_at = self._real_clock()
        token = await self._commit_order(service, primary)
        if token is None:
            return
        outcome = await self._send_order(service, primary, token, proved_at)
        if outcome != OrderOutcome.done:
            await anyio.sleep(_RETRY_S)
            return
        # An order that was accepted before this one may still take effect.
        await anyio.sleep(_PROMOTION_TIMEOUT_S)
        current = self._poller.observe(service)
        if current.primary != primary:
            return
        self._leases.grant(service)
        await self._resume_replicas(
            replica.upstream_id
            for replica in observed.replicas
            if replica.paused_term
        )

    async def _resume_replicas(self, replicas: Iterable[UpstreamId]) -> None:
        confirmed = await self._node.read_state()
        if isinstance(confirmed, Err):
            return
        async with anyio.create_task_group() as tasks:
            for replica in replicas:
                tasks.start_soon(self._poller.ask, replica, ResumeReplication())

    def _synchronous_replicas(self, service: GroupId) -> int:
        return self._routes().services[service].synchronous_replicas

    def _report_wait(
        self, service: GroupId, reason: str, candidate: UpstreamId | None
    ) -> None:
        self._report_blocked(service, reason, candidate)
        if self._last_reason.get(service) == reason:
            return
        self._last_reason[service] = reason
        self._events.emit(
            SessionEvent.takeover_waits,
            service=service,
            reason=reason,
            candidate=candidate,
        )

    def _report_blocked(
        self, service: GroupId, reason: str, candidate: UpstreamId | None
    ) -> None:
        """Report once that a takeover finds no safe candidate."""
        waited_s = self._clock() - self._takeovers.get(service, self._clock())
        if service in self._blocked or waited_s < _BLOCKED_AFTER_S:
            return
        self._blocked.add(service)
        self._events.emit(
            SessionEvent.takeover_blocked,
            service=service,
            reason=reason,
            candidate=candidate,
            waited_ms=round(waited_s * _MS_PER_S),
        )

    def _report_unblocked(
        self, service: GroupId, outcome: str, began_at: float
    ) -> None:
        if service in self._blocked:
            self._blocked.discard(service)
            self._events.emit(
                SessionEvent.takeover_unblocked,
                service=service,
                outcome=outcome,
                waited_ms=round((self._clock() - began_at) * _MS_PER_S),
            )


def _has_paused_replica(observed: ServiceObservation) -> bool:
    return any(replica.paused_term for replica in observed.replicas)
