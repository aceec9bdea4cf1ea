"""Commands ``lavendergatectl settings …``."""

from dataclasses import replace
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter
from result import Err

from lavendergate.cli.control_client import ControlClient
from lavendergate.cli.options import ControlOptions, Format
from lavendergate.cli.outcome import refused
from lavendergate.cli.settings_change import ChangeOptions, change_settings
from lavendergate.cli.settings_input import (
    checked_path,
    read_assignments,
    read_file,
    read_unset,
)
from lavendergate.cli.settings_views import (
    difference_rows,
    history_rows,
    names_of,
    node_rows,
    origin_rows,
)
from lavendergate.cli.settings_wait import wait_for_version
from lavendergate.cli.tables import Row, show, write_note
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
    """Show what nodes set themselves, or the values in force at a node.

    Parameters
    ----------
    path
        Node, such as /franken/glasdaten-1/planner; all nodes if missing.
    key
        Show only this key.
    """
    status = await ControlClient(options).status()
    if path:
        rows = _in_force(status.settings, checked_path(path))
    else:
        rows = node_rows(status.settings)
    chosen = [row for row in rows if key in {'', row['key']}]
    if key and not chosen and path:
        raise refused(f'unknown setting {key!r}; see docs/settings.md')
    show(chosen, options.format, empty='no node sets a value')
    if options.format is Format.table:
        write_note(f'version {status.settings.version}')


@settings_app.command(name='explain')
async def explain_command(
    path: str = ROOT_PATH, *, options: ControlOptions = _CONTROL
) -> None:
    """Show each value in force at a node and which node sets it."""
    status = await ControlClient(options).status()
    rows = _in_force(status.settings, checked_path(path))
    show(rows, options.format, empty='')


@settings_app.command(name='set')
async def set_command(
    path: str,
    *assignments: str,
    change: ChangeOptions = _CHANGE,
    options: ControlOptions = _CONTROL,
) -> None:
    """Set keys of a node.

    Parameters
    ----------
    path
        Node to change.
    assignments
        Pairs key=value.
    """
    changes = read_assignments(checked_path(path), assignments)
    await change_settings(ControlClient(options), options, change, changes)


@settings_app.command(name='unset')
async def unset(
    path: str,
    *keys: str,
    change: ChangeOptions = _CHANGE,
    options: ControlOptions = _CONTROL,
) -> None:
    """Remove keys of a node, so that it inherits them."""
    changes = read_unset(checked_path(path), keys)
    await change_settings(ControlClient(options), options, change, changes)


@settings_app.command(name='apply')
async def apply(
    *,
    file: Annotated[Path, Parameter(name=('--file', '-f'))],
    change: ChangeOptions = _CHANGE,
    options: ControlOptions = _CONTROL,
) -> None:
    """Apply the changes of a JSON file as one version."""
    changes = read_file(file)
    await change_settings(ControlClient(options), options, change, changes)


@settings_app.command(name='history')
async def history(
    *, limit: int = 20, options: ControlOptions = _CONTROL
) -> None:
    """Show accepted changes, newest first."""
    reply = await ControlClient(options).ask(
        SETTINGS_HISTORY, SettingsHistoryRequest(limit=limit)
    )
    rows = history_rows(reply.entries)
    show(rows, options.format, empty='no change was accepted yet')


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
        Former version.
    after
        Later version; the current one if missing.
    """
    current, entries = await _documents(ControlClient(options))
    later = current if after is None else _former(current, entries, after)
    earlier = _former(current, entries, before)
    rows = difference_rows(diff(earlier, later))
    show(rows, options.format, empty='the versions have equal values')


@settings_app.command(name='rollback')
async def rollback(
    version: int,
    *,
    change: ChangeOptions = _CHANGE,
    options: ControlOptions = _CONTROL,
) -> None:
    """Make a new version with the values of a former one."""
    client = ControlClient(options)
    current, entries = await _documents(client)
    changes = changes_between(current, _former(current, entries, version))
    if not changes:
        raise refused(f'the values are those of version {version} already')
    if change.base_version is None and not change.operation_id:
        # The changes fit the version that they were computed from.
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
        Version to wait for; the current one if missing.
    limit_s
        Longest time to wait, in seconds.
    """
    wanted = None if version is None else SettingsVersion(version)
    await wait_for_version(ControlClient(options), wanted, limit_s)


async def _documents(
    client: ControlClient,
) -> tuple[SettingsDocument, tuple[HistoryEntry, ...]]:
    """Return the current document and the history that leads to it."""
    status = await client.status()
    reply = await client.ask(SETTINGS_HISTORY, SettingsHistoryRequest())
    version = status.settings.version
    entries = tuple(
        entry for entry in reply.entries if entry.version <= version
    )
    return status.settings, entries


def _former(
    current: SettingsDocument,
    entries: tuple[HistoryEntry, ...],
    version: int,
) -> SettingsDocument:
    found = document_at(current, entries, SettingsVersion(version))
    if isinstance(found, Err):
        raise refused(found.err_value)
    return found.ok_value


def _in_force(document: SettingsDocument, path: str) -> list[Row]:
    return origin_rows(explain(document, *names_of(path)))
