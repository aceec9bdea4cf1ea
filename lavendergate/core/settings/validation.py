"""Validation of changes of the settings tree."""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from result import Err, Ok

from lavendergate.core.commands import SettingChange
from lavendergate.core.settings.document import (
    ROOT_PATH,
    NodePath,
    SettingsDocument,
    SettingValue,
)
from lavendergate.core.settings.paths import (
    NodeLevel,
    is_within,
    level_of,
    path_problem,
)
from lavendergate.core.settings.resolution import origin_at
from lavendergate.core.settings.values import find_spec, value_problem

MAX_CHANGES = 1000
MAX_DOCUMENT_NODES = 20_000

_DEADLINE = 'statement.deadline_ms'
_REPLICA_WAIT = 'read.replica_wait_ms'
_SIGNING_KEY = 'token.signing_key'
_ACCEPTED_KEYS = 'token.accepted_keys'


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeProblem:
    """Why a change cannot be accepted.

    Parameters
    ----------
    path, key
        Node and key of the problem; empty if it concerns no single one.
    message
        Invalid value, expected value and remedy.
    """

    path: NodePath
    key: str
    message: str

    def __str__(self) -> str:
        """Return the problem as one line for an operator."""
        return f'{self.path} {self.key}: {self.message}'


def single_change_problems(
    changes: Sequence[SettingChange],
) -> Iterator[ChangeProblem]:
    """Check each change by itself: node, key, type, range and scope."""
    if not changes:
        yield _problem('', '', 'the change is empty; name a key to change')
    if len(changes) > MAX_CHANGES:
        yield _problem(
            '',
            '',
            f'{len(changes)} keys in one change; expected at most '
            f'{MAX_CHANGES}, split the change',
        )
    seen = set()
    for change in changes:
        location = (change.path, change.key)
        message = _change_problem(change)
        if location in seen:
            message = 'the key is changed twice; keep one of the changes'
        if message:
            yield _problem(*location, message)
        seen.add(location)


def cross_value_problems(
    before: SettingsDocument,
    after: SettingsDocument,
    changes: Sequence[SettingChange],
) -> Iterator[ChangeProblem]:
    """Check values against each other in the document after the change."""
    keys = {change.key for change in changes}
    if {_DEADLINE, _REPLICA_WAIT} & keys:
        yield from _replica_wait_problems(after, changes)
    if {_SIGNING_KEY, _ACCEPTED_KEYS} & keys:
        yield from _token_key_problems(
            _root_values(before), _root_values(after)
        )
    yield from _region_problems(after, changes)
    if len(after.nodes) > MAX_DOCUMENT_NODES:
        yield _problem(
            ROOT_PATH,
            '',
            f'the tree would have {len(after.nodes)} nodes; expected at most '
            f'{MAX_DOCUMENT_NODES}, set common values at a region or the root',
        )


def _change_problem(change: SettingChange) -> str | None:
    malformed_path = path_problem(change.path)
    if malformed_path:
        return malformed_path
    match find_spec(change.key):
        case Err(unknown_key):
            # After a downgrade it must be possible to remove keys that a newer
            # software version set.
            return None if change.value is None else unknown_key
        case Ok(spec):
            if change.value is None:
                return None
            if level_of(change.path) > spec.scope:
                return (
                    f'{spec.key} may be set at level {spec.scope.name} or '
                    f'above, not at a {level_of(change.path).name}; set it at '
                    f'{_scope_example(spec.scope)}'
                )
            return value_problem(spec, change.value)


def _scope_example(scope: NodeLevel) -> str:
    examples = ('/', '/ or /<region>', '/, /<region> or /<region>/<group>')
    return examples[min(scope, NodeLevel.group)]


