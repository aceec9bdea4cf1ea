"""Replication on a follower: handling of entries and snapshots."""

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
    """Append the leader's entries if the log contains the preceding one."""
    if request.term < state.term:
        return state, (_refusal(state, sender, request),)
    state, follow_effects = _follow_sender(state, sender, request, now)
    if not state.log.contains(request.previous):
        return state, (*follow_effects, _refusal(state, sender, request))
    state, saved = _append_missing_entries(state, request.entries)
    match_index = request.previous.index + len(request.entries)
    state, applied = commit_to(state, min(request.commit_index, match_index))
    reply = _acceptance(state, sender, request, match_index)
    return state, (*follow_effects, *saved, *applied, reply)


def handle_snapshot_request(
    state: NodeState, sender: NodeId, request: SnapshotRequest, now: float
) -> Transition:
    """Install the leader's snapshot if it is beyond the commit index."""
    if request.term < state.term:
        return state, (_refusal(state, sender, request),)
    state, follow_effects = _follow_sender(state, sender, request, now)
    match_index = request.snapshot.last.index
    reply = _acceptance(state, sender, request, match_index)
    if match_index <= state.commit_index:
        return state, (*follow_effects, reply)
    state, saved = _install_snapshot(state, request.snapshot)
    return state, (*follow_effects, *saved, reply)


def _follow_sender(
    state: NodeState,
    sender: NodeId,
    request: AppendRequest | SnapshotRequest,
    now: float,
) -> Transition:
    if request.term == state.term and isinstance(state.role, Leader):
        raise InvariantViolationError(
            f'{sender.host_id} and {state.identity.host_id} both lead term '
            f'{state.term}; report this as a bug'
        )
    return become_follower(state, request.term, sender, now)


def _append_missing_entries(
    state: NodeState, entries: tuple[Entry, ...]
) -> Transition:
    missing = tuple(
        entry for entry in entries if not state.log.contains(entry.entry_id)
    )
    if not missing:
        return state, ()
    first = missing[0].index
    if first <= state.commit_index:
        raise InvariantViolationError(
            f'entry {first} is committed but the leader sent a different one; '
            'report this as a bug'
        )
    state, truncate_effects = truncate_entries(state, first)
    state, append_effects = append_entries(state, missing)
    return state, truncate_effects + append_effects


def _install_snapshot(state: NodeState, snapshot: Snapshot) -> Transition:
    last = snapshot.last
    kept = Log(base=last)
    configurations = [configuration_of(last.index, snapshot.voters)]
    if state.log.contains(last):
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


def _refusal(
    state: NodeState, sender: NodeId, request: AppendRequest | SnapshotRequest
) -> Send:
    # Committed entries are identical on the leader, so it can resume sending
    # after them.
    hint = state.commit_index
    if isinstance(request, AppendRequest):
        last_index = state.log.last.index
        if last_index < request.previous.index:
            hint = last_index
    return _append_reply(
        state, sender, request, accepted=False, match_index=hint
    )


def _acceptance(
    state: NodeState,
    sender: NodeId,
    request: AppendRequest | SnapshotRequest,
    match_index: int,
) -> Send:
    return _append_reply(
        state, sender, request, accepted=True, match_index=match_index
    )


def _append_reply(
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
