"""Finds messages that no node of the group can have sent in its state.

Such a message comes from another build, or from a writer that is no node. To
handle it would break an invariant of the log, on which the node has to stop,
or leave the group without a leader. It is dropped instead, as if it was lost.
"""

from lavendergate.core.consensus.messages import (
    AppendReply,
    AppendRequest,
    Envelope,
    SnapshotRequest,
)
from lavendergate.core.consensus.state import Leader, NodeState

# Largest step of the term in one message. A group that elects a leader five
# times a second takes 27 years for it, while one message with the last term
# would leave no term for the next election.
_MAX_TERM_STEP = 2**32


def contradiction(state: NodeState, envelope: Envelope) -> str | None:
    """Return why a message contradicts the state, or None if it does not.

    A message to another node or from another group is none: the node does not
    handle it anyway.
    """
    cluster_id = state.hard_state.cluster_id
    if envelope.recipient != state.identity:
        return None
    if cluster_id not in {'', envelope.cluster_id}:
        return None
    message = envelope.message
    if message.term - state.term > _MAX_TERM_STEP:
        return f'term {message.term} is far above term {state.term}'
    if message.term != state.term:
        is_newer = message.term > state.term
        return _wrong_entry(state, message) if is_newer else None
    if isinstance(message, AppendReply):
        return _wrong_reply(state, message)
    if isinstance(message, AppendRequest | SnapshotRequest):
        if isinstance(state.role, Leader):
            return f'this node leads term {state.term} itself'
    return _wrong_entry(state, message)


def _wrong_entry(state: NodeState, message: object) -> str | None:
    if not isinstance(message, AppendRequest):
        return None
    for entry in message.entries:
        is_committed = entry.index <= state.commit_index
        if is_committed and not state.log.contains(entry.entry_id):
            return f'entry {entry.index} is committed with other content'
    return None


def _wrong_reply(state: NodeState, reply: AppendReply) -> str | None:
    role = state.role
    if not isinstance(role, Leader):
        return None
    if reply.read_round > role.read_round:
        return f'round {reply.read_round} of reads has not begun'
    if reply.accepted and reply.match_index > state.log.last.index:
        return f'entry {reply.match_index} does not exist'
    return None
