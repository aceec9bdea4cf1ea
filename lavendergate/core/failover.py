"""State machine of one group's promotion, fencing, switchover and damping.

The steps of an attempt are: begin the term in the replicated log, fence a
majority of the committed members, promote the most advanced of them, confirm
it in the log, make the others follow. One candidate is promoted per term; an
uncertain promotion, or one that another leader left unfinished, is replaced
by an attempt in a new term.
"""

from dataclasses import replace

from lavendergate.core import failover_repair, failover_steps
from lavendergate.core.failover_rules import (
    best_target,
    is_damped,
    is_primary_lost,
    next_attempt,
    switchover_problem,
)
from lavendergate.core.failover_types import (
    Attempt,
    Beginning,
    CatchingUp,
    ConfirmAnswered,
    Confirming,
    Event,
    FenceAnswered,
    Fencing,
    FencingOld,
    FollowAnswered,
    GroupFailover,
    Idle,
    Observed,
    Preparing,
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

_SWITCHOVER_RETRY_S = 5.0

# A new leader's first observation follows an election of about this length,
# during which no primary was confirmed.
_ELECTION_S = 0.75


def step(state: GroupFailover, event: Event, now: float) -> Step:
    """Handle an event.

    Parameters
    ----------
    state
        State of the group; a new leader starts with the initial one.
    event
        What was observed or answered. Answers to superseded calls are
        ignored.
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
            return _step_answered(state, event, now)


def _observe(state: GroupFailover, event: Observed, now: float) -> Step:
    state = _note_record(replace(state, observed=event), event, now)
    match state.phase:
        case Idle():
            return _observe_idle(state, event, now)
        case Preparing() as phase:
            return _observe_preparing(state, phase, event, now)
        case Confirming() as phase:
            return failover_steps.observe_confirming(state, phase, now)
        case phase if event.record.begun_term > phase.attempt.term:
            return replace(state, phase=Idle()), ()
        case Fencing() as phase:
            return failover_steps.continue_fencing(state, phase, now)
        case phase if now >= phase.deadline:
            return _resume_late(state, phase, now)
    return state, ()


def _observe_preparing(
    state: GroupFailover, phase: Preparing, event: Observed, now: float
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


def _resume_late(
    state: GroupFailover,
    phase: Beginning | FencingOld | CatchingUp | Promoting,
    now: float,
) -> Step:
    """Go on after a call whose answer did not arrive in time."""
    match phase:
        case Beginning():
            return replace(state, phase=Idle()), ()
        case FencingOld():
            return failover_steps.fence_all(state, phase.attempt, {}, now)
        case CatchingUp():
            return failover_steps.fence_all(
                state, phase.attempt, phase.fenced, now
            )
        case Promoting():
            return failover_steps.promotion_uncertain(state, phase, now)


def _note_record(
    state: GroupFailover, event: Observed, now: float
) -> GroupFailover:
    record = event.record
    is_first = state.registered_at is None
    if is_first:
        state = replace(state, registered_at=now)
    if record.term <= state.confirmed_term:
        return state
    return replace(
        state,
        confirmed_at=now - _ELECTION_S if is_first else now,
        confirmed_term=record.term,
    )


def _observe_idle(state: GroupFailover, event: Observed, now: float) -> Step:
    attempt = next_attempt(state, event, now)
    if attempt is None:
        return _observe_settled(state, event, now)
    is_automatic = attempt.reason is Reason.automatic
    if is_automatic and is_damped(state, event, now):
        return state, ()
    return failover_steps.begin(state, attempt, now)


def _observe_settled(state: GroupFailover, event: Observed, now: float) -> Step:
    primary = event.record.primary
    view = None if primary is None else event.members.get(primary)
    is_leaving = view is not None and view.leaving
    if is_leaving and now >= state.switchover_at and best_target(event):
        state = replace(state, switchover_at=now + _SWITCHOVER_RETRY_S)
        return _request_switchover(state, SwitchoverRequested(target=None), now)
    return failover_repair.repair(state, event, now)


def _request_switchover(
    state: GroupFailover, event: SwitchoverRequested, now: float
) -> Step:
    observed = state.observed
    if observed is None or not isinstance(state.phase, Idle):
        return state, (_refusal('a promotion is running; try again later'),)
    problem = switchover_problem(observed, event.target)
    target = event.target or best_target(observed)
    primary = observed.record.primary
    if problem is not None or target is None or primary is None:
        return state, (_refusal(problem or 'the group has no primary'),)
    attempt = Attempt(
        term=Term(observed.record.begun_term + 1),
        reason=Reason.switchover,
        suspect=primary,
        target=target,
    )
    phase = Preparing(
        attempt=attempt, deadline=now + failover_steps.PREPARATION_S
    )
    return replace(state, phase=phase), (
        QueryStatus(upstream_id=primary, term=attempt.term),
    )


def _refusal(problem: str) -> Report:
    return Report(kind=ReportKind.switchover_failed, message=problem)


def _fence_answered(
    state: GroupFailover, event: FenceAnswered, now: float
) -> Step:
    match state.phase:
        case Idle():
            return failover_repair.fence_answered(state, event, now)
        case FencingOld() as phase if event.term == phase.attempt.term:
            return failover_steps.old_fence_answered(state, phase, event, now)
        case Fencing() as phase if event.term == phase.attempt.term:
            return failover_steps.fence_answered(state, phase, event, now)
    return state, ()


def _status_answered(
    state: GroupFailover, event: StatusAnswered, now: float
) -> Step:
    match state.phase:
        case Preparing() as phase if event.term == phase.attempt.term:
            return failover_steps.primary_status_answered(state, phase, event)
        case FencingOld() as phase if event.term == phase.attempt.term:
            return failover_steps.promise_known(state, phase, event, now)
        case Fencing() as phase if event.term == phase.attempt.term:
            return failover_steps.promise_known(state, phase, event, now)
    return state, ()


def _wait_answered(
    state: GroupFailover, event: WaitAnswered, now: float
) -> Step:
    match state.phase:
        case Preparing() as phase if _concerns_target(phase.attempt, event):
            if event.held:
                return failover_steps.begin(state, phase.attempt, now)
            return failover_steps.end_switchover(
                state, f'{event.upstream_id} lags behind; try again later'
            )
        case CatchingUp() as phase if _concerns_target(phase.attempt, event):
            return failover_steps.fence_all(
                state, phase.attempt, phase.fenced, now
            )
    return state, ()


def _concerns_target(attempt: Attempt, event: WaitAnswered) -> bool:
    target: UpstreamId | None = attempt.target
    return event.term == attempt.term and event.upstream_id == target


def _step_answered(
    state: GroupFailover,
    event: TermAnswered | PromoteAnswered | ConfirmAnswered,
    now: float,
) -> Step:
    match state.phase, event:
        case Beginning() as phase, TermAnswered():
            if event.term == phase.attempt.term:
                return failover_steps.term_answered(state, phase, event, now)
        case Promoting() as phase, PromoteAnswered():
            if event.term == phase.attempt.term:
                return failover_steps.promote_answered(state, phase, event, now)
        case Confirming() as phase, ConfirmAnswered():
            if event.term == phase.attempt.term:
                return failover_steps.confirm_answered(state, phase, event, now)
    return state, ()
