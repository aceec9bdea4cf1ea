"""Selection of the member that runs a read or write."""

import functools
from collections.abc import Mapping, Set

from lavendergate.core.decisions import (
    BoundedRead,
    Decision,
    ObtainReadIndex,
    Refuse,
    Request,
    SessionRead,
    UseMember,
    UsePrimary,
    WaitForPrimary,
    WaitOnMember,
    WriteRequest,
)
from lavendergate.core.errors import LostPositionError, StaleBoundError
from lavendergate.core.member_load import (
    NO_LOAD,
    Loads,
    RoutingPolicy,
    expected_latency_ms,
    least_loaded,
)
from lavendergate.core.term_history import (
    log_contains,
    may_be_in_log,
    next_start,
)
from lavendergate.core.types import (
    GroupView,
    LogPosition,
    MemberView,
    Term,
    UpstreamId,
)

KnownPositions = Mapping[UpstreamId, LogPosition]

_MS_PER_S = 1000
_CACHED_DECISIONS = 4096
# Longer than with a primary, because there is no primary to fall back to.
_WAIT_WITHOUT_PRIMARY_MS = 100
_WAIT_FOR_PRIMARY = WaitForPrimary()


def route(
    request: Request,
    view: GroupView,
    loads: Loads,
    now: float,
    *,
    policy: RoutingPolicy,
    known: KnownPositions,
    without_share: Set[UpstreamId] = frozenset(),
    tie_breaker: float = 0,
) -> Decision:
    """Decide where a statement runs.

    Parameters
    ----------
    request
        What the statement needs.
    view
        This proxy's view of the group.
    loads
        Load by member; a member without an entry counts as idle.
    now
        Monotonic clock, in seconds.
    policy
        Routing settings and location of this proxy.
    known
        Last log entry by member as learned outside of announcements, for
        instance from a wait. The later of this and the announced one counts.
    without_share
        Members at which this proxy may hold no connection. No read waits for
        such a replica while it could run elsewhere.
    tie_breaker
        Random number from 0 to 1 that selects among equal members.
    """
    match request:
        case WriteRequest():
            return _route_to_primary(view)
        case SessionRead(position=position):
            if position is None:
                return _read_index_or_wait(view)
            context = _RoutingContext(
                view, loads, policy, without_share, tie_breaker, now
            )
            return _route_session_read(request, position, context, known)
        case BoundedRead(max_age_ms=max_age_ms):
            context = _RoutingContext(
                view, loads, policy, without_share, tie_breaker, now
            )
            return _route_bounded_read(max_age_ms, context)


def known_age_ms(member: MemberView, now: float) -> float:
    """Return the last known age of a member's data, in milliseconds.

    It is the age that the member reported plus the time since that report was
    observed.
    """
    observation_age_ms = (now - member.observed_at) * _MS_PER_S
    applied_age_ms = member.status.applied_age_ms
    if observation_age_ms < 0:
        return applied_age_ms
    return applied_age_ms + observation_age_ms


class _RoutingContext:
    """Inputs of one routing decision and helpers that use them."""

    __slots__ = (
        '_loads',
        '_policy',
        '_tie_breaker',
        '_without_share',
        'now',
        'view',
    )

    def __init__(
        self,
        view: GroupView,
        loads: Loads,
        policy: RoutingPolicy,
        without_share: Set[UpstreamId],
        tie_breaker: float,
        now: float,
    ) -> None:
        self.view = view
        self.now = now
        self._loads = loads
        self._policy = policy
        self._without_share = without_share
        self._tie_breaker = tie_breaker

    def replicas(self) -> list[MemberView]:
        """Return the replicas that accept new work.

        Replicas without share are among them only if this proxy may hold no
        connection to any other member either.
        """
        primary = self.view.primary
        loads = self._loads
        accepting = [
            member
            for member in self.view.members
            if member.upstream_id != primary
            and not member.leaving
            and not loads.get(member.upstream_id, NO_LOAD).is_ejected
        ]
        if not self._without_share:
            return accepting
        connectable = [
            member
            for member in accepting
            if member.upstream_id not in self._without_share
        ]
        return connectable if connectable or self._has_primary() else accepting

    def least_loaded(self, candidates: list[MemberView]) -> MemberView:
        """Return the least loaded of the candidates, at least one."""
        return least_loaded(
            candidates, self._loads, self._policy, self._tie_breaker
        )

    def best_replica_or_primary(
        self,
        candidates: list[MemberView],
        primary: MemberView | None,
    ) -> Decision:
        """Use the least loaded replica, or the primary if it is much faster.

        A replica whose latency is to be measured comes before both.
        """
        due = [
            member
            for member in candidates
            if self._loads.get(member.upstream_id, NO_LOAD).is_due(self.now)
        ]
        if due:
            return _use_member(self.least_loaded(due).upstream_id)
        replica = self.least_loaded(candidates)
        if primary is not None and self._is_much_faster(primary, replica):
            return _use_primary(primary.upstream_id, self.view.term)
        return _use_member(replica.upstream_id)

    def wait_limit_ms(self, primary: UpstreamId | None) -> int:
        """Return the maximum wait on a replica, in milliseconds.

        After a longer wait it would have been faster to use the primary.
        """
        if primary is None:
            return _WAIT_WITHOUT_PRIMARY_MS
        policy = self._policy
        load = self._loads.get(primary, NO_LOAD)
        limit_ms = policy.replica_wait_ms + int(load.queue_ms)
        member = self.view.member(primary)
        if member is not None and member.region != policy.region:
            limit_ms += int(load.latency_ms) or policy.cross_region_ms
        return limit_ms

    def _has_primary(self) -> bool:
        primary = _usable_primary(self.view)
        return primary is not None and primary not in self._without_share

    def _is_much_faster(self, primary: MemberView, replica: MemberView) -> bool:
        policy = self._policy
        primary_ms = expected_latency_ms(primary, self._loads, policy)
        replica_ms = expected_latency_ms(replica, self._loads, policy)
        return replica_ms > policy.primary_read_factor * primary_ms


