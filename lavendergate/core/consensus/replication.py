"""Replication on the leader: sending entries and committing them."""

from dataclasses import replace

from lavendergate.core.consensus.errors import InvariantViolationError
from lavendergate.core.consensus.events import ApplyEntries, Effects
from lavendergate.core.consensus.messages import (
    AppendReply,
    AppendRequest,
    Message,
    SnapshotRequest,
)
from lavendergate.core.consensus.payload import NO_OPERATION
from lavendergate.core.consensus.reads import confirm_reads
from lavendergate.core.consensus.state import (
    Follower,
    Leader,
    NodeState,
    Progress,
    Transition,
    append_entries,
    become_follower,
    send,
)
from lavendergate.core.consensus.types import (
    LOG_ORIGIN,
    Configuration,
    Entry,
    EntryId,
    NodeId,
)

# Number of election timeouts after which an unanswered message is sent again,
# in case the driver does not report its loss. Long enough for the transfer of
# a snapshot.
_RESEND_ELECTION_TIMEOUTS = 10


def become_leader(state: NodeState, now: float) -> Transition:
    """Become the leader of the term and append a no-operation entry.

    Committing this entry also commits the entries of older terms.
    """
    last = state.log.last
    leading = replace(
        state,
        leader=state.identity,
        role=Leader(
            first_index=last.index + 1,
            previous_term=last.term,
            heartbeat_at=now + state.options.heartbeat_interval_s,
            progress={},
        ),
    )
    return append_as_leader(leading, NO_OPERATION, now)


def append_as_leader(
    state: NodeState,
    payload: bytes,
    now: float,
    *,
    is_configuration: bool = False,
) -> Transition:
    """Append an entry in the leader's term and send it."""
    entry = Entry(
        index=state.log.last.index + 1,
        term=state.term,
        payload=payload,
        is_configuration=is_configuration,
    )
    state, saved = append_entries(state, (entry,))
    state = _track_nodes(state, now)
    state, requests = send_pending(state, now)
    state, committed = advance_commit(state, now)
    return state, saved + requests + committed


def send_pending(
    state: NodeState, now: float, *, heartbeat: bool = False
) -> Transition:
    """Send missing entries to each node that has no message in flight.

    At most one message per node is in flight, so the next one carries all
    entries appended in the meantime.

    Parameters
    ----------
    heartbeat
        Whether nodes that are sent no entries get a heartbeat.
    """
    role = state.role
    if not isinstance(role, Leader):
        return state, ()
    progress = dict(role.progress)
    effects: Effects = ()
    for node in sorted(progress):
        peer = progress[node]
        if _may_send(state, peer, now):
            message = _next_message(state, role, peer)
            progress[node] = replace(
                peer, in_flight=_last_index_in(message), sent_at=now
            )
            effects += (send(state, node, message),)
        elif heartbeat:
            effects += (
                send(state, node, _heartbeat_request(state, role, peer)),
            )
    return replace(state, role=replace(role, progress=progress)), effects


def handle_append_reply(
    state: NodeState, sender: NodeId, reply: AppendReply, now: float
) -> Transition:
    """Record the index up to which a node's log matches the leader's."""
    if reply.term > state.term:
        return become_follower(state, reply.term, None, now)
    role = state.role
    if reply.term < state.term or not isinstance(role, Leader):
        return state, ()
    peer = role.progress.get(sender)
    if peer is None:
        return state, ()
    progress = role.progress | {sender: _progress_after_reply(peer, reply, now)}
    state = replace(state, role=replace(role, progress=progress))
    state, committed = advance_commit(state, now)
    state, confirmed = confirm_reads(state)
    state, requests = send_pending(state, now)
    return state, committed + confirmed + requests


def handle_delivery_failure(state: NodeState, recipient: NodeId) -> Transition:
    """Allow the next heartbeat to send the lost message again."""
    role = state.role
    if not isinstance(role, Leader) or recipient not in role.progress:
        return state, ()
    peer = replace(role.progress[recipient], in_flight=0)
    progress = role.progress | {recipient: peer}
    return replace(state, role=replace(role, progress=progress)), ()


