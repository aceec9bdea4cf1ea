"""Commands ``lavendergatectl settings …``."""

from dataclasses import replace
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter
from result import Err

from lavendergate.cli.control_client import ControlClient
from lavendergate.cli.errors import problem_error
from lavendergate.cli.options import ControlOptions, Format
from lavendergate.cli.settings_change import ChangeOptions, change_settings
from lavendergate.cli.settings_input import (
    parse_assignments,
    read_changes,
    unset_changes,
    validate_path,
)
from lavendergate.cli.settings_views import (
    difference_rows,
    history_rows,
    node_rows,
    split_path,
    value_rows,
)
from lavendergate.cli.settings_wait import wait_for_version
from lavendergate.cli.tables import Row, print_note, print_rows
from lavendergate.core.settings.document import ROOT_PATH, SettingsDocument
from lavendergate.core.settings.history import HistoryEntry, document_at
from lavendergate.core.settings.tree import changes_between, diff, explain
from lavendergate.core.types import SettingsVersion
from lavendergate.rpc.settings_service import (
    SETTINGS_HISTORY,
    SettingsHistoryRequest,
)

settings_app = App(name='settings', help='Show and change the settings tree.')

_CONTROL = ControlOptions()
_CHANGE = ChangeOptions()
_DEFAULT_WAIT_S = 15.0


@settings_app.command(name='get')
async def get(
    path: str = '', key: str = '', *, options: ControlOptions = _CONTROL
) -> None:
    """Show the values that nodes set, or the values in force at one node.

    Parameters
    ----------
    path
        Node, such as /franken/glasdaten-1/planner; all nodes if omitted.
    key
        Show only this key.
    """
    status = await ControlClient(options).status()
    if path:
        rows = _rows_in_force(status.settings, validate_path(path))
    else:
        rows = node_rows(status.settings)
    selected = [row for row in rows if key in {'', row['key']}]
    if key and not selected and path:
        raise problem_error(f'unknown setting {key!r}; see docs/settings.md')
    print_rows(selected, options.format, empty='no node sets a value')
    if options.format is Format.table:
        print_note(f'version {status.settings.version}')


@settings_app.command(name='explain')
async def explain_command(
    path: str = ROOT_PATH, *, options: ControlOptions = _CONTROL
) -> None:
    """Show the values in force at a node and the nodes that set them."""
    status = await ControlClient(options).status()
    rows = _rows_in_force(status.settings, validate_path(path))
    print_rows(rows, options.format, empty='')


@settings_app.command(name='set')
async def set_command(
    path: str,
    *assignments: str,
    change: ChangeOptions = _CHANGE,
    options: ControlOptions = _CONTROL,
) -> None:
    """Set keys on a node.

    Parameters
    ----------
    path
        Node to change.
    assignments
        Pairs key=value.
    """
    changes = parse_assignments(validate_path(path), assignments)
    await change_settings(ControlClient(options), options, change, changes)


@settings_app.command(name='unset')
async def unset(
    path: str,
    *keys: str,
    change: ChangeOptions = _CHANGE,
    options: ControlOptions = _CONTROL,
) -> None:
    """Remove keys from a node, so that it inherits their values."""
    changes = unset_changes(validate_path(path), keys)
    await change_settings(ControlClient(options), options, change, changes)


@settings_app.command(name='apply')
async def apply(
    *,
    file: Annotated[Path, Parameter(name=('--file', '-f'))],
    change: ChangeOptions = _CHANGE,
    options: ControlOptions = _CONTROL,
) -> None:
    """Apply the changes in a JSON file as one version."""
    changes = read_changes(file)
    await change_settings(ControlClient(options), options, change, changes)


@settings_app.command(name='check')
async def check(file: Path, /, *, options: ControlOptions = _CONTROL) -> None:
    """Check the changes in a JSON file without sending them.

    Reports errors, and which groups and callers the changes concern.

    Parameters
    ----------
    file
        File as for ``settings apply``.
    """
    changes = read_changes(file)
    await change_settings(
        ControlClient(options), options, ChangeOptions(dry_run=True), changes
    )


@settings_app.command(name='history')
async def history(
    *, limit: int = 20, options: ControlOptions = _CONTROL
) -> None:
    """Show accepted changes, newest first."""
    reply = await ControlClient(options).call(
        SETTINGS_HISTORY, SettingsHistoryRequest(limit=limit)
    )
    rows = history_rows(reply.entries)
    print_rows(rows, options.format, empty='no change has been accepted yet')


@settings_app.command(name='diff')
async def diff_command(
    before: int,
    after: int | None = None,
    *,
    options: ControlOptions = _CONTROL,
) -> None:
    """Show the difference between two versions.

    Parameters
    ----------
    before
        Earlier version.
    after
        Later version; the current one if omitted.
    """
    current, entries = await _current_and_history(ControlClient(options))
    later = (
        current
        if after is None
        else _document_at_version(current, entries, after)
    )
    earlier = _document_at_version(current, entries, before)
    rows = difference_rows(diff(earlier, later))
    print_rows(rows, options.format, empty='the versions have equal values')


@settings_app.command(name='rollback')
async def rollback(
    version: int,
    *,
    change: ChangeOptions = _CHANGE,
    options: ControlOptions = _CONTROL,
) -> None:
    """Create a new version with the values of an earlier one."""
    client = ControlClient(options)
    current, entries = await _current_and_history(client)
    changes = changes_between(
        current, _document_at_version(current, entries, version)
    )
    if not changes:
        raise problem_error(
            f'the current values already equal those of version {version}'
        )
    if change.base_version is None and not change.operation_id:
        # The changes were computed from this version and are valid only
        # for it.
        change = replace(change, base_version=current.version)
    await change_settings(client, options, change, changes)


@settings_app.command(name='wait')
async def wait(
    version: int | None = None,
    *,
    limit_s: float = _DEFAULT_WAIT_S,
    options: ControlOptions = _CONTROL,
) -> None:
    """Wait until a version is in force on all live proxies.

    Parameters
    ----------
    version
        Version to wait for; the current one if omitted.
    limit_s
        Maximum time to wait, in seconds.
    """
    wanted = None if version is None else SettingsVersion(version)
    await wait_for_version(ControlClient(options), wanted, limit_s)


async def _current_and_history(
    client: ControlClient,
) -> tuple[SettingsDocument, tuple[HistoryEntry, ...]]:
    """Return the current settings and the changes up to their version."""
    status = await client.status()
    reply = await client.call(SETTINGS_HISTORY, SettingsHistoryRequest())
    version = status.settings.version
    entries = tuple(
        entry for entry in reply.entries if entry.version <= version
    )
    return status.settings, entries


def _document_at_version(
    current: SettingsDocument,
    entries: tuple[HistoryEntry, ...],
    version: int,
) -> SettingsDocument:
    result = document_at(current, entries, SettingsVersion(version))
    if isinstance(result, Err):
        raise problem_error(result.err_value)
    return result.ok_value


def _rows_in_force(document: SettingsDocument, path: str) -> list[Row]:
    return value_rows(explain(document, *split_path(path)))
