"""Steps of one attempt to establish a primary in a new term."""

from collections.abc import Mapping
from dataclasses import replace

from lavendergate.core.failover_repair import fence_other_members
from lavendergate.core.failover_rules import (
    choose_candidate,
    fencing_is_complete,
)
from lavendergate.core.failover_types import (
    Attempt,
    BeginningTerm,
    CatchingUp,
    ConfirmAnswered,
    Confirming,
    Effect,
    FenceAnswered,
    FenceMember,
    Fencing,
    FencingOldPrimary,
    GroupFailover,
    Idle,
    PreparingSwitchover,
    PromoteAnswered,
    PromoteMember,
    Promoting,
    ProposeBeginTerm,
    ProposeConfirmPrimary,
    QueryStatus,
    Reason,
    Report,
    ReportKind,
    StatusAnswered,
    Step,
    TermAnswered,
    WaitMember,
)
from lavendergate.core.types import MemberRole, MemberStatus, Term, UpstreamId

# Time limit for the target of a switchover to catch up while the old primary
# still accepts writes.
PREPARATION_TIMEOUT_S = 5.0

# Exceeds the time limit of a call (500 ms), so that a late answer is not
# mistaken for a lost one.
ANSWER_TIMEOUT_S = 0.75

# Writes are blocked while the target catches up. It lacks only the last
# entries by then, which takes a few round trips.
_CATCH_UP_TIMEOUT_S = 0.5
_PROPOSAL_TIMEOUT_S = 1.0

# Time for the preferred members to promise the term: the target of a
# switchover, or otherwise the members other than the old primary, because
# callers may be unable to reach the old primary.
_PREFERRED_WAIT_S = 0.5


def begin_attempt(state: GroupFailover, attempt: Attempt, now: float) -> Step:
    """Propose the term of an attempt to the replicated log."""
    phase = BeginningTerm(attempt=attempt, deadline=now + _PROPOSAL_TIMEOUT_S)
    return replace(state, phase=phase), (
        ProposeBeginTerm(term=attempt.term, reason=attempt.reason.value),
    )


def term_answered(
    state: GroupFailover, phase: BeginningTerm, event: TermAnswered, now: float
) -> Step:
    """Start fencing once the term has begun.

    A refused proposal ends the attempt: either another change was committed
    first, or this is a resend of a proposal that was committed already. The
    next observation shows which, and starts another attempt if required.
    """
    attempt = phase.attempt
    if not event.accepted and attempt.target is not None:
        return end_switchover(
            state,
            'the proposed term was refused; try again',
            interrupted=attempt.old_primary,
        )
    if not event.accepted:
        return replace(state, phase=Idle()), ()
    report = Report(
        kind=ReportKind.term_begun,
        message=f'term {attempt.term} begun: {attempt.reason.value}',
    )
    if attempt.reason is Reason.switchover and attempt.old_primary is not None:
        fencing = FencingOldPrimary(
            attempt=attempt, deadline=now + ANSWER_TIMEOUT_S
        )
        return replace(state, phase=fencing), (
            report,
            FenceMember(upstream_id=attempt.old_primary, term=attempt.term),
        )
    state, effects = fence_remaining(state, attempt, {}, now)
    return state, (report, *effects)


def fence_remaining(
    state: GroupFailover,
    attempt: Attempt,
    fenced: Mapping[UpstreamId, MemberStatus],
    now: float,
) -> Step:
    """Fence the members whose promise of the term is not known yet."""
    phase = Fencing(
        attempt=attempt, fenced=fenced, preferred_until=now + _PREFERRED_WAIT_S
    )
    state = replace(state, phase=phase, retry_at={})
    return continue_fencing(state, phase, now)


def continue_fencing(state: GroupFailover, phase: Fencing, now: float) -> Step:
    """Promote after a majority has promised, else fence the others again."""
    observed = state.observed
    if observed is None:
        return state, ()
    is_complete = fencing_is_complete(
        observed.record,
        phase.attempt,
        phase.fenced,
        is_wait_over=now >= phase.preferred_until,
    )
    if is_complete:
        return _promote_candidate(state, phase, now)
    retry_at = dict(state.retry_at)
    effects: list[Effect] = []
    for upstream_id in sorted(observed.record.member_ids - set(phase.fenced)):
        if now >= retry_at.get(upstream_id, now):
            retry_at[upstream_id] = now + ANSWER_TIMEOUT_S
            effects.append(
                FenceMember(upstream_id=upstream_id, term=phase.attempt.term)
            )
    return replace(state, retry_at=retry_at), tuple(effects)


