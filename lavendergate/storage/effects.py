"""Applies the storage effects of the consensus core to a storage."""

from collections.abc import Iterable

from lavendergate.core.consensus.events import (
    AppendLog,
    PersistEffect,
    SaveHardState,
    SaveSnapshot,
    TruncateLog,
)
from lavendergate.storage.base import LogStorage


def persist(storage: LogStorage, effects: Iterable[PersistEffect]) -> None:
    """Apply storage effects in order, then sync them once."""
    for effect in effects:
        match effect:
            case SaveHardState(hard_state=hard_state):
                storage.save_hard_state(hard_state)
            case AppendLog(entries=entries):
                storage.append(entries)
            case TruncateLog(first=first):
                storage.truncate(first)
            case SaveSnapshot(snapshot=snapshot, log=log):
                storage.save_snapshot(snapshot, log)
    storage.sync()
