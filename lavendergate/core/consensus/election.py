"""Elections with pre-vote."""

from dataclasses import replace

from lavendergate.core.consensus.events import Effects, Send
from lavendergate.core.consensus.messages import VoteReply, VoteRequest
from lavendergate.core.consensus.replication import become_leader
from lavendergate.core.consensus.state import (
    Candidate,
    NodeState,
    PreCandidate,
    Transition,
    become_follower,
    other_voters,
    save_hard_state,
    send,
)
from lavendergate.core.consensus.types import (
    ConsensusTerm,
    EntryId,
    HardState,
    NodeId,
)


def start_pre_vote(state: NodeState, jitter: float, now: float) -> Transition:
    """Ask the voters whether they would elect this node.

    A node that cannot win does not increase its term, so it does not replace
    a working leader once its partition ends.
    """
    had_leader_contact = state.leader_contact_at > float('-inf')
    timeout_s = state.options.randomized_timeout_s(
        jitter, had_leader_contact=had_leader_contact
    )
    timer_restarted = replace(
        state,
        leader=None,
        election_timeout_s=timeout_s,
        election_at=now + timeout_s,
    )
    if not state.may_request_votes:
        return timer_restarted, ()
    pre_candidate = replace(
        timer_restarted, role=PreCandidate(granted=frozenset((state.identity,)))
    )
    return _continue_with_majority(
        pre_candidate, _vote_requests(pre_candidate, pre_vote=True), now
    )


def start_election(state: NodeState, now: float) -> Transition:
    """Begin a new term and request the votes of the voters."""
    hard_state = HardState(
        term=ConsensusTerm(state.term + 1),
        voted_for=state.identity,
        cluster_id=state.hard_state.cluster_id,
    )
    started, saved = save_hard_state(state, hard_state)
    candidate = replace(
        started,
        role=Candidate(granted=frozenset((state.identity,))),
        leader=None,
        election_at=now + state.election_timeout_s,
    )
    requests = _vote_requests(candidate, pre_vote=False)
    return _continue_with_majority(candidate, saved + requests, now)


def handle_vote_request(
    state: NodeState, sender: NodeId, request: VoteRequest, now: float
) -> Transition:
    """Answer a request for a vote or a pre-vote."""
    if has_live_leader(state, now):
        return state, (_vote_reply(state, sender, request, granted=False),)
    if request.pre_vote:
        granted = request.term > state.term and is_up_to_date(
            state, request.last
        )
        return state, (_vote_reply(state, sender, request, granted=granted),)
    return _decide_vote(state, sender, request, now)


def handle_vote_reply(
    state: NodeState, sender: NodeId, reply: VoteReply, now: float
) -> Transition:
    """Count a vote or a pre-vote."""
    if reply.term > state.term and not (reply.pre_vote and reply.granted):
        return become_follower(state, reply.term, None, now)
    if not (reply.granted and _is_reply_to_current_request(state, reply)):
        return state, ()
    match state.role:
        case PreCandidate(granted=granted):
            counted = replace(
                state, role=PreCandidate(granted=granted | {sender})
            )
        case Candidate(granted=granted):
            counted = replace(state, role=Candidate(granted=granted | {sender}))
        case _:
            return state, ()
    return _continue_with_majority(counted, (), now)


def is_up_to_date(state: NodeState, last: EntryId) -> bool:
    """Return whether a candidate's log is at least as up to date as this one.

    Only such a log is certain to contain every committed entry of this one.
    """
    return last >= state.log.last


def has_live_leader(state: NodeState, now: float) -> bool:
    """Return whether a leader was in contact within an election timeout.

    Also true if the node leads itself. Votes are refused in this case, so
    that a removed or partitioned node cannot replace a working leader.
    """
    if state.leader == state.identity:
        return True
    has_recent_contact = (
        now - state.leader_contact_at < state.options.election_timeout_s
    )
    return state.leader is not None and has_recent_contact


def _decide_vote(
    state: NodeState, sender: NodeId, request: VoteRequest, now: float
) -> Transition:
    effects: Effects = ()
    if request.term > state.term:
        state, effects = become_follower(state, request.term, None, now)
    granted = (
        request.term == state.term
        and state.hard_state.voted_for in {None, sender}
        and is_up_to_date(state, request.last)
    )
    if granted:
        state, saved = save_hard_state(
            state,
            HardState(
                term=state.term,
                voted_for=sender,
                cluster_id=state.hard_state.cluster_id,
            ),
        )
        state = replace(state, election_at=now + state.election_timeout_s)
        effects += saved
    return state, (
        *effects,
        _vote_reply(state, sender, request, granted=granted),
    )


def _is_reply_to_current_request(state: NodeState, reply: VoteReply) -> bool:
    if reply.pre_vote:
        expected = reply.term == state.term + 1
        return expected and isinstance(state.role, PreCandidate)
    return reply.term == state.term and isinstance(state.role, Candidate)


def _continue_with_majority(
    state: NodeState, effects: Effects, now: float
) -> Transition:
    current = state.configuration
    match state.role:
        case PreCandidate(granted=granted):
            next_transition = start_election
        case Candidate(granted=granted):
            next_transition = become_leader
        case _:
            return state, effects
    if current is None or not current.has_majority(granted):
        return state, effects
    state, more_effects = next_transition(state, now)
    return state, effects + more_effects


def _vote_requests(state: NodeState, *, pre_vote: bool) -> Effects:
    term = ConsensusTerm(state.term + 1) if pre_vote else state.term
    request = VoteRequest(term=term, last=state.log.last, pre_vote=pre_vote)
    return tuple(send(state, voter, request) for voter in other_voters(state))


def _vote_reply(
    state: NodeState, sender: NodeId, request: VoteRequest, *, granted: bool
) -> Send:
    term = request.term if granted else state.term
    return send(
        state,
        sender,
        VoteReply(term=term, granted=granted, pre_vote=request.pre_vote),
    )