def fence_answered(
    state: GroupFailover, phase: Fencing, event: FenceAnswered, now: float
) -> Step:
    """Record a promise, or query the status of a member that refused."""
    if event.refused:
        return state, (
            QueryStatus(upstream_id=event.upstream_id, term=event.term),
        )
    return fence_status_answered(
        state,
        phase,
        StatusAnswered(
            upstream_id=event.upstream_id, term=event.term, status=event.status
        ),
        now,
    )


def old_primary_fence_answered(
    state: GroupFailover,
    phase: FencingOldPrimary,
    event: FenceAnswered,
    now: float,
) -> Step:
    """Handle the old primary's answer to the fence of a switchover."""
    if event.refused:
        return state, (
            QueryStatus(upstream_id=event.upstream_id, term=event.term),
        )
    answer = StatusAnswered(
        upstream_id=event.upstream_id, term=event.term, status=event.status
    )
    return fence_status_answered(state, phase, answer, now)


def fence_status_answered(
    state: GroupFailover,
    phase: Fencing | FencingOldPrimary,
    event: StatusAnswered,
    now: float,
) -> Step:
    """Handle a member's status while members are being fenced."""
    status = event.status
    attempt = phase.attempt
    if status is None or status.promised_term < attempt.term:
        return state, ()
    if status.promised_term > attempt.term:
        return _end_outdated_attempt(state, attempt, event.upstream_id, status)
    if isinstance(phase, FencingOldPrimary):
        return _start_catch_up(state, attempt, event.upstream_id, status, now)
    phase = replace(phase, fenced={**phase.fenced, event.upstream_id: status})
    return continue_fencing(replace(state, phase=phase), phase, now)


def promote_answered(
    state: GroupFailover, phase: Promoting, event: PromoteAnswered, now: float
) -> Step:
    """Propose the confirmation of a candidate that was promoted."""
    status = event.status
    is_promoted = (
        status is not None
        and status.role is MemberRole.primary
        and status.promised_term == phase.attempt.term
    )
    if not is_promoted:
        return promotion_uncertain(state, phase, now)
    confirming = Confirming(
        attempt=phase.attempt,
        candidate=phase.candidate,
        first_position=phase.first_position,
        deadline=now + _PROPOSAL_TIMEOUT_S,
    )
    return replace(state, phase=confirming), (_confirmation(confirming),)


def promotion_uncertain(
    state: GroupFailover, phase: Promoting, now: float
) -> Step:
    """Supersede an uncertain promotion by an attempt in a new term.

    The candidate may have become primary in this term, so no other member
    may be promoted in it.
    """
    attempt = replace(phase.attempt, term=Term(phase.attempt.term + 1))
    report = Report(
        kind=ReportKind.promotion_uncertain,
        message=(
            f'promotion of {phase.candidate} in term {phase.attempt.term} is '
            f'uncertain; beginning term {attempt.term}'
        ),
    )
    if attempt.reason is Reason.switchover:
        attempt = replace(attempt, reason=Reason.unfinished)
    state, effects = begin_attempt(state, attempt, now)
    return state, (report, *effects)


def confirm_answered(
    state: GroupFailover, phase: Confirming, event: ConfirmAnswered, now: float
) -> Step:
    """Finish the attempt, or leave it to the next observation.

    A refusal is not final: the committed record shows whether an earlier
    proposal of the same confirmation was accepted.
    """
    if event.accepted:
        return _finish_attempt(state, phase, now)
    return state, ()


def observe_confirming(
    state: GroupFailover, phase: Confirming, now: float
) -> Step:
    """Check the record for the confirmation; repeat a lost proposal."""
    observed = state.observed
    if observed is None:
        return state, ()
    record = observed.record
    if record.term == phase.attempt.term:
        return _finish_attempt(state, phase, now)
    if record.begun_term > phase.attempt.term:
        return replace(state, phase=Idle()), ()
    if now < phase.deadline:
        return state, ()
    phase = replace(phase, deadline=now + _PROPOSAL_TIMEOUT_S)
    return replace(state, phase=phase), (_confirmation(phase),)


