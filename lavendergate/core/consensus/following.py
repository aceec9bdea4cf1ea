"""Replication on a follower: accepting entries and snapshots."""

from dataclasses import replace

from lavendergate.core.consensus.errors import InvariantViolationError
from lavendergate.core.consensus.events import (
    ApplySnapshot,
    SaveSnapshot,
    Send,
)
from lavendergate.core.consensus.log import Log
from lavendergate.core.consensus.messages import (
    AppendReply,
    AppendRequest,
    SnapshotRequest,
)
from lavendergate.core.consensus.replication import commit_to
from lavendergate.core.consensus.state import (
    Leader,
    NodeState,
    Transition,
    append_entries,
    become_follower,
    send,
    truncate_entries,
)
from lavendergate.core.consensus.types import (
    Entry,
    NodeId,
    Snapshot,
    configuration_of,
)


def handle_append_request(
    state: NodeState, sender: NodeId, request: AppendRequest, now: float
) -> Transition:
    """Accept the leader's entries, if the log holds the one before them."""
    if request.term < state.term:
        return state, (_refuse(state, sender, request),)
    state, followed = _follow(state, sender, request, now)
    if not state.log.holds(request.previous):
        return state, (*followed, _refuse(state, sender, request))
    state, saved = _accept_entries(state, request.entries)
    match_index = request.previous.index + len(request.entries)
    state, applied = commit_to(state, min(request.commit_index, match_index))
    reply = _accept(state, sender, request, match_index)
    return state, (*followed, *saved, *applied, reply)


def handle_snapshot_request(
    state: NodeState, sender: NodeId, request: SnapshotRequest, now: float
) -> Transition:
    """Replace the log by the leader's snapshot, if that is newer."""
    if request.term < state.term:
        return state, (_refuse(state, sender, request),)
    state, followed = _follow(state, sender, request, now)
    match_index = request.snapshot.last.index
    reply = _accept(state, sender, request, match_index)
    if match_index <= state.commit_index:
        return state, (*followed, reply)
    state, saved = _install(state, request.snapshot)
    return state, (*followed, *saved, reply)


def _follow(
    state: NodeState,
    sender: NodeId,
    request: AppendRequest | SnapshotRequest,
    now: float,
) -> Transition:
    if request.term == state.term and isinstance(state.role, Leader):
        raise InvariantViolationError(
            f'{sender.host_id} and {state.identity.host_id} both lead term '
            f'{state.term}; report this as a fault'
        )
    return become_follower(state, request.term, sender, now)


def _accept_entries(state: NodeState, entries: tuple[Entry, ...]) -> Transition:
    unknown = tuple(
        entry for entry in entries if not state.log.holds(entry.entry_id)
    )
    if not unknown:
        return state, ()
    first = unknown[0].index
    if first <= state.commit_index:
        raise InvariantViolationError(
            f'entry {first} is committed but the leader holds another one; '
            'report this as a fault'
        )
    state, truncated = truncate_entries(state, first)
    state, appended = append_entries(state, unknown)
    return state, truncated + appended


def _install(state: NodeState, snapshot: Snapshot) -> Transition:
    last = snapshot.last
    kept = Log(base=last)
    configurations = [configuration_of(last.index, snapshot.voters)]
    if state.log.holds(last):
        kept = state.log.compact(last.index)
        configurations.extend(
            later for later in state.configurations if later.index > last.index
        )
    installed = replace(
        state,
        log=kept,
        snapshot=snapshot,
        commit_index=last.index,
        configurations=tuple(configurations),
    )
    return installed, (
        SaveSnapshot(snapshot=snapshot, log=kept),
        ApplySnapshot(snapshot=snapshot),
    )


def _refuse(
    state: NodeState, sender: NodeId, request: AppendRequest | SnapshotRequest
) -> Send:
    # Committed entries equal the leader's, so the leader can go on there.
    hint = state.commit_index
    if isinstance(request, AppendRequest):
        last_index = state.log.last.index
        if last_index < request.previous.index:
            hint = last_index
    return _reply(state, sender, request, accepted=False, match_index=hint)


def _accept(
    state: NodeState,
    sender: NodeId,
    request: AppendRequest | SnapshotRequest,
    match_index: int,
) -> Send:
    return _reply(
        state, sender, request, accepted=True, match_index=match_index
    )


def _reply(
    state: NodeState,
    sender: NodeId,
    request: AppendRequest | SnapshotRequest,
    *,
    accepted: bool,
    match_index: int,
) -> Send:
    reply = AppendReply(
        term=state.term,
        accepted=accepted,
        match_index=match_index,
        read_round=request.read_round,
    )
    return send(state, sender, reply)
