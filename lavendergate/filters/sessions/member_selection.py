"""Selects members for the statements of sessions."""

from collections.abc import Callable
from dataclasses import dataclass

from lavendergate.controllers.fleet_view import FleetView
from lavendergate.controllers.positions import PrimaryPositions
from lavendergate.controllers.promotions.first_writes import (
    FirstWrites,
    HeldWrite,
)
from lavendergate.controllers.session_pools import SessionPools
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.leases.evidence import CommitProof, PrimaryCommit
from lavendergate.core.routes import Consistency, Route
from lavendergate.core.sessions.context import StatementContext
from lavendergate.core.sessions.freshness import (
    earliest_sample_time,
    required_position,
)
from lavendergate.core.sessions.member_wait import member_wait_deadline
from lavendergate.core.sessions.statements import (
    RefusalCode,
    Refused,
    SessionAnswer,
)
from lavendergate.core.types import GroupId, LogPosition, UpstreamId
from lavendergate.filters.sessions.base import (
    SessionFilter,
    SessionRequest,
    refusal_answer,
)
from lavendergate.filters.sessions.read_placement import ReadPlacement
from lavendergate.observability.exposition import HttpMetrics

# A position older than this fraction of `max_staleness_ms` is refreshed in the
# background, so that no read has to wait for it. While the control hosts reach
# the primary, the positions that they share are younger than that, and no
# refresh is needed.
_REFRESH_SHARE = 0.75
_MS_PER_S = 1000
_RECHECK_S = 0.1
# Time before the deadline at which the answer is given, in seconds.
_ANSWER_MARGIN_S = 0.05


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadPlan:
    """Members that can serve a read, and the position they must have applied.

    Parameters
    ----------
    members
        Members to try, best first.
    position
        Log position that the member must have applied.
    asked_at
        When the primary was asked for the position, on the clock of
        `PrimaryPositions`, in seconds.
    age_s
        Time since the position was reached, in seconds.
    """

    members: tuple[MemberEntry, ...]
    position: LogPosition
    asked_at: float
    age_s: float = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRequirements:
    """Consistency requirements and time limits of a read.

    Parameters
    ----------
    arrived_at
        Arrival of the read or its transaction, on the clock of
        `PrimaryPositions`, in seconds.
    arrived_at_monotonic, deadline
        Arrival of the statement and deadline for its answer, on the
        monotonic clock, in seconds.
    own_position, own_written_at
        Position of the session's last acknowledged write, and when the write
        was sent.
    """

    route: Route
    arrived_at: float
    arrived_at_monotonic: float
    deadline: float
    own_position: LogPosition | None
    own_written_at: float = float('-inf')


