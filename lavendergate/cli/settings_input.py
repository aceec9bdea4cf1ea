"""Parses changes of the settings tree from arguments and files."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from result import Err, Ok

from lavendergate.cli.errors import problem_error, usage_error
from lavendergate.core.bounds.decoding import InvalidValueError, decode_json
from lavendergate.core.commands import SettingChange
from lavendergate.core.settings.document import SettingValue
from lavendergate.core.settings.paths import path_problem
from lavendergate.core.settings.values import find_spec, parse_value


def parse_assignments(
    path: str, assignments: Iterable[str]
) -> tuple[SettingChange, ...]:
    """Parse ``key=value`` arguments into changes of a node.

    Raises
    ------
    CommandError
        If an argument is malformed, a key unknown or a value invalid.
    """
    return tuple(_parse_assignment(path, text) for text in assignments)


def unset_changes(path: str, keys: Iterable[str]) -> tuple[SettingChange, ...]:
    """Return changes that remove keys from a node."""
    return tuple(SettingChange(path=path, key=key, value=None) for key in keys)


def read_changes(path: Path) -> tuple[SettingChange, ...]:
    """Read changes from a JSON file.

    The file maps paths of nodes to objects that map keys to values. A value
    ``null`` removes the key from the node. Keys that the file does not
    contain are left unchanged.

    Raises
    ------
    CommandError
        If the file cannot be read or has another structure.
    """
    try:
        nodes = decode_json(path.read_bytes(), dict[str, dict[str, Any]])
    except (OSError, InvalidValueError) as error:
        raise usage_error(
            f'file {path} cannot be read: {error}; expected a JSON object '
            'like {"/franken": {"read.max_age_ms": 500}}'
        ) from error
    return tuple(_changes_of_nodes(nodes))


def validate_path(path: str) -> str:
    """Return the path of a node if it is well-formed.

    Raises
    ------
    CommandError
        If the path is malformed.
    """
    problem = path_problem(path)
    if problem:
        raise usage_error(problem)
    return path


def _parse_assignment(path: str, text: str) -> SettingChange:
    key, separator, value = text.partition('=')
    if not separator:
        raise usage_error(f'argument {text!r} is malformed; expected key=value')
    match find_spec(key):
        case Err(problem):
            raise problem_error(problem)
        case Ok(spec):
            return SettingChange(
                path=path,
                key=key,
                value=_value_or_raise(parse_value(spec, value)),
            )


def _value_or_raise(parsed: Ok[SettingValue] | Err[str]) -> SettingValue:
    match parsed:
        case Err(problem):
            raise problem_error(problem)
        case Ok(value):
            return value


def _changes_of_nodes(
    nodes: dict[str, dict[str, Any]],
) -> Iterator[SettingChange]:
    for path, node in nodes.items():
        for key, value in node.items():
            yield SettingChange(
                path=path,
                key=key,
                value=tuple(value) if isinstance(value, list) else value,
            )
