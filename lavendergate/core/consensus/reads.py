"""Linearizable reads: a majority confirms the leader after the request."""

from dataclasses import replace

from lavendergate.core.consensus.events import (
    Effects,
    ReadConfirmed,
    ReadRefused,
)
from lavendergate.core.consensus.state import (
    Leader,
    NodeState,
    PendingRead,
    Transition,
)


def begin_read(state: NodeState, read_id: int) -> Transition:
    """Begin a read round; the caller sends the heartbeats of the round.

    The read waits until the leader's first entry is committed, because only
    then does the leader know what older leaders committed.
    """
    role = state.role
    if not isinstance(role, Leader):
        return state, (ReadRefused(read_id=read_id),)
    read = PendingRead(
        read_id=read_id,
        index=max(state.commit_index, role.first_index),
        read_round=role.read_round + 1,
    )
    role = replace(role, read_round=read.read_round, reads=(*role.reads, read))
    return replace(state, role=role), ()


def confirm_reads(state: NodeState) -> Transition:
    """Confirm committed reads whose round a majority has answered."""
    role = state.role
    if not isinstance(role, Leader) or not role.reads:
        return state, ()
    confirmed_round = _confirmed_round(state, role)
    ready = tuple(
        read
        for read in role.reads
        if read.read_round <= confirmed_round
        and read.index <= state.commit_index
    )
    waiting = tuple(read for read in role.reads if read not in ready)
    effects: Effects = tuple(
        ReadConfirmed(read_id=read.read_id, index=read.index) for read in ready
    )
    return replace(state, role=replace(role, reads=waiting)), effects


def _confirmed_round(state: NodeState, role: Leader) -> int:
    current = state.configuration
    if current is None:
        return 0
    rounds = sorted(
        (
            role.read_round
            if voter == state.identity
            else role.progress[voter].read_round
            for voter in current.voters
        ),
        reverse=True,
    )
    return rounds[current.majority - 1]
