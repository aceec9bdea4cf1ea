"""Finds members and connections for statements."""

from collections.abc import Callable
from dataclasses import dataclass

from lavendergate.controllers.fleet_view import FleetView
from lavendergate.controllers.member_link import MemberLink
from lavendergate.controllers.positions import PrimaryPositions
from lavendergate.controllers.session_pools import SessionPools
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.routes import Consistency, Route
from lavendergate.core.sessions.freshness import (
    earliest_sample_time,
    required_position,
)
from lavendergate.core.sessions.member_wait import member_wait_deadline
from lavendergate.core.sessions.placement import (
    ReadCandidate,
    order_for_read,
)
from lavendergate.core.sessions.statements import (
    RefusalCode,
    Refused,
    SessionAnswer,
)
from lavendergate.core.types import GroupId, LogPosition, UpstreamId
from lavendergate.filters.sessions.base import SessionFilter, SessionRequest

# Share of a staleness bound after which a position is read again in the
# background, before a read has to wait for it. Positions that control hosts
# share are younger while they reach the primary.
_REFRESH_SHARE = 0.75
_MS_PER_S = 1000
_RECHECK_S = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadPlan:
    """Where a read may run.

    Parameters
    ----------
    members
        Members to try, best first.
    position
        What the member must have applied.
    asked_at
        When the primary was asked for the position.
    """

    members: tuple[MemberEntry, ...]
    position: LogPosition
    asked_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadDemand:
    """What a read needs.

    Parameters
    ----------
    arrived_at
        Arrival of the read or its transaction, on the clock of positions.
    started_at, deadline
        Arrival and end of the time to answer, on the monotonic clock.
    own
        Position of the session's last write.
    """

    route: Route
    arrived_at: float
    started_at: float
    deadline: float
    own: LogPosition | None


class Placing:
    """Chooses members by the view, the links and the positions.

    Parameters
    ----------
    view, pools, positions
        What this host knows.
    monotonic
        Monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        pools: SessionPools,
        positions: PrimaryPositions,
        monotonic: Callable[[], float],
    ) -> None:
        self._view = view
        self._pools = pools
        self._positions = positions
        self._monotonic = monotonic

    async def plan_read(self, demand: ReadDemand) -> ReadPlan | None:
        """Return where a read may run; None if no position is known in time."""
        route = demand.route
        needed_since = earliest_sample_time(
            route.consistency, route.max_staleness_ms, demand.arrived_at
        )
        self._refresh_early(route)
        until = member_wait_deadline(route, demand.started_at, demand.deadline)
        sample = await self._positions.wait_for_sample(
            route.service, needed_since, until
        )
        if sample is None:
            return None
        position = required_position(sample, demand.own)
        return ReadPlan(
            members=self._members(route, position),
            position=position,
            asked_at=sample.asked_at,
        )

    async def find_primary(
        self, route: Route, started_at: float, deadline: float
    ) -> MemberEntry | None:
        """Return the primary; wait a little while there is none."""
        until = member_wait_deadline(route, started_at, deadline)
        while True:
            primary = self._usable_primary(route.service)
            now = self._monotonic()
            if primary is not None or now >= until:
                return primary
            await self._view.wait_for_change(min(_RECHECK_S, until - now))

    def _usable_primary(self, service: GroupId) -> MemberEntry | None:
        primary = self._view.primary_of(service)
        if primary is None or not self._view.accepts_work(primary):
            return None
        if self._view.has_denied_being_primary(primary):
            return None
        if self._pools.link(primary).is_suspect:
            return None
        return primary

    def note_refusal(self, member: MemberEntry, answer: SessionAnswer) -> None:
        """Learn from a member's refusal where the primary is not."""
        outcome = answer.outcome
        if isinstance(outcome, Refused):
            if outcome.code == RefusalCode.read_only:
                self._view.record_primary_denial(
                    member.service, member.upstream_id
                )
                self._positions.refresh(member.service)

    def note_write(
        self, request: SessionRequest, answer: SessionAnswer, asked_at: float
    ) -> None:
        """Learn the position of an acknowledged write.

        Parameters
        ----------
        asked_at
            When the write was sent, on the clock of positions.
        """
        position = answer.position
        if position is not None:
            request.session.note_write(position)
            service = request.known_route.service
            self._positions.add(service, position, asked_at)

    def _refresh_early(self, route: Route) -> None:
        if route.consistency == Consistency.primary:
            return
        age_s = (
            self._positions.now()
            - self._positions.history(route.service).newest_asked_at
        )
        if age_s > _REFRESH_SHARE * route.max_staleness_ms / _MS_PER_S:
            self._positions.refresh(route.service)

    def _members(
        self, route: Route, position: LogPosition
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
                return (primary, *self._others(members, primary))
        candidates = tuple(
            self._candidate(entry, primary) for entry in members.values()
        )
        return tuple(
            members[upstream_id]
            for upstream_id in order_for_read(candidates, position)
        )

    def _others(
        self, members: dict[UpstreamId, MemberEntry], primary: MemberEntry
    ) -> tuple[MemberEntry, ...]:
        return tuple(
            entry
            for entry in members.values()
            if entry.upstream_id != primary.upstream_id
        )

    def _candidate(
        self, entry: MemberEntry, primary: MemberEntry | None
    ) -> ReadCandidate:
        link: MemberLink = self._pools.link(entry)
        return ReadCandidate(
            upstream_id=entry.upstream_id,
            is_primary=primary is not None
            and entry.upstream_id == primary.upstream_id,
            latency_s=link.latency_s,
            in_flight=link.in_flight,
            slots=entry.slots,
            applied=link.applied,
            applied_age_s=self._monotonic() - link.applied_at,
            is_suspect=link.is_suspect,
        )


class PlacingFilter(SessionFilter):
    """Base of the filters that run statements at members.

    Parameters
    ----------
    placing, pools, positions
        Where statements may run.
    monotonic
        Monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        placing: Placing,
        pools: SessionPools,
        positions: PrimaryPositions,
        monotonic: Callable[[], float],
    ) -> None:
        self._placing = placing
        self._pools = pools
        self._positions = positions
        self._monotonic = monotonic
