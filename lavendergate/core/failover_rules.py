"""Rules of failover: when to promote, whom to promote, who must follow."""

from collections.abc import Iterable, Mapping

from lavendergate.core.failover_types import (
    Attempt,
    GroupFailover,
    Observed,
    Reason,
)
from lavendergate.core.records import GroupRecord
from lavendergate.core.types import (
    NO_TERM,
    MemberRole,
    MemberStatus,
    MemberView,
    Term,
    UpstreamId,
)

# A replica that has not heard from the primary for this long counts as
# disconnected from it.
CONTACT_LOSS_MS = 1000

# Members of a new group start at different times. Once a majority is
# registered and this time has passed, the first primary is promoted without
# waiting for the others.
NEW_GROUP_WAIT_S = 5.0

# An announcement that a proxy forwards may be as old as a heartbeat interval
# (500 ms) plus an announcement interval (250 ms). After twice that time, every
# announcement that arrives was sent after the promotion.
STATUS_DELAY_S = 1.5


def next_attempt(
    state: GroupFailover, event: Observed, now: float
) -> Attempt | None:
    """Return the attempt that the group requires now, or None."""
    record = event.record
    if record.is_promoting:
        if state.confirmed_term == record.begun_term:
            return None  # the confirmation is committed but not applied yet
        return _next_term_attempt(record, Reason.unfinished)
    if record.primary is None:
        if _is_new_group_ready(state, event, now):
            return _next_term_attempt(record, Reason.first_primary)
        return None
    if event.settings.enabled and is_primary_lost(state, event, now):
        return _next_term_attempt(
            record, Reason.automatic, old_primary=record.primary
        )
    return None


def is_primary_lost(state: GroupFailover, event: Observed, now: float) -> bool:
    """Whether the primary has failed; the minimum interval does not matter."""
    if not _has_current_status(state, now):
        return False
    if event.suspicion.is_reported_by_enough or _has_lost_role(event):
        return True
    return _count_disconnected_replicas(event) >= event.record.majority


def must_wait_for_min_interval(
    state: GroupFailover, event: Observed, now: float
) -> bool:
    """Whether an automatic promotion must wait for the minimum interval.

    Always False if all watchers report that the primary failed.
    """
    if (
        state.automatic_promotion_at is None
        or event.suspicion.is_reported_by_all
    ):
        return False
    return now - state.automatic_promotion_at < event.settings.min_interval_s


def fencing_is_complete(
    record: GroupRecord,
    attempt: Attempt,
    fenced: Iterable[UpstreamId],
    *,
    is_wait_over: bool,
) -> bool:
    """Whether a majority of the committed members promised the term.

    Until the wait for preferred members is over, an attempt with a target
    also requires the target's promise, and any other attempt requires a
    majority without the old primary.
    """
    counted = record.member_ids.intersection(fenced)
    if len(counted) < record.majority or is_wait_over:
        return len(counted) >= record.majority
    if attempt.target is not None:
        return attempt.target in counted
    return len(counted - {attempt.old_primary}) >= record.majority


def choose_candidate(
    event: Observed,
    attempt: Attempt,
    fenced: Mapping[UpstreamId, MemberStatus],
) -> UpstreamId:
    """Return the most advanced of the fenced members.

    An acknowledged write is stored by a majority, so the most advanced member
    of any fenced majority has it. The old primary is left out if the others are
    a majority. Among equally advanced members the old primary comes last; the
    target is preferred, then members that are not leaving, then members in the
    old primary's region, then those with the fewest connections.
    """
    counted = {
        upstream_id: status
        for upstream_id, status in fenced.items()
        if upstream_id in event.record.member_ids
    }
    others = {
        upstream_id: status
        for upstream_id, status in counted.items()
        if upstream_id != attempt.old_primary
    }
    if len(others) >= event.record.majority:
        counted = others
    highest = max(status.last_entry for status in counted.values())
    equals = [
        upstream_id
        for upstream_id, status in counted.items()
        if status.last_entry == highest
    ]
    return min(equals, key=lambda one: _preference_key(event, attempt, one))


