"""Paths of the nodes of the settings tree."""

import enum
import re
from dataclasses import dataclass

from lavendergate.core.settings.document import ROOT_PATH, NodePath
from lavendergate.core.types import CallerId, GroupId, Region

_NAME = re.compile('[A-Za-z0-9_][A-Za-z0-9_.-]{0,63}')

_EXPECTED_FORMAT = (
    'expected /, /<region>, /<region>/<group> or /<region>/<group>/<caller> '
    'with names of 1 to 64 letters, digits, _, . and -'
)


@enum.unique
class NodeLevel(enum.IntEnum):
    """Level of a node in the settings tree; the value is its depth."""

    root = 0
    region = 1
    group = 2
    caller = 3


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class SettingsTarget:
    """A group, or a caller of a group, for which settings are resolved.

    Parameters
    ----------
    caller
        The caller, or None for the group itself.
    """

    region: Region
    group: GroupId
    caller: CallerId | None = None

    @property
    def path(self) -> NodePath:
        """Path of the node of the group or caller."""
        group_path = f'/{self.region}/{self.group}'
        return f'{group_path}/{self.caller}' if self.caller else group_path


def level_of(path: NodePath) -> NodeLevel:
    """Return the level of a well-formed path."""
    return NodeLevel.root if path == ROOT_PATH else NodeLevel(path.count('/'))


def path_problem(path: NodePath) -> str | None:
    """Return why a path is malformed, or None if it is well-formed."""
    if path == ROOT_PATH:
        return None
    names = path.split('/')
    well_formed = (
        names[0] == ''
        and len(names) <= NodeLevel.caller + 1
        and all(_NAME.fullmatch(name) for name in names[1:])
        and len(names) > 1
    )
    return (
        None
        if well_formed
        else f'node {path!r} is malformed; {_EXPECTED_FORMAT}'
    )


def path_with_ancestors(path: NodePath) -> tuple[NodePath, ...]:
    """Return the path and its ancestors, the path itself first.

    Examples
    --------
    >>> path_with_ancestors('/franken/glasdaten-1')
    ('/franken/glasdaten-1', '/franken', '/')
    """
    paths = []
    while path != ROOT_PATH:
        paths.append(path)
        path = path.rpartition('/')[0] or ROOT_PATH
    return (*paths, ROOT_PATH)


def is_within(path: NodePath, ancestor: NodePath) -> bool:
    """Return whether a path equals an ancestor or lies below it."""
    if ancestor in (ROOT_PATH, path):
        return True
    return path.startswith(f'{ancestor}/')
