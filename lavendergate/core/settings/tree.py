"""Changes of the settings tree: validation, application, diff and risk."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from lavendergate.core.commands import SettingChange
from lavendergate.core.settings.document import (
    NodePath,
    SettingsDocument,
    SettingValue,
)
from lavendergate.core.settings.paths import SettingsTarget, path_with_ancestors
from lavendergate.core.settings.resolution import (
    EffectiveSettings,
    Origin,
    SettingsTree,
    effective_settings,
    explain,
    origin_at,
)
from lavendergate.core.settings.schema import SCHEMA
from lavendergate.core.settings.validation import (
    ChangeProblem,
    cross_value_problems,
    single_change_problems,
)
from lavendergate.core.types import SettingsVersion

__all__ = (
    'ChangeProblem',
    'EffectiveChange',
    'EffectiveSettings',
    'Origin',
    'SettingDifference',
    'SettingsTree',
    'apply_changes',
    'change_problem',
    'changes_between',
    'count_targets_at_risk',
    'diff',
    'effective_changes',
    'effective_settings',
    'explain',
    'validate_change',
)


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingDifference:
    """A key of a node that differs between two documents.

    Parameters
    ----------
    before, after
        Values set at the node; None if it inherits the value.
    """

    path: NodePath
    key: str
    before: SettingValue | None
    after: SettingValue | None


@dataclass(frozen=True, kw_only=True, slots=True)
class EffectiveChange:
    """Change of a value in force for a group or caller.

    Parameters
    ----------
    before, after
        Values in force; None if there is no value.
    """

    target: SettingsTarget
    key: str
    before: SettingValue | None
    after: SettingValue | None


def apply_changes(
    document: SettingsDocument, changes: Sequence[SettingChange]
) -> SettingsDocument:
    """Return the next version of a document.

    The changes are not validated here; `validate_change` validates them.
    """
    nodes = dict(document.nodes)
    paths = {change.path for change in changes}
    nodes.update({path: dict(nodes.get(path, {})) for path in paths})
    for change in changes:
        if change.value is None:
            nodes[change.path].pop(change.key, None)
        else:
            nodes[change.path][change.key] = change.value
    for path in paths:
        if not nodes[path]:
            nodes.pop(path)
    return SettingsDocument(
        version=SettingsVersion(document.version + 1), nodes=nodes
    )


def validate_change(
    document: SettingsDocument, changes: Sequence[SettingChange]
) -> Result[SettingsDocument, tuple[ChangeProblem, ...]]:
    """Return the document after the change, or all its problems."""
    problems = tuple(single_change_problems(changes))
    if problems:
        return Err(problems)
    after = apply_changes(document, changes)
    problems = tuple(cross_value_problems(document, after, changes))
    return Err(problems) if problems else Ok(after)


def change_problem(
    document: SettingsDocument, changes: Sequence[SettingChange]
) -> str | None:
    """Return the problems of a change, one per line, or None if it is valid."""
    match validate_change(document, changes):
        case Err(problems):
            return '\n'.join(map(str, problems))
        case _:
            return None


def diff(
    before: SettingsDocument, after: SettingsDocument
) -> tuple[SettingDifference, ...]:
    """Return the keys that differ between two documents, by path and key."""
    return tuple(_differences(before, after))


def changes_between(
    before: SettingsDocument, after: SettingsDocument
) -> tuple[SettingChange, ...]:
    """Return the changes that turn `before` into `after`."""
    return tuple(
        SettingChange(
            path=difference.path,
            key=difference.key,
            value=difference.after,
        )
        for difference in diff(before, after)
    )


def effective_changes(
    document: SettingsDocument,
    changes: Sequence[SettingChange],
    known: Iterable[SettingsTarget],
) -> tuple[EffectiveChange, ...]:
    """Return the changes of values in force for known groups and callers.

    Parameters
    ----------
    document
        Document before the change.
    changes
        Changes that `validate_change` accepts.
    known
        Groups and callers to check, such as those that have nodes or that
        are announced.
    """
    after = apply_changes(document, changes)
    changed = {change.path for change in changes}
    keys = tuple(key for key in SCHEMA if _is_changed(key, changes))
    return tuple(
        change
        for target in sorted(known, key=lambda known_target: known_target.path)
        if changed.intersection(path_with_ancestors(target.path))
        for change in _effective_changes_at(document, after, target, keys)
    )


def count_targets_at_risk(
    document: SettingsDocument,
    changes: Sequence[SettingChange],
    known: Iterable[SettingsTarget],
) -> int:
    """Return the number of groups and callers that a risky change affects.

    Returns
    -------
    int
        0 if no risky key changes, otherwise at least 1: a change may also
        affect groups and callers that are not known yet.
    """
    after = apply_changes(document, changes)
    risky = {
        difference.key
        for difference in diff(document, after)
        if difference.key in SCHEMA and SCHEMA[difference.key].is_risky
    }
    if not risky:
        return 0
    affected_targets = {
        change.target
        for change in effective_changes(document, changes, known)
        if change.key in risky
    }
    return max(len(affected_targets), 1)


def _is_changed(key: str, changes: Sequence[SettingChange]) -> bool:
    return any(change.key == key for change in changes)


def _effective_changes_at(
    before: SettingsDocument,
    after: SettingsDocument,
    target: SettingsTarget,
    keys: Sequence[str],
) -> Iterator[EffectiveChange]:
    for key in keys:
        old_value = origin_at(before, target.path, key).value
        new_value = origin_at(after, target.path, key).value
        if old_value != new_value:
            yield EffectiveChange(
                target=target, key=key, before=old_value, after=new_value
            )


def _differences(
    before: SettingsDocument, after: SettingsDocument
) -> Iterator[SettingDifference]:
    for path in sorted(before.nodes.keys() | after.nodes.keys()):
        old = before.nodes.get(path, {})
        new = after.nodes.get(path, {})
        for key in sorted(old.keys() | new.keys()):
            if old.get(key) != new.get(key):
                yield SettingDifference(
                    path=path,
                    key=key,
                    before=old.get(key),
                    after=new.get(key),
                )
