"""Selection of a member for a read or write."""

import functools
from collections.abc import Mapping

from lavendergate.core.decisions import (
    BoundedRead,
    ConfirmFirst,
    Decision,
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
    cost_ms,
    least_loaded,
)
from lavendergate.core.term_history import (
    log_contains,
    may_be_on_log,
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
# Without a primary a replica is worth a longer wait.
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
    tie: float = 0,
) -> Decision:
    """Decide where a statement runs.

    Parameters
    ----------
    request
        What the statement needs.
    view
        What this proxy knows about the group.
    loads
        Load by member; a member that is missing counts as idle.
    now
        Monotonic clock, in seconds.
    policy
        Settings and place of this proxy.
    known
        Last log entry by member where it is known to be newer than the
        member's announcement, for instance from a wait.
    tie
        Random number from 0 to 1 that decides between equal members.
    """
    match request:
        case WriteRequest():
            return _route_write(view)
        case SessionRead(position=position):
            if position is None:
                return _confirm(view)
            choice = _Choice(view, loads, policy, tie)
            return _route_session_read(request, position, choice, known)
        case BoundedRead(max_age_ms=max_age_ms):
            choice = _Choice(view, loads, policy, tie)
            return _route_bounded_read(max_age_ms, choice, now)


def known_age_ms(member: MemberView, now: float) -> float:
    """Return the age of a member's data, as far as it is known.

    The reported age is as old as its observation.
    """
    observation_ms = (now - member.observed_at) * _MS_PER_S
    applied_age_ms = member.status.applied_age_ms
    if observation_ms < 0:
        return applied_age_ms
    return applied_age_ms + observation_ms


class _Choice:
    """The inputs of one routing decision that its steps share."""

    __slots__ = ('_loads', '_policy', '_tie', 'view')

    def __init__(
        self,
        view: GroupView,
        loads: Loads,
        policy: RoutingPolicy,
        tie: float,
    ) -> None:
        self.view = view
        self._loads = loads
        self._policy = policy
        self._tie = tie

    def replicas(self) -> list[MemberView]:
        """Return the replicas that accept new work."""
        primary = self.view.primary
        loads = self._loads
        return [
            member
            for member in self.view.members
            if member.upstream_id != primary
            and not member.leaving
            and not loads.get(member.upstream_id, NO_LOAD).is_ejected
        ]

    def least_loaded(self, candidates: list[MemberView]) -> MemberView:
        """Return the best of at least one candidate."""
        return least_loaded(candidates, self._loads, self._policy, self._tie)

    def best_of(
        self,
        candidates: list[MemberView],
        primary: MemberView | None,
    ) -> Decision:
        """Use the best replica, or the primary if that is much faster."""
        best = self.least_loaded(candidates)
        if primary is not None and self._is_much_faster(primary, best):
            return _use_primary(primary.upstream_id, self.view.term)
        return _use_member(best.upstream_id)

    def wait_limit_ms(self, primary: UpstreamId | None) -> int:
        """Return the longest wait that is cheaper than the primary."""
        if primary is None:
            return _WAIT_WITHOUT_PRIMARY_MS
        policy = self._policy
        load = self._loads.get(primary, NO_LOAD)
        limit_ms = policy.replica_wait_ms + int(load.queue_ms)
        member = self.view.member(primary)
        if member is not None and member.region != policy.region:
            limit_ms += policy.cross_region_ms
        return limit_ms

    def _is_much_faster(self, primary: MemberView, best: MemberView) -> bool:
        policy = self._policy
        primary_ms = cost_ms(primary, self._loads, policy)
        best_ms = cost_ms(best, self._loads, policy)
        return best_ms > policy.spill_factor * primary_ms


def _route_write(view: GroupView) -> Decision:
    primary = _usable_primary(view)
    if primary is None:
        return _WAIT_FOR_PRIMARY
    return _use_primary(primary, view.term)


