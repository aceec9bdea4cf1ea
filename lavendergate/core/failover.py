"""State machine for promotion, fencing and switchover in one group.

An attempt begins the term in the replicated log, fences a majority of the
committed members, promotes the most advanced of them, confirms it in the log
and makes the other members follow it. At most one candidate is promoted per
term: a promotion whose outcome is uncertain, or that a previous leader left
unfinished, is superseded by an attempt in a new term.
"""

from dataclasses import replace

from lavendergate.core import failover_repair, failover_steps
from lavendergate.core.failover_rules import (
    choose_target,
    is_primary_lost,
    must_wait_for_min_interval,
    next_attempt,
    switchover_problem,
)
from lavendergate.core.failover_types import (
    Attempt,
    BeginningTerm,
    CatchingUp,
    ConfirmAnswered,
    Confirming,
    Event,
    FenceAnswered,
    Fencing,
    FencingOldPrimary,
    FollowAnswered,
    GroupFailover,
    Idle,
    Observed,
    PreparingSwitchover,
    PromoteAnswered,
    Promoting,
    QueryStatus,
    Reason,
    Report,
    ReportKind,
    StatusAnswered,
    Step,
    SwitchoverRequested,
    TermAnswered,
    WaitAnswered,
)
from lavendergate.core.types import Term, UpstreamId

_SWITCHOVER_RETRY_INTERVAL_S = 5.0

# Approximate duration of a consensus election, in seconds. No primary is
# confirmed during an election, so a primary that a new leader finds confirmed
# at its first observation was confirmed at least this long ago.
_ELECTION_DURATION_S = 0.75


def step(state: GroupFailover, event: Event, now: float) -> Step:
    """Return the next state of a group and the effects to carry out.

    Parameters
    ----------
    state
        State of the group; a new leader starts with the initial state.
    event
        Observation, answer to an earlier effect, or request of a switchover.
        Answers to superseded calls are ignored.
    now
        Monotonic time, in seconds.
    """
    match event:
        case Observed():
            return _observe(state, event, now)
        case SwitchoverRequested():
            return _request_switchover(state, event, now)
        case FenceAnswered():
            return _fence_answered(state, event, now)
        case StatusAnswered():
            return _status_answered(state, event, now)
        case WaitAnswered():
            return _wait_answered(state, event, now)
        case FollowAnswered():
            return failover_repair.follow_answered(state, event, now)
        case TermAnswered() | PromoteAnswered() | ConfirmAnswered():
            return _attempt_answered(state, event, now)


def _observe(state: GroupFailover, event: Observed, now: float) -> Step:
    state = _record_observation_times(
        replace(state, observed=event), event, now
    )
    match state.phase:
        case Idle():
            return _observe_idle(state, event, now)
        case PreparingSwitchover() as phase:
            return _observe_preparing(state, phase, event, now)
        case Confirming() as phase:
            return failover_steps.observe_confirming(state, phase, now)
        case phase if event.record.begun_term > phase.attempt.term:
            return replace(state, phase=Idle()), ()
        case Fencing() as phase:
            return failover_steps.continue_fencing(state, phase, now)
        case phase if now >= phase.deadline:
            return _continue_after_timeout(state, phase, now)
    return state, ()


def _observe_preparing(
    state: GroupFailover,
    phase: PreparingSwitchover,
    event: Observed,
    now: float,
) -> Step:
    if event.record.begun_term >= phase.attempt.term:
        return failover_steps.end_switchover(
            state, 'another promotion came first; check the primary'
        )
    if is_primary_lost(state, event, now):
        return failover_steps.end_switchover(
            state, 'the primary failed; an automatic promotion follows'
        )
    if now >= phase.deadline:
        return failover_steps.end_switchover(
            state, 'the target did not catch up in time; try again later'
        )
    return state, ()


def _continue_after_timeout(
    state: GroupFailover,
    phase: BeginningTerm | FencingOldPrimary | CatchingUp | Promoting,
    now: float,
) -> Step:
    """Continue after a call or proposal was not answered in time."""
    match phase:
        case BeginningTerm():
            return replace(state, phase=Idle()), ()
        case FencingOldPrimary():
            return failover_steps.fence_remaining(state, phase.attempt, {}, now)
        case CatchingUp():
            return failover_steps.fence_remaining(
                state, phase.attempt, phase.fenced, now
            )
        case Promoting():
            return failover_steps.promotion_uncertain(state, phase, now)


def _record_observation_times(
    state: GroupFailover, event: Observed, now: float
) -> GroupFailover:
    record = event.record
    is_first = state.first_observed_at is None
    if is_first:
        state = replace(state, first_observed_at=now)
    if record.term <= state.confirmed_term:
        return state
    return replace(
        state,
        confirmed_at=now - _ELECTION_DURATION_S if is_first else now,
        confirmed_term=record.term,
    )


