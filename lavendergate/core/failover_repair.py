"""Makes members that do not follow the confirmed primary follow it."""

from dataclasses import replace

from lavendergate.core.failover_rules import members_not_following
from lavendergate.core.failover_types import (
    Effect,
    FenceAnswered,
    FenceMember,
    FollowAnswered,
    FollowPrimary,
    GroupFailover,
    Observed,
    Report,
    ReportKind,
    Step,
)
from lavendergate.core.types import Term, UpstreamId

# Longer than the 1.5 s after which announcements show the effect of a call.
# Repeating the call before that would restart replication needlessly.
_FOLLOW_RETRY_INTERVAL_S = 2.0
_CALL_RETRY_INTERVAL_S = 0.75


def repair(state: GroupFailover, event: Observed, now: float) -> Step:
    """Fence or redirect the members that do not follow the primary.

    A returning old primary is fenced first, so that it refuses writes of its
    former term from then on.
    """
    record = event.record
    if record.primary is None:
        return state, ()
    retry_at = dict(state.retry_at)
    effects: list[Effect] = []
    for view in members_not_following(event):
        if now < retry_at.get(view.upstream_id, now):
            continue
        retry_at[view.upstream_id] = now + _CALL_RETRY_INTERVAL_S
        if view.status.promised_term < record.term:
            effects.append(
                FenceMember(upstream_id=view.upstream_id, term=record.term)
            )
        elif view.status.promised_term == record.term:
            effects.append(
                _follow_primary(view.upstream_id, record.term, record.primary)
            )
    return replace(state, retry_at=retry_at), tuple(effects)


def fence_other_members(
    state: GroupFailover, primary: UpstreamId, term: Term, now: float
) -> Step:
    """Fence the other members after a primary has been confirmed.

    Each is told to follow the primary once it has answered the fence.
    """
    observed = state.observed
    if observed is None:
        return state, ()
    others = sorted(observed.record.member_ids - {primary})
    retry_at = {
        upstream_id: now + _CALL_RETRY_INTERVAL_S for upstream_id in others
    }
    effects = [
        FenceMember(upstream_id=upstream_id, term=term)
        for upstream_id in others
    ]
    return replace(state, retry_at=retry_at), tuple(effects)


def fence_answered(
    state: GroupFailover, event: FenceAnswered, now: float
) -> Step:
    """Make a fenced member follow the primary.

    A refusal means that the member had already promised this term or a later
    one; the member refuses `group_follow` in the latter case.
    """
    observed = state.observed
    is_fenced = event.refused or event.status is not None
    if observed is None or not is_fenced:
        return state, ()
    record = observed.record
    is_current = record.term == event.term and not record.is_promoting
    if not is_current or record.primary in {None, event.upstream_id}:
        return state, ()
    return state, _follow_effects(event, record.primary)


def follow_answered(
    state: GroupFailover, event: FollowAnswered, now: float
) -> Step:
    """Report the entries that a member removed when it began to follow."""
    if event.truncated_entries is None:
        return state, ()
    retry_at = {
        **state.retry_at,
        event.upstream_id: now + _FOLLOW_RETRY_INTERVAL_S,
    }
    state = replace(state, retry_at=retry_at)
    if event.truncated_entries == 0:
        return state, ()
    return state, (
        Report(
            kind=ReportKind.tail_truncated,
            message=(
                f'{event.upstream_id} removed {event.truncated_entries} '
                f'unacknowledged entries when it followed the primary of '
                f'term {event.term}'
            ),
        ),
    )


def _follow_effects(
    event: FenceAnswered, primary: UpstreamId | None
) -> tuple[Effect, ...]:
    if primary is None:
        return ()
    return (_follow_primary(event.upstream_id, event.term, primary),)


def _follow_primary(
    upstream_id: UpstreamId, term: Term, primary: UpstreamId
) -> FollowPrimary:
    return FollowPrimary(upstream_id=upstream_id, term=term, primary=primary)