def _replica_wait_problems(
    after: SettingsDocument, changes: Sequence[SettingChange]
) -> Iterator[ChangeProblem]:
    changed = {
        change.path
        for change in changes
        if change.key in {_DEADLINE, _REPLICA_WAIT}
    }
    paths = sorted({ROOT_PATH, *after.nodes})
    for path in paths:
        if not any(is_within(path, ancestor) for ancestor in changed):
            continue
        deadline = origin_at(after, path, _DEADLINE).value
        wait = origin_at(after, path, _REPLICA_WAIT).value
        if isinstance(wait, int) and isinstance(deadline, int):
            if wait >= deadline:
                yield _problem(
                    path,
                    _REPLICA_WAIT,
                    f'{wait} ms is not below {_DEADLINE}, which is {deadline} '
                    'ms at this node; lower the wait or raise the deadline',
                )


def _token_key_problems(
    before: Mapping[str, SettingValue], after: Mapping[str, SettingValue]
) -> Iterator[ChangeProblem]:
    """Check a rotation of token keys.

    Proxies adopt a new version at different times. A key therefore has to be
    accepted by all proxies before it signs tokens, and it has to stay accepted
    for a while after it was replaced.
    """
    old = before.get(_SIGNING_KEY)
    new = after.get(_SIGNING_KEY)
    accepted = _accepted_keys(after)
    if old is not None and old != new:
        if new is None:
            yield _token_key_problem(
                _SIGNING_KEY,
                'the signing key cannot be removed; replace it',
            )
        elif new not in _accepted_keys(before):
            yield _token_key_problem(
                _SIGNING_KEY,
                f'the new key is not in {_ACCEPTED_KEYS}; add it there in an '
                'earlier change, so that all proxies accept it before it '
                'signs',
            )
        if old not in accepted:
            yield _token_key_problem(
                _ACCEPTED_KEYS,
                f'the former signing key {_key_id(old)!r} is missing; keep '
                'it until no caller holds a token signed with it',
            )
    keys = sorted({*accepted, *_as_key_tuple(new)})
    key_ids = [_key_id(key) for key in keys]
    if len(set(key_ids)) < len(key_ids):
        yield _token_key_problem(
            _ACCEPTED_KEYS,
            f'two keys have the same id among {key_ids}; give '
            'each key its own id',
        )


def _region_problems(
    after: SettingsDocument, changes: Sequence[SettingChange]
) -> Iterator[ChangeProblem]:
    groups = {
        change.path.split('/')[2]
        for change in changes
        if change.value is not None and level_of(change.path) >= NodeLevel.group
    }
    if not groups:
        return
    for group in sorted(groups):
        # Most nodes belong to other groups; the substring test avoids
        # splitting their paths.
        group_segment = f'/{group}'
        paths = [path for path in after.nodes if group_segment in path]
        split_paths = [path.split('/') for path in paths]
        group_regions = sorted(
            {parts[1] for parts in split_paths if parts[2:3] == [group]}
        )
        if len(group_regions) > 1:
            yield _problem(
                f'/{group_regions[0]}/{group}',
                '',
                f'group {group!r} would have nodes in the regions '
                f'{", ".join(group_regions)}; expected one region, unset the '
                'keys in the others in the same change',
            )


def _root_values(document: SettingsDocument) -> Mapping[str, SettingValue]:
    return document.nodes.get(ROOT_PATH, {})


def _accepted_keys(root: Mapping[str, SettingValue]) -> tuple[str, ...]:
    keys = root.get(_ACCEPTED_KEYS, ())
    return keys if isinstance(keys, tuple) else ()


def _as_key_tuple(key: SettingValue | None) -> tuple[str, ...]:
    return () if key is None else (str(key),)


def _key_id(key: SettingValue) -> str:
    return str(key).partition(':')[0]


def _token_key_problem(key: str, message: str) -> ChangeProblem:
    return _problem(ROOT_PATH, key, message)


def _problem(path: NodePath, key: str, message: str) -> ChangeProblem:
    return ChangeProblem(path=path, key=key, message=message)
