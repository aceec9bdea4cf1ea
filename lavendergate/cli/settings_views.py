"""Rows of the tables about settings. Secret values are redacted."""

from collections.abc import Iterable, Sequence

from lavendergate.cli.tables import Row
from lavendergate.core.commands import SettingChange
from lavendergate.core.settings.document import (
    ROOT_PATH,
    SettingsDocument,
    SettingValue,
)
from lavendergate.core.settings.history import HistoryEntry
from lavendergate.core.settings.paths import NodeLevel, SettingsTarget, level_of
from lavendergate.core.settings.schema import SCHEMA
from lavendergate.core.settings.tree import (
    EffectiveChange,
    Origin,
    SettingDifference,
    SettingsTree,
)
from lavendergate.core.types import CallerId, GroupId, Region
from lavendergate.rpc.messages import StatusReply

HIDDEN = '(hidden)'


def redact_value(key: str, value: SettingValue | None) -> object:
    """Return a value for display, with secrets redacted."""
    if value is None:
        return None
    spec = SCHEMA.get(key)
    is_secret = key.startswith('token.') if spec is None else spec.is_secret
    if not is_secret:
        return value
    keys = value if isinstance(value, tuple) else (str(value),)
    return ', '.join(f'{key.partition(":")[0]}:{HIDDEN}' for key in keys)


def known_targets(status: StatusReply) -> frozenset[SettingsTarget]:
    """Return announced groups, and groups and callers with their own nodes."""
    tree = SettingsTree(status.settings)
    targets = set()
    for group in status.groups:
        regions = [report.announcement.region for report in group.members]
        region = tree.region_of(group.group_id, regions)
        if region is not None:
            targets.add(SettingsTarget(region=region, group=group.group_id))
    for path in status.settings.nodes:
        if level_of(path) >= NodeLevel.group:
            targets.add(target_of_path(path))
    return frozenset(targets)


def target_of_path(path: str) -> SettingsTarget:
    """Return the target that the node of a group or caller applies to."""
    names = [*path.split('/')[1:], None]
    return SettingsTarget(
        region=Region(str(names[0])),
        group=GroupId(str(names[1])),
        caller=CallerId(names[2]) if names[2] else None,
    )


def node_rows(document: SettingsDocument) -> list[Row]:
    """Return a row for each value that a node sets, without inherited ones."""
    return [
        {'node': path, 'key': key, 'value': redact_value(key, value)}
        for path, node in sorted(document.nodes.items())
        for key, value in sorted(node.items())
    ]


def value_rows(origins: Iterable[Origin]) -> list[Row]:
    """Return a row for each value in force, with the node that sets it."""
    return [
        {
            'key': origin.key,
            'value': redact_value(origin.key, origin.value),
            'unit': SCHEMA[origin.key].unit,
            'from': origin.path or 'default',
        }
        for origin in origins
    ]


def difference_rows(differences: Iterable[SettingDifference]) -> list[Row]:
    """Return a row for each key that differs."""
    return [
        {
            'node': difference.path,
            'key': difference.key,
            'before': redact_value(difference.key, difference.before),
            'after': redact_value(difference.key, difference.after),
        }
        for difference in differences
    ]


def affected_rows(changes: Iterable[EffectiveChange]) -> list[Row]:
    """Return a row for each value in force that a change would replace."""
    return [
        {
            'group': change.target.group,
            'caller': change.target.caller,
            'region': change.target.region,
            'key': change.key,
            'before': redact_value(change.key, change.before),
            'after': redact_value(change.key, change.after),
            'risky': SCHEMA[change.key].is_risky,
        }
        for change in changes
    ]


def history_rows(entries: Iterable[HistoryEntry]) -> list[Row]:
    """Return a row for each accepted change, newest first."""
    return [
        {
            'version': entry.version,
            'author': entry.author,
            'operation_id': entry.operation_id,
            'changes': _describe_changes(entry.changes),
        }
        for entry in reversed(tuple(entries))
    ]


def split_path(
    path: str,
) -> tuple[Region | None, GroupId | None, CallerId | None]:
    """Return region, group and caller that a path names."""
    names = [] if path == ROOT_PATH else path.split('/')[1:]
    region, group, caller = (*names, None, None, None)[: NodeLevel.caller]
    return (
        Region(region) if region else None,
        GroupId(group) if group else None,
        CallerId(caller) if caller else None,
    )


def _describe_changes(changes: Sequence[SettingChange]) -> str:
    return '; '.join(
        f'{change.path} {change.key} = {redact_value(change.key, change.value)}'
        if change.value is not None
        else f'{change.path} {change.key} unset'
        for change in changes
    )