class MemberSelector:
    """Selects members by fleet view, connection state and known positions.

    Parameters
    ----------
    view
        Members, primaries and routes as this host knows them.
    pools
        Connections to members, with their latency and failures.
    positions
        Known log positions of primaries.
    first_writes
        Holds the first writes to promoted members.
    monotonic
        Monotonic time, in seconds.
    metrics
        Counts what proved the acknowledged writes.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        pools: SessionPools,
        positions: PrimaryPositions,
        first_writes: FirstWrites,
        monotonic: Callable[[], float],
        metrics: HttpMetrics,
    ) -> None:
        self._metrics = metrics
        self._view = view
        self._pools = pools
        self._positions = positions
        self._first_writes = first_writes
        self._monotonic = monotonic
        self._placement = ReadPlacement(pools=pools, monotonic=monotonic)

    async def plan_read(
        self, requirements: ReadRequirements
    ) -> ReadPlan | None:
        """Return a plan for a read; None if no position is known in time."""
        direct = self._plan_at_primary(requirements)
        if direct is not None:
            return direct
        route = requirements.route
        earliest_asked_at = earliest_sample_time(
            route.consistency, route.max_staleness_ms, requirements.arrived_at
        )
        self._refresh_before_expiry(route)
        give_up_at = member_wait_deadline(
            route, requirements.arrived_at_monotonic, requirements.deadline
        )
        sample = await self._positions.wait_for_sample(
            route.service, earliest_asked_at, give_up_at
        )
        if sample is None:
            return None
        position = required_position(sample, requirements.own_position)
        known_at = sample.asked_at
        if position == requirements.own_position:
            known_at = max(known_at, requirements.own_written_at)
        age_s = self._positions.now() - known_at
        return ReadPlan(
            members=self._members_for_read(route, position, age_s),
            position=position,
            asked_at=sample.asked_at,
            age_s=age_s,
        )

    def record_lag(
        self, route: Route, member: MemberEntry, plan: ReadPlan, code: object
    ) -> None:
        """Record whether a replica had applied the position of a plan.

        Parameters
        ----------
        code
            Code of the member's refusal; None if it served the read.
        """
        claim = self._view.claim_of(route.service)
        is_primary = claim is not None and (
            claim.upstream_id == member.upstream_id
        )
        if not is_primary and code in {None, RefusalCode.lagging}:
            self._placement.record_lag(
                member, plan.age_s, was_behind=code is not None
            )

    def _plan_at_primary(
        self, requirements: ReadRequirements
    ) -> ReadPlan | None:
        """Return a plan for a read of all commits at the leased primary.

        The primary has all commits, so its position need not be asked first.
        The plan requires the highest position that it reported, because a
        primary that restarted without data is still leased for a moment.
        """
        route = requirements.route
        if route.consistency != Consistency.primary:
            return None
        evidence = self._positions.evidence(route.service)
        if evidence.history.since(requirements.arrived_at) is not None:
            return None
        if not evidence.is_confirmed_at(requirements.arrived_at):
            return None
        primary = self._usable_primary(route.service)
        position = evidence.newest_position
        if primary is None or position is None or not position.position:
            return None
        own = requirements.own_position
        return ReadPlan(
            members=(primary,),
            position=position if own is None else max(position, own),
            asked_at=requirements.arrived_at,
        )

    async def find_primary(
        self,
        route: Route,
        arrived_at_monotonic: float,
        deadline: float,
        *,
        proved_at: float | None = None,
    ) -> MemberEntry | None:
        """Return the primary; None if none is usable within the wait time.

        Parameters
        ----------
        proved_at
            Time at which the primary must be proved to have been the newest,
            on the clock of `PrimaryPositions`; None for no proof.
        """
        give_up_at = member_wait_deadline(route, arrived_at_monotonic, deadline)
        if proved_at is not None:
            is_proved = await self._positions.wait_for_proof(
                route.service, proved_at, give_up_at
            )
            if not is_proved:
                return None
        while True:
            primary = self._usable_primary(route.service)
            now = self._monotonic()
            if primary is not None or now >= give_up_at:
                return primary
            await self._view.wait_for_change(min(_RECHECK_S, give_up_at - now))

    def _usable_primary(self, service: GroupId) -> MemberEntry | None:
        primary = self._view.primary_of(service)
        if primary is None or not self._view.accepts_work(primary):
            return None
        if self._view.has_denied_being_primary(primary):
            return None
        if self._pools.link(primary).is_suspect:
            return None
        if self._positions.is_being_replaced(service):
            return None
        return primary

    def proof_time_for_write(
        self, route: Route, arrived_at: float
    ) -> float | None:
        """Return when the primary must be proved to lead for a write.

        None if replicas confirm the writes of the service: they confirm none
        of a primary that was replaced.
        """
        return None if self._has_replica_confirmation(route) else arrived_at

    def _has_replica_confirmation(self, route: Route) -> bool:
        limits = self._view.routes.services.get(route.service)
        return limits is not None and limits.synchronous_replicas > 0

    def record_read(
        self,
        request: SessionRequest,
        member: MemberEntry,
        answer: SessionAnswer,
        sent_at: float,
    ) -> None:
        """Record the position that came with an answer of the primary.

        Parameters
        ----------
        sent_at
            When the read was sent, on the clock of `PrimaryPositions`, in
            seconds.
        """
        if answer.position is not None:
            self._positions.add(
                request.known_route.service,
                member.upstream_id,
                answer.position,
                sent_at,
            )

    def record_if_read_only(
        self, member: MemberEntry, answer: SessionAnswer
    ) -> None:
        """Record a refusal that shows that the member is not the primary."""
        outcome = answer.outcome
        if isinstance(outcome, Refused):
            if outcome.code == RefusalCode.read_only:
                self._view.record_primary_denial(
                    member.service, member.upstream_id
                )
                self._positions.refresh(member.service)

    async def can_acknowledge(self, request: SessionRequest) -> bool:
        """Return whether a write that is sent now could be acknowledged.

        Waits for a proof no longer than for a member.
        """
        route = request.known_route
        if not self._has_replica_confirmation(route):
            return True
        give_up_at = member_wait_deadline(
            route, request.arrived_at_monotonic, request.deadline
        )
        return await self._positions.wait_until_provable(
            route.service, give_up_at
        )

    async def hold_first_write(self, request: SessionRequest) -> HeldWrite:
        """Wait until the replicas of a new primary can confirm a write.

        The primary may have been replaced when the wait is over.
        """
        route = request.known_route
        if not self._has_replica_confirmation(route):
            return HeldWrite()
        held = await self._first_writes.wait(route.service, request.deadline)
        request.held_s += held.held_s
        return held

    async def acknowledge_write(
        self,
        request: SessionRequest,
        member: MemberEntry,
        answer: SessionAnswer,
        sent_at: float,
    ) -> SessionAnswer:
        """Return the answer for the caller to a write that a member ran.

        The write is acknowledged once it is proved that each member that may
        be promoted has it; see `lavendergate.core.leases.evidence`.

        Parameters
        ----------
        member
            Member that ran the write.
        sent_at
            When the write was sent, on the clock of `PrimaryPositions`, in
            seconds.
        """
        proof = await self._prove(request, member, answer)
        self._metrics.write_proofs.labels(proof.value).inc()
        if proof in {CommitProof.lease, CommitProof.members}:
            self._record_write(request, answer, sent_at)
            return answer
        return refusal_answer(
            request,
            RefusalCode.unknown,
            'the primary may be replaced by a member without the write, so it '
            'may be kept or lost: read it back before you repeat it',
        )

    async def _prove(
        self,
        request: SessionRequest,
        member: MemberEntry,
        answer: SessionAnswer,
    ) -> CommitProof:
        route = request.known_route
        service = route.service
        position = answer.position
        if position is None or not self._has_replica_confirmation(route):
            is_replaced = self._positions.is_being_replaced(service)
            return CommitProof.none if is_replaced else CommitProof.lease
        commit = PrimaryCommit(
            upstream_id=member.upstream_id,
            position=position,
            completed_at=self._positions.now(),
        )
        return await self._positions.prove_commit(
            service, commit, request.deadline - _ANSWER_MARGIN_S
        )

    def _record_write(
        self, request: SessionRequest, answer: SessionAnswer, sent_at: float
    ) -> None:
        position = answer.position
        if position is not None:
            request.session.record_write(position, sent_at)
            route = request.known_route
            if self._has_replica_confirmation(route):
                self._positions.add_acknowledged(
                    route.service, position, sent_at
                )

    def _refresh_before_expiry(self, route: Route) -> None:
        if route.consistency == Consistency.primary:
            return
        age_s = (
            self._positions.now()
            - self._positions.history(route.service).newest_asked_at
        )
        if age_s > _REFRESH_SHARE * route.max_staleness_ms / _MS_PER_S:
            self._positions.refresh(route.service)

    def _members_for_read(
        self, route: Route, position: LogPosition, age_s: float
    ) -> tuple[MemberEntry, ...]:
        service = route.service
        primary = self._view.primary_of(service)
        members = {
            entry.upstream_id: entry
            for entry in self._view.readable_members(service)
        }
        if primary is not None and self._view.accepts_work(primary):
            members[primary.upstream_id] = primary
            if route.consistency == Consistency.primary:
                return (primary, *self._members_except(members, primary))
        return tuple(
            members[upstream_id]
            for upstream_id in self._placement.order(
                members.values(),
                primary,
                position,
                age_s,
                StatementContext(route_priority=route.priority),
            )
        )

    def _members_except(
        self, members: dict[UpstreamId, MemberEntry], primary: MemberEntry
    ) -> tuple[MemberEntry, ...]:
        return tuple(
            entry
            for entry in members.values()
            if entry.upstream_id != primary.upstream_id
        )


class MemberFilter(SessionFilter):
    """Base class of the filters that run statements at members.

    Parameters
    ----------
    selector, pools, positions
        Selection of members, their connections, and known log positions.
    monotonic
        Monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        selector: MemberSelector,
        pools: SessionPools,
        positions: PrimaryPositions,
        monotonic: Callable[[], float],
    ) -> None:
        self._selector = selector
        self._pools = pools
        self._positions = positions
        self._monotonic = monotonic
