"""Changes to the settings tree.

A change is refused if the tree has changed since the version on which the
change is based.
"""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from lavendergate.core.commands import ChangeSettings, SettingChange
from lavendergate.core.consensus.payload import encode_command
from lavendergate.core.control_records import (
    AcceptedChange,
    Answer,
    FindChangeProblem,
    OperationRecord,
)
from lavendergate.core.settings.document import SettingsDocument
from lavendergate.core.types import SettingsVersion

_MAX_HISTORY = 1000
_MAX_OPERATIONS = 10_000
_MAX_DESCRIBED_CHANGES = 10
_DIGEST_BYTES = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsRecord:
    """The settings tree, its recent changes, and the answers to them.

    Parameters
    ----------
    document
        The settings tree.
    history
        Most recent accepted changes, oldest first.
    operations
        First answers to the most recent operations, oldest first.
    """

    document: SettingsDocument = field(default_factory=SettingsDocument)
    history: tuple[AcceptedChange, ...] = ()
    operations: dict[str, OperationRecord] = field(default_factory=dict)


def recorded_answer(
    settings: SettingsRecord, command: ChangeSettings
) -> Answer | None:
    """Return the recorded answer to an operation; None if none is recorded.

    A different change with the same operation id is refused.
    """
    known = settings.operations.get(command.operation_id)
    if known is None:
        return None
    if known.digest == _digest(command):
        return known.answer
    return Answer(
        accepted=False,
        problem=(
            f'operation id {command.operation_id} belongs to another change: '
            'send each change with an id of its own'
        ),
        settings_version=settings.document.version,
    )


def change_settings(
    settings: SettingsRecord,
    index: int,
    command: ChangeSettings,
    find_change_problem: FindChangeProblem,
) -> SettingsRecord:
    """Apply a change to the tree if it is valid, and record the answer."""
    if command.operation_id in settings.operations:
        return settings
    problem = _find_conflict(settings, command)
    if problem is None:
        problem = find_change_problem(settings.document, command.changes)
    if problem is None:
        settings = _apply_change(settings, command)
    answer = Answer(
        accepted=problem is None,
        problem=problem,
        index=index,
        settings_version=settings.document.version,
    )
    return _record_answer(settings, command, answer)


def change_document(
    document: SettingsDocument, changes: Sequence[SettingChange]
) -> SettingsDocument:
    """Return the next version of the tree, with the changes applied.

    The changes are not validated here.
    """
    nodes = dict(document.nodes)
    for change in changes:
        overrides = dict(nodes.get(change.path, {}))
        overrides.pop(change.key, None)
        if change.value is not None:
            overrides[change.key] = change.value
        nodes[change.path] = overrides
    return SettingsDocument(
        version=SettingsVersion(document.version + 1),
        nodes={path: found for path, found in nodes.items() if found},
    )


def _apply_change(
    settings: SettingsRecord, command: ChangeSettings
) -> SettingsRecord:
    document = change_document(settings.document, command.changes)
    accepted = AcceptedChange(
        version=document.version,
        author=command.author,
        operation_id=command.operation_id,
        changes=command.changes,
    )
    history = (*settings.history, accepted)
    return replace(settings, document=document, history=history[-_MAX_HISTORY:])


def _record_answer(
    settings: SettingsRecord, command: ChangeSettings, answer: Answer
) -> SettingsRecord:
    record = OperationRecord(
        operation_id=command.operation_id,
        digest=_digest(command),
        answer=answer,
    )
    operations = settings.operations | {command.operation_id: record}
    while len(operations) > _MAX_OPERATIONS:
        operations.pop(next(iter(operations)))
    return replace(settings, operations=operations)


def _find_conflict(
    settings: SettingsRecord, command: ChangeSettings
) -> str | None:
    version = settings.document.version
    base_version = command.base_version
    if base_version == version:
        return None
    if base_version > version:
        return (
            f'settings are at version {version}, but the change is based on '
            f'version {base_version}, which does not exist: read the tree '
            'again'
        )
    since = [
        accepted
        for accepted in settings.history
        if accepted.version > base_version
    ]
    return (
        f'settings are at version {version}, not {base_version}; since then '
        f'{_describe_changes(since)}: check these changes and send yours '
        f'based on version {version} with a new operation id'
    )


def _describe_changes(since: Sequence[AcceptedChange]) -> str:
    shown = since[-_MAX_DESCRIBED_CHANGES:]
    described = [
        f'{accepted.author} set {_describe_keys(accepted.changes)} '
        f'(version {accepted.version})'
        for accepted in shown
    ]
    if len(shown) < len(since):
        described.insert(0, f'{len(since) - len(shown)} earlier changes')
    return ', '.join(described)


def _describe_keys(changes: Sequence[SettingChange]) -> str:
    return ' and '.join(
        f'{change.key} of {change.path} to {_describe_value(change)}'
        for change in changes
    )


def _describe_value(change: SettingChange) -> str:
    if change.value is None:
        return 'the inherited value'
    # Token signing keys must not appear in answers and logs.
    if change.key.startswith('token.'):
        return 'a new secret'
    return repr(change.value)


def _digest(command: ChangeSettings) -> bytes:
    return hashlib.blake2b(
        encode_command(command), digest_size=_DIGEST_BYTES
    ).digest()
