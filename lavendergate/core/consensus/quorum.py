"""Step-down of a leader that cannot reach a majority."""

from dataclasses import replace

from lavendergate.core.consensus.state import (
    Follower,
    Leader,
    NodeState,
    Transition,
)


def has_quorum(state: NodeState, role: Leader, now: float) -> bool:
    """Return whether a majority answered within an election timeout."""
    current = state.configuration
    if current is None:
        return False
    oldest_answer_at = now - state.options.election_timeout_s
    answered = frozenset(
        node
        for node, peer in role.progress.items()
        if peer.answered_at >= oldest_answer_at
    )
    return current.has_majority(answered | {state.identity})


def check_quorum(state: NodeState, role: Leader, now: float) -> Transition:
    """Step down if no majority answered within an election timeout.

    Otherwise a partitioned leader would accept commands that it cannot
    commit, and its callers would not look for the new leader.
    """
    if has_quorum(state, role, now):
        return state, ()
    stepped_down = replace(
        state,
        role=Follower(),
        leader=None,
        election_at=now + state.election_timeout_s,
    )
    return stepped_down, ()
