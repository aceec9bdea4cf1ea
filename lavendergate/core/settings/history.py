"""Accepted changes of the settings and documents of former versions."""

from collections.abc import Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from lavendergate.core.commands import SettingChange
from lavendergate.core.settings.document import SettingsDocument
from lavendergate.core.settings.tree import apply_changes
from lavendergate.core.types import SettingsVersion


@dataclass(frozen=True, kw_only=True, slots=True)
class HistoryEntry:
    """An accepted change.

    Parameters
    ----------
    version
        Version of the document after the change.
    """

    version: SettingsVersion
    author: str
    operation_id: str
    changes: tuple[SettingChange, ...]


def document_at(
    current: SettingsDocument,
    history: Sequence[HistoryEntry],
    version: SettingsVersion,
) -> Result[SettingsDocument, str]:
    """Return the document of a former version.

    Parameters
    ----------
    current
        Newest document.
    history
        Accepted changes up to the newest one, oldest first; the oldest
        changes may be missing.
    version
        Version to return.
    """
    if not 0 <= version <= current.version:
        return Err(
            f'version {version} does not exist; expected a version from 0 '
            f'to {current.version}'
        )
    later = [entry for entry in history if entry.version > version]
    if len(later) != current.version - version:
        return Err(
            f'the history does not reach back to version {version}; '
            'set the wanted values with "settings set"'
        )
    values_at_version = _values_at(history, version)
    is_complete = bool(history) and history[0].version == 1
    restoring_changes: dict[tuple[str, str], SettingChange] = {}
    for change in _changes(later):
        location = (change.path, change.key)
        if location not in values_at_version and not is_complete:
            return Err(
                f'the value of {change.key} at {change.path} in version '
                f'{version} is older than the history; set it with '
                '"settings set"'
            )
        restoring_changes[location] = values_at_version.get(
            location,
            SettingChange(path=change.path, key=change.key, value=None),
        )
    restored = apply_changes(current, tuple(restoring_changes.values()))
    return Ok(SettingsDocument(version=version, nodes=restored.nodes))


def _values_at(
    history: Sequence[HistoryEntry], version: SettingsVersion
) -> dict[tuple[str, str], SettingChange]:
    earlier = [entry for entry in history if entry.version <= version]
    return {(change.path, change.key): change for change in _changes(earlier)}


def _changes(entries: Sequence[HistoryEntry]) -> list[SettingChange]:
    return [change for entry in entries for change in entry.changes]