def _route_to_primary(view: GroupView) -> Decision:
    primary = _usable_primary(view)
    if primary is None:
        return _WAIT_FOR_PRIMARY
    return _use_primary(primary, view.term)


def _read_index_or_wait(view: GroupView) -> Decision:
    primary = _usable_primary(view)
    if primary is None:
        return _WAIT_FOR_PRIMARY
    return _obtain_read_index(primary, view.term)


def _usable_primary(view: GroupView) -> UpstreamId | None:
    # A primary without a current announcement stays in use: missing
    # announcements alone are no reason to replace it.
    for member in view.members:
        if member.upstream_id == view.primary:
            return None if member.leaving else view.primary
    return view.primary


def _route_session_read(
    request: SessionRead,
    position: LogPosition,
    context: _RoutingContext,
    known: KnownPositions,
) -> Decision:
    view = context.view
    history = view.term_history
    if position.term < view.term and not may_be_in_log(history, position):
        return _lost_position(request, position, view)
    lagging_replicas: list[MemberView] = []
    up_to_date: list[MemberView] = []
    for member in context.replicas():
        last = known.get(member.upstream_id)
        announced = member.status.last_entry
        if last is None or _precedes(last, announced):
            last = announced
        is_up_to_date = log_contains(history, last, position)
        (up_to_date if is_up_to_date else lagging_replicas).append(member)
    # A position of a newer term than the view shows that the primary in the
    # view has been replaced.
    is_current = position.term <= view.term
    primary = _usable_primary(view) if is_current else None
    if up_to_date:
        primary_view = None if primary is None else view.member(primary)
        return context.best_replica_or_primary(up_to_date, primary_view)
    if lagging_replicas and not request.has_waited:
        waiting = _wait_on_replica(position, lagging_replicas, primary, context)
        if waiting is not None:
            return waiting
    if primary is None:
        return _WAIT_FOR_PRIMARY
    return _use_primary(primary, view.term)


def _precedes(one: LogPosition, other: LogPosition) -> bool:
    # Faster than the generated comparison of data classes, which builds two
    # tuples.
    if one.term == other.term:
        return one.position < other.position
    return one.term < other.term


def _lost_position(
    request: SessionRead,
    position: LogPosition,
    view: GroupView,
) -> Decision:
    later_term = next_start(view.term_history, position)
    if request.is_read_index or later_term is None:
        return _read_index_or_wait(view)
    return Refuse(
        error=LostPositionError(
            group_id=view.group_id,
            position=position,
            next_term=later_term.term,
            next_start=later_term.first_position,
        ),
    )


def _wait_on_replica(
    position: LogPosition,
    lagging_replicas: list[MemberView],
    primary: UpstreamId | None,
    context: _RoutingContext,
) -> WaitOnMember | None:
    limit_ms = context.wait_limit_ms(primary)
    eligible = [
        member
        for member in lagging_replicas
        if primary is None or member.status.applied_age_ms <= limit_ms
    ]
    if not eligible:
        return None
    member = context.least_loaded(eligible)
    return WaitOnMember(
        upstream_id=member.upstream_id,
        position=position,
        timeout_ms=limit_ms,
    )


def _route_bounded_read(max_age_ms: int, context: _RoutingContext) -> Decision:
    view = context.view
    now = context.now
    fresh_replicas = [
        member
        for member in context.replicas()
        if _is_fresh_enough(member, view, max_age_ms, now)
    ]
    primary = _usable_primary(view)
    member = None if primary is None else view.member(primary)
    if member is not None and not _is_fresh_enough(
        member, view, max_age_ms, now
    ):
        member = None
    if fresh_replicas:
        return context.best_replica_or_primary(fresh_replicas, member)
    if primary is None:
        return _wait_for_fresh_member(max_age_ms, view, now)
    if member is not None:
        return _use_primary(primary, view.term)
    # The primary's last observation is too old, and the primary may have been
    # replaced since then.
    return _obtain_read_index(primary, view.term)


def _is_fresh_enough(
    member: MemberView,
    view: GroupView,
    max_age_ms: int,
    now: float,
) -> bool:
    # A member that has not promised the current term may still replicate from a
    # replaced primary; the age that it reports is relative to that primary.
    status = member.status
    term = view.term
    if status.promised_term < term and status.last_entry.term < term:
        return False
    return known_age_ms(member, now) <= max_age_ms


def _wait_for_fresh_member(
    max_age_ms: int, view: GroupView, now: float
) -> Decision:
    ages = [known_age_ms(member, now) for member in view.members]
    return WaitForPrimary(
        error=StaleBoundError(
            group_id=view.group_id,
            max_age_ms=max_age_ms,
            freshest_age_ms=int(min(ages)) if ages else None,
        ),
    )


@functools.lru_cache(maxsize=_CACHED_DECISIONS)
def _use_member(upstream_id: UpstreamId) -> UseMember:
    return UseMember(upstream_id=upstream_id)


@functools.lru_cache(maxsize=_CACHED_DECISIONS)
def _use_primary(upstream_id: UpstreamId, term: Term) -> UsePrimary:
    return UsePrimary(upstream_id=upstream_id, term=term)


@functools.lru_cache(maxsize=_CACHED_DECISIONS)
def _obtain_read_index(upstream_id: UpstreamId, term: Term) -> ObtainReadIndex:
    return ObtainReadIndex(upstream_id=upstream_id, term=term)
