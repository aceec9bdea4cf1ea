"""Step-down of a leader that cannot reach a majority."""

from dataclasses import replace

from lavendergate.core.consensus.state import (
    Follower,
    Leader,
    NodeState,
    Transition,
)


def quorum_until(state: NodeState, role: Leader) -> float:
    """Return until when the answers so far prove a majority.

    Returns
    -------
    float
        Monotonic time in seconds, an election timeout after the oldest answer
        that the majority needs.
    """
    current = state.configuration
    if current is None:
        return float('-inf')
    answered_at = sorted(
        (
            float('inf')
            if voter == state.identity
            else role.progress[voter].answered_at
            for voter in current.voters
        ),
        reverse=True,
    )
    oldest = answered_at[current.majority - 1]
    return oldest + state.options.election_timeout_s


def has_quorum(state: NodeState, role: Leader, now: float) -> bool:
    """Return whether a majority answered within an election timeout."""
    return now <= quorum_until(state, role)


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