def _confirm(view: GroupView) -> Decision:
    primary = _usable_primary(view)
    if primary is None:
        return _WAIT_FOR_PRIMARY
    return _confirm_first(primary, view.term)


def _usable_primary(view: GroupView) -> UpstreamId | None:
    # A primary without a current announcement stays in use: missing
    # announcements alone never replace it.
    for member in view.members:
        if member.upstream_id == view.primary:
            return None if member.leaving else view.primary
    return view.primary


def _route_session_read(
    request: SessionRead,
    position: LogPosition,
    choice: _Choice,
    known: KnownPositions,
) -> Decision:
    view = choice.view
    history = view.term_history
    if position.term < view.term and not may_be_on_log(history, position):
        return _lost_position(request, position, view)
    lagging: list[MemberView] = []
    holders: list[MemberView] = []
    for member in choice.replicas():
        last = known.get(member.upstream_id)
        announced = member.status.last_entry
        if last is None or _is_older(last, announced):
            last = announced
        is_holder = log_contains(history, last, position)
        (holders if is_holder else lagging).append(member)
    # A token of a newer term shows that this view's primary was replaced.
    is_current = position.term <= view.term
    primary = _usable_primary(view) if is_current else None
    if holders:
        spill = None if primary is None else view.member(primary)
        return choice.best_of(holders, spill)
    if lagging and not request.has_waited:
        waiting = _wait(position, lagging, primary, choice)
        if waiting is not None:
            return waiting
    if primary is None:
        return _WAIT_FOR_PRIMARY
    return _use_primary(primary, view.term)


def _is_older(one: LogPosition, other: LogPosition) -> bool:
    # The generated comparison of data classes builds two tuples.
    if one.term == other.term:
        return one.position < other.position
    return one.term < other.term


def _lost_position(
    request: SessionRead,
    position: LogPosition,
    view: GroupView,
) -> Decision:
    start = next_start(view.term_history, position)
    if request.is_read_index or start is None:
        return _confirm(view)
    return Refuse(
        error=LostPositionError(
            group_id=view.group_id,
            position=position,
            next_term=start.term,
            next_start=start.first_position,
        ),
    )


def _wait(
    position: LogPosition,
    lagging: list[MemberView],
    primary: UpstreamId | None,
    choice: _Choice,
) -> WaitOnMember | None:
    limit_ms = choice.wait_limit_ms(primary)
    near = [
        member
        for member in lagging
        if primary is None or member.status.applied_age_ms <= limit_ms
    ]
    if not near:
        return None
    member = choice.least_loaded(near)
    return WaitOnMember(
        upstream_id=member.upstream_id,
        position=position,
        timeout_ms=limit_ms,
    )


def _route_bounded_read(
    max_age_ms: int,
    choice: _Choice,
    now: float,
) -> Decision:
    view = choice.view
    fresh = [
        member
        for member in choice.replicas()
        if _is_within(member, view, max_age_ms, now)
    ]
    primary = _usable_primary(view)
    member = None if primary is None else view.member(primary)
    if member is not None and not _is_within(member, view, max_age_ms, now):
        member = None
    if fresh:
        return choice.best_of(fresh, member)
    if primary is None:
        return _wait_stale(max_age_ms, view, now)
    if member is not None:
        return _use_primary(primary, view.term)
    # The primary may have been replaced since it was last observed.
    return _confirm_first(primary, view.term)


def _is_within(
    member: MemberView,
    view: GroupView,
    max_age_ms: int,
    now: float,
) -> bool:
    # A member that did not promise the current term may still follow a
    # replaced primary, and its age is relative to that one.
    status = member.status
    term = view.term
    if status.promised_term < term and status.last_entry.term < term:
        return False
    return known_age_ms(member, now) <= max_age_ms


def _wait_stale(max_age_ms: int, view: GroupView, now: float) -> Decision:
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
def _confirm_first(upstream_id: UpstreamId, term: Term) -> ConfirmFirst:
    return ConfirmFirst(upstream_id=upstream_id, term=term)