def advance_commit(state: NodeState, now: float) -> Transition:
    """Commit the entries that a majority of the voters has synced."""
    current = state.configuration
    if current is None or not isinstance(state.role, Leader):
        return state, ()
    index = _majority_index(state, state.role, current)
    if index <= state.commit_index or not is_committable(state, index):
        return state, ()
    state, effects = commit_to(state, index)
    if state.is_voter or state.commit_index < current.index:
        return state, effects
    # The committed configuration no longer contains the leader: step down.
    state = replace(
        state,
        role=Follower(),
        leader=None,
        election_at=now + state.election_timeout_s,
    )
    return state, effects


def is_committable(state: NodeState, index: int) -> bool:
    """Return whether an entry stored on a majority may be committed.

    Entries of older terms are committed only together with an entry of the
    leader's own term: a later leader may lack them although a majority holds
    them.
    """
    return state.log.term_at(index) == state.term


def commit_to(state: NodeState, index: int) -> Transition:
    """Commit and apply the entries up to an index."""
    index = min(index, state.log.last.index)
    if index <= state.commit_index:
        return state, ()
    entries = state.log.between(state.commit_index + 1, index)
    return replace(state, commit_index=index), (ApplyEntries(entries=entries),)


def _majority_index(
    state: NodeState, role: Leader, current: Configuration
) -> int:
    synced = sorted(
        (_match_index(state, role, voter) for voter in current.voters),
        reverse=True,
    )
    return synced[current.majority - 1]


def _match_index(state: NodeState, role: Leader, voter: NodeId) -> int:
    if voter == state.identity:
        return state.log.last.index
    return role.progress[voter].match_index


def _track_nodes(state: NodeState, now: float) -> NodeState:
    role = state.role
    current = state.configuration
    if not isinstance(role, Leader) or current is None:
        return state
    others = current.nodes - {state.identity}
    if others == role.progress.keys():
        return state
    initial = Progress(next_index=state.log.last.index, answered_at=now)
    progress = {node: role.progress.get(node, initial) for node in others}
    return replace(state, role=replace(role, progress=progress))


def _may_send(state: NodeState, peer: Progress, now: float) -> bool:
    if peer.next_index > state.log.last.index:
        return False
    resend_after_s = (
        state.options.election_timeout_s * _RESEND_ELECTION_TIMEOUTS
    )
    return not peer.in_flight or now - peer.sent_at >= resend_after_s


def _next_message(state: NodeState, role: Leader, peer: Progress) -> Message:
    previous_index = peer.next_index - 1
    previous_term = state.log.term_at(previous_index)
    if previous_term is None:
        return _snapshot_request(state, role)
    last_index = previous_index + state.options.entries_per_message
    return AppendRequest(
        term=state.term,
        previous=EntryId(index=previous_index, term=previous_term),
        entries=state.log.between(peer.next_index, last_index),
        commit_index=state.commit_index,
        read_round=role.read_round,
    )


def _snapshot_request(state: NodeState, role: Leader) -> SnapshotRequest:
    if state.snapshot is None:
        raise InvariantViolationError(
            'entries were removed without a snapshot; report this as a bug'
        )
    return SnapshotRequest(
        term=state.term, snapshot=state.snapshot, read_round=role.read_round
    )


def _last_index_in(message: Message) -> int:
    match message:
        case SnapshotRequest(snapshot=snapshot):
            return snapshot.last.index
        case AppendRequest(previous=previous, entries=entries):
            return previous.index + len(entries)
        case _:
            return 0


def _heartbeat_request(
    state: NodeState, role: Leader, peer: Progress
) -> Message:
    term = state.log.term_at(peer.match_index)
    previous = LOG_ORIGIN
    if term is not None:
        previous = EntryId(index=peer.match_index, term=term)
    return AppendRequest(
        term=state.term,
        previous=previous,
        entries=(),
        commit_index=state.commit_index,
        read_round=role.read_round,
    )


def _progress_after_reply(
    peer: Progress, reply: AppendReply, now: float
) -> Progress:
    peer = replace(
        peer,
        answered_at=now,
        read_round=max(peer.read_round, reply.read_round),
    )
    if not reply.accepted:
        hint = min(reply.match_index + 1, peer.next_index - 1)
        return replace(
            peer, in_flight=0, next_index=max(hint, peer.match_index + 1)
        )
    match_index = max(peer.match_index, reply.match_index)
    return replace(
        peer,
        match_index=match_index,
        next_index=max(peer.next_index, match_index + 1),
        in_flight=0 if match_index >= peer.in_flight else peer.in_flight,
    )
