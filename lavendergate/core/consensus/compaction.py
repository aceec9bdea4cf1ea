"""Replacement of old entries by a snapshot."""

from dataclasses import replace

from lavendergate.core.consensus.events import Compact, SaveSnapshot
from lavendergate.core.consensus.state import NodeState, Transition
from lavendergate.core.consensus.types import EntryId, Snapshot


def compact(state: NodeState, event: Compact) -> Transition:
    """Save a snapshot of the applied state and drop the entries it replaces.

    The last `event.retained` entries before its index are kept.
    """
    index = event.index
    term = state.log.term_at(index)
    included = [
        earlier for earlier in state.configurations if earlier.index <= index
    ]
    is_newer = state.snapshot is None or state.snapshot.last.index < index
    if term is None or not included or not is_newer:
        return state, ()
    if index > state.commit_index:
        return state, ()
    snapshot = Snapshot(
        last=EntryId(index=index, term=term),
        voters=included[-1].command,
        state=event.state,
    )
    compacted = replace(
        state,
        snapshot=snapshot,
        log=state.log.compact(index - event.retained),
        configurations=state.configurations[len(included) - 1 :],
    )
    return compacted, (SaveSnapshot(snapshot=snapshot, log=compacted.log),)