def primary_status_answered(
    state: GroupFailover, phase: PreparingSwitchover, event: StatusAnswered
) -> Step:
    """Wait for the target to reach the primary's last entry.

    Writes are blocked only after that.
    """
    target = phase.attempt.target
    if event.status is None or target is None:
        return end_switchover(
            state, 'the primary does not answer; check that it is reachable'
        )
    return state, (
        WaitMember(
            upstream_id=target,
            term=phase.attempt.term,
            entry=event.status.last_entry,
            timeout_s=PREPARATION_TIMEOUT_S - ANSWER_TIMEOUT_S,
        ),
    )


def end_switchover(
    state: GroupFailover,
    problem: str,
    *,
    interrupted: UpstreamId | None = None,
) -> Step:
    """End a switchover and report the reason.

    Parameters
    ----------
    interrupted
        See `Report`.
    """
    return replace(state, phase=Idle()), (
        Report(
            kind=ReportKind.switchover_failed,
            message=problem,
            interrupted=interrupted,
        ),
    )


def _start_catch_up(
    state: GroupFailover,
    attempt: Attempt,
    upstream_id: UpstreamId,
    status: MemberStatus,
    now: float,
) -> Step:
    target = attempt.target
    fenced = {upstream_id: status}
    if target is None:
        return fence_remaining(state, attempt, fenced, now)
    phase = CatchingUp(
        attempt=attempt, fenced=fenced, deadline=now + _CATCH_UP_TIMEOUT_S
    )
    return replace(state, phase=phase), (
        WaitMember(
            upstream_id=target,
            term=attempt.term,
            entry=status.last_entry,
            timeout_s=_CATCH_UP_TIMEOUT_S,
        ),
    )


def _end_outdated_attempt(
    state: GroupFailover,
    attempt: Attempt,
    upstream_id: UpstreamId,
    status: MemberStatus,
) -> Step:
    """End an attempt because a member promised a later term."""
    return replace(state, phase=Idle()), (
        Report(
            kind=ReportKind.term_surpassed,
            message=(
                f'{upstream_id} promised term {status.promised_term}, which '
                f'is above term {attempt.term}; another attempt follows in a '
                'later term'
            ),
        ),
    )


def _promote_candidate(
    state: GroupFailover, phase: Fencing, now: float
) -> Step:
    observed = state.observed
    if observed is None:
        return state, ()
    candidate = choose_candidate(observed, phase.attempt, phase.fenced)
    last_entry = phase.fenced[candidate].last_entry
    promoting = Promoting(
        attempt=phase.attempt,
        candidate=candidate,
        first_position=last_entry.position + 1,
        deadline=now + ANSWER_TIMEOUT_S,
    )
    return replace(state, phase=promoting), (
        PromoteMember(upstream_id=candidate, term=phase.attempt.term),
    )


def _confirmation(phase: Confirming) -> ProposeConfirmPrimary:
    return ProposeConfirmPrimary(
        term=phase.attempt.term,
        upstream_id=phase.candidate,
        first_position=phase.first_position,
    )


def _finish_attempt(
    state: GroupFailover, phase: Confirming, now: float
) -> Step:
    attempt = phase.attempt
    counts_as_automatic = attempt.reason in {
        Reason.automatic,
        Reason.unfinished,
    }
    state = replace(
        state,
        phase=Idle(),
        retry_at={},
        confirmed_at=now,
        confirmed_term=attempt.term,
        automatic_promotion_at=now
        if counts_as_automatic
        else state.automatic_promotion_at,
    )
    message = f'{phase.candidate} is primary in term {attempt.term}'
    kind = ReportKind.primary_confirmed
    if attempt.target is not None:
        is_target = phase.candidate == attempt.target
        kind = (
            ReportKind.switchover_done
            if is_target
            else ReportKind.switchover_failed
        )
    state, effects = fence_other_members(
        state, phase.candidate, attempt.term, now
    )
    return state, (Report(kind=kind, message=message), *effects)
