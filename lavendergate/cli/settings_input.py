"""Reads changes of the settings from arguments and files."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok

from lavendergate.cli.outcome import refused, usage
from lavendergate.core.commands import SettingChange
from lavendergate.core.settings.document import SettingValue
from lavendergate.core.settings.paths import path_problem
from lavendergate.core.settings.values import find_spec, parse_value


def read_assignments(
    path: str, assignments: Iterable[str]
) -> tuple[SettingChange, ...]:
    """Read ``key=value`` arguments.

    Raises
    ------
    CommandError
        If an argument, a key or a value is wrong.
    """
    return tuple(_assignment(path, text) for text in assignments)


def read_unset(path: str, keys: Iterable[str]) -> tuple[SettingChange, ...]:
    """Return changes that remove overrides."""
    return tuple(SettingChange(path=path, key=key, value=None) for key in keys)


def read_file(path: Path) -> tuple[SettingChange, ...]:
    """Read a JSON object of nodes to objects of keys to values.

    A value ``null`` removes the override. Keys that the file does not name
    stay as they are.

    Raises
    ------
    CommandError
        If the file cannot be read or has another form.
    """
    try:
        nodes = msgspec.json.decode(
            path.read_bytes(), type=dict[str, dict[str, Any]]
        )
    except (OSError, msgspec.MsgspecError) as error:
        raise usage(
            f'file {path} cannot be read: {error}; expected a JSON object '
            'like {"/franken": {"read.max_age_ms": 500}}'
        ) from error
    return tuple(_file_changes(nodes))


def checked_path(path: str) -> str:
    """Return a path of a node.

    Raises
    ------
    CommandError
        If it is malformed.
    """
    problem = path_problem(path)
    if problem:
        raise usage(problem)
    return path


def _assignment(path: str, text: str) -> SettingChange:
    key, separator, value = text.partition('=')
    if not separator:
        raise usage(f'argument {text!r} is malformed; expected key=value')
    match find_spec(key):
        case Err(problem):
            raise refused(problem)
        case Ok(spec):
            return SettingChange(
                path=path, key=key, value=_value(parse_value(spec, value))
            )


def _value(parsed: Ok[SettingValue] | Err[str]) -> SettingValue:
    match parsed:
        case Err(problem):
            raise refused(problem)
        case Ok(value):
            return value


def _file_changes(
    nodes: dict[str, dict[str, Any]],
) -> Iterator[SettingChange]:
    for path, node in nodes.items():
        for key, value in node.items():
            yield SettingChange(
                path=path,
                key=key,
                value=tuple(value) if isinstance(value, list) else value,
            )