def switchover_problem(
    event: Observed, target: UpstreamId | None
) -> str | None:
    """Return why a switchover cannot start and the remedy, or None."""
    record = event.record
    if record.is_promoting or record.primary is None:
        return 'the group has no confirmed primary; try again when it has one'
    if target is None:
        if choose_target(event) is None:
            return 'no replica is in contact with the primary; check replicas'
        return None
    if target == record.primary:
        return f'{target} is the primary already; choose a replica'
    view = event.members.get(target)
    if target not in record.member_ids or view is None:
        return f'{target} is not an announced member; choose a live member'
    if not _is_ready_target(record, view):
        return (
            f'{target} is leaving, or is not in contact with the primary as '
            'its replica; wait, or choose another'
        )
    return None


def choose_target(event: Observed) -> UpstreamId | None:
    """Return the most advanced replica that can take over, or None."""
    record = event.record
    ready = [
        view
        for upstream_id, view in event.members.items()
        if upstream_id in record.member_ids
        and upstream_id != record.primary
        and _is_ready_target(record, view)
    ]
    if not ready:
        return None
    return max(ready, key=lambda view: view.status.last_entry).upstream_id


def members_not_following(event: Observed) -> tuple[MemberView, ...]:
    """Return the members that do not follow the confirmed primary."""
    record = event.record
    return tuple(
        view
        for upstream_id, view in sorted(event.members.items())
        if upstream_id in record.member_ids
        and upstream_id != record.primary
        and not _follows(view.status, record.term)
    )


def _next_term_attempt(
    record: GroupRecord, reason: Reason, old_primary: UpstreamId | None = None
) -> Attempt:
    return Attempt(
        term=Term(record.begun_term + 1), reason=reason, old_primary=old_primary
    )


def _is_new_group_ready(
    state: GroupFailover, event: Observed, now: float
) -> bool:
    registered = len(event.record.member_ids)
    if registered >= event.settings.members:
        return True
    if state.first_observed_at is None:
        return False
    has_waited = now - state.first_observed_at >= NEW_GROUP_WAIT_S
    return has_waited and registered > event.settings.members // 2


def _has_current_status(state: GroupFailover, now: float) -> bool:
    if state.confirmed_at is None:
        return False
    return now - state.confirmed_at >= STATUS_DELAY_S


def _has_lost_role(event: Observed) -> bool:
    """Whether the primary announces a role other than primary."""
    record = event.record
    if record.primary is None:
        return False
    view = event.members.get(record.primary)
    return view is not None and view.status.role is not MemberRole.primary


def _count_disconnected_replicas(event: Observed) -> int:
    """Count the replicas of the current term without primary contact."""
    record = event.record
    return sum(
        view.status.primary_contact_ms >= CONTACT_LOSS_MS
        for upstream_id, view in event.members.items()
        if upstream_id in record.member_ids
        and upstream_id != record.primary
        and _follows(view.status, record.term)
    )


def _follows(status: MemberStatus, term: Term) -> bool:
    if term == NO_TERM or status.promised_term != term:
        return False
    return status.role is MemberRole.replica


def _is_ready_target(record: GroupRecord, view: MemberView) -> bool:
    if view.leaving or not _follows(view.status, record.term):
        return False
    return view.status.primary_contact_ms < CONTACT_LOSS_MS


def _preference_key(
    event: Observed, attempt: Attempt, upstream_id: UpstreamId
) -> tuple[tuple[bool, ...], int, str]:
    view = event.members.get(upstream_id)
    old = event.record.primary
    old_view = None if old is None else event.members.get(old)
    is_remote = (
        view is not None
        and old_view is not None
        and view.region != old_view.region
    )
    order = (
        upstream_id == attempt.old_primary,
        upstream_id != attempt.target,
        view is None or view.leaving,
        is_remote,
    )
    load = 0 if view is None else view.status.connections
    return order, load, upstream_id