def _observe_idle(state: GroupFailover, event: Observed, now: float) -> Step:
    attempt = next_attempt(state, event, now)
    if attempt is None:
        return _observe_established(state, event, now)
    is_automatic = attempt.reason is Reason.automatic
    if is_automatic and must_wait_for_min_interval(state, event, now):
        return state, ()
    return failover_steps.begin_attempt(state, attempt, now)


def _observe_established(
    state: GroupFailover, event: Observed, now: float
) -> Step:
    primary = event.record.primary
    view = None if primary is None else event.members.get(primary)
    is_leaving = view is not None and view.leaving
    if is_leaving and now >= state.next_switchover_at and choose_target(event):
        state = replace(
            state, next_switchover_at=now + _SWITCHOVER_RETRY_INTERVAL_S
        )
        return _request_switchover(state, SwitchoverRequested(target=None), now)
    return failover_repair.repair(state, event, now)


def _request_switchover(
    state: GroupFailover, event: SwitchoverRequested, now: float
) -> Step:
    observed = state.observed
    if observed is None or not isinstance(state.phase, Idle):
        return state, (
            _switchover_refusal(
                'a promotion or switchover is running, or the group has not '
                'been observed yet; try again later'
            ),
        )
    problem = switchover_problem(observed, event.target)
    target = event.target or choose_target(observed)
    primary = observed.record.primary
    if problem is not None or target is None or primary is None:
        return state, (
            _switchover_refusal(problem or 'the group has no primary'),
        )
    attempt = Attempt(
        term=Term(observed.record.begun_term + 1),
        reason=Reason.switchover,
        old_primary=primary,
        target=target,
    )
    phase = PreparingSwitchover(
        attempt=attempt, deadline=now + failover_steps.PREPARATION_TIMEOUT_S
    )
    return replace(state, phase=phase), (
        QueryStatus(upstream_id=primary, term=attempt.term),
    )


def _switchover_refusal(problem: str) -> Report:
    return Report(kind=ReportKind.switchover_failed, message=problem)


def _fence_answered(
    state: GroupFailover, event: FenceAnswered, now: float
) -> Step:
    match state.phase:
        case Idle():
            return failover_repair.fence_answered(state, event, now)
        case FencingOldPrimary() as phase if event.term == phase.attempt.term:
            return failover_steps.old_primary_fence_answered(
                state, phase, event, now
            )
        case Fencing() as phase if event.term == phase.attempt.term:
            return failover_steps.fence_answered(state, phase, event, now)
    return state, ()


def _status_answered(
    state: GroupFailover, event: StatusAnswered, now: float
) -> Step:
    match state.phase:
        case PreparingSwitchover() as phase if event.term == phase.attempt.term:
            return failover_steps.primary_status_answered(state, phase, event)
        case FencingOldPrimary() as phase if event.term == phase.attempt.term:
            return failover_steps.fence_status_answered(
                state, phase, event, now
            )
        case Fencing() as phase if event.term == phase.attempt.term:
            return failover_steps.fence_status_answered(
                state, phase, event, now
            )
    return state, ()


def _wait_answered(
    state: GroupFailover, event: WaitAnswered, now: float
) -> Step:
    match state.phase:
        case PreparingSwitchover() as phase if _is_answer_of_target(
            phase.attempt, event
        ):
            if event.has_entry:
                return failover_steps.begin_attempt(state, phase.attempt, now)
            return failover_steps.end_switchover(
                state,
                f"{event.upstream_id} did not reach the primary's last entry "
                'in time; try again later',
            )
        case CatchingUp() as phase if _is_answer_of_target(
            phase.attempt, event
        ):
            return failover_steps.fence_remaining(
                state, phase.attempt, phase.fenced, now
            )
    return state, ()


def _is_answer_of_target(attempt: Attempt, event: WaitAnswered) -> bool:
    target: UpstreamId | None = attempt.target
    return event.term == attempt.term and event.upstream_id == target


def _attempt_answered(
    state: GroupFailover,
    event: TermAnswered | PromoteAnswered | ConfirmAnswered,
    now: float,
) -> Step:
    match state.phase, event:
        case BeginningTerm() as phase, TermAnswered():
            if event.term == phase.attempt.term:
                return failover_steps.term_answered(state, phase, event, now)
        case Promoting() as phase, PromoteAnswered():
            if event.term == phase.attempt.term:
                return failover_steps.promote_answered(state, phase, event, now)
        case Confirming() as phase, ConfirmAnswered():
            if event.term == phase.attempt.term:
                return failover_steps.confirm_answered(state, phase, event, now)
    return state, ()
