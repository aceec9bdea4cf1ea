"""Sends a change of the settings tree, after a dry run and confirmation."""

import getpass
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated

from cyclopts import Parameter
from result import Err

from lavendergate.cli.control_client import ControlClient
from lavendergate.cli.operation import Operation, choose_operation
from lavendergate.cli.options import ControlOptions, Format
from lavendergate.cli.outcome import CommandError, refused, usage
from lavendergate.cli.settings_views import affected_rows, known_places
from lavendergate.cli.settings_wait import wait_for_version
from lavendergate.cli.tables import show, write_json, write_note, write_text
from lavendergate.core.commands import ChangeSettings, SettingChange
from lavendergate.core.settings.tree import (
    count_targets_at_risk,
    effective_changes,
    validate_change,
)
from lavendergate.rpc.messages import StatusReply
from lavendergate.rpc.methods import PROPOSE
from lavendergate.rpc.proposals import ProposeReply, ProposeRequest


@Parameter(name='*')
@dataclass(frozen=True, kw_only=True)
class ChangeOptions:
    """Options of all commands that change the settings tree."""

    dry_run: Annotated[
        bool,
        Parameter(help='Show which groups and callers change, and stop.'),
    ] = False
    confirm: Annotated[
        int | None,
        Parameter(help='Number of groups and callers of a risky change.'),
    ] = None
    operation_id: Annotated[
        str, Parameter(help='Id of a former attempt to send it again.')
    ] = ''
    base_version: Annotated[
        int | None,
        Parameter(help='Refuse if the settings have another version.'),
    ] = None
    author: Annotated[
        str,
        Parameter(env_var='LAVENDERGATE_AUTHOR', help='Name in the history.'),
    ] = ''
    wait_s: Annotated[
        float,
        Parameter(help='Time to wait until all live proxies have it.'),
    ] = 0


async def change_settings(
    client: ControlClient,
    options: ControlOptions,
    change_options: ChangeOptions,
    changes: Sequence[SettingChange],
) -> None:
    """Check, show or send a change.

    Raises
    ------
    CommandError
        If the change is refused, needs a confirmation or is not answered.
    """
    status = await client.status_with_quorum()
    operation = choose_operation(
        status.settings.version,
        change_options.operation_id,
        change_options.base_version,
    )
    if not operation.is_resend:
        _check(status, operation, changes)
    places = known_places(status)
    if change_options.dry_run:
        found = effective_changes(status.settings, changes, places)
        empty = 'no known group or caller changes'
        show(affected_rows(found), options.format, empty=empty)
        count = count_targets_at_risk(status.settings, changes, places)
        if count:
            write_note(f'the change is risky; it needs --confirm {count}')
        return
    if not operation.is_resend:
        _confirm(
            count_targets_at_risk(status.settings, changes, places),
            change_options.confirm,
        )
    reply = await _send(client, change_options, operation, changes)
    _report(options, operation, reply)
    if change_options.wait_s:
        await wait_for_version(
            client, reply.settings_version, change_options.wait_s
        )


def _check(
    status: StatusReply,
    operation: Operation,
    changes: Sequence[SettingChange],
) -> None:
    version = status.settings.version
    if operation.base_version != version:
        raise refused(
            f'the settings have version {version}, not '
            f'{operation.base_version}; look at "lavendergatectl settings '
            f'diff {operation.base_version}" and repeat the change'
        )
    result = validate_change(status.settings, changes)
    if isinstance(result, Err):
        raise refused('\n'.join(map(str, result.err_value)))


def _confirm(count: int, confirmed: int | None) -> None:
    if count and confirmed is None:
        raise refused(
            f'the change is risky and concerns {count} known groups and '
            f'callers; look at it with --dry-run, then add --confirm {count}'
        )
    if confirmed is not None and confirmed != count:
        raise refused(
            f'--confirm {confirmed} does not match: the change concerns '
            f'{count} known groups and callers; look at it with --dry-run'
        )


async def _send(
    client: ControlClient,
    change_options: ChangeOptions,
    operation: Operation,
    changes: Sequence[SettingChange],
) -> ProposeReply:
    command = ChangeSettings(
        operation_id=operation.operation_id,
        base_version=operation.base_version,
        author=change_options.author or _user(),
        changes=tuple(changes),
    )
    try:
        reply = await client.ask(PROPOSE, ProposeRequest(command=command))
    except CommandError as error:
        raise CommandError(
            f'{error}\nthe outcome is unknown; repeat the command with '
            f'--operation-id {operation.operation_id}, it then takes effect '
            'at most once',
            error.exit_code,
        ) from error
    if not reply.accepted:
        raise refused(reply.problem or 'control refused the change')
    return reply


def _report(
    options: ControlOptions, operation: Operation, reply: ProposeReply
) -> None:
    if options.format is Format.json:
        write_json(
            {
                'settings_version': reply.settings_version,
                'operation_id': operation.operation_id,
            }
        )
    else:
        write_text(
            f'accepted as version {reply.settings_version}, operation id '
            f'{operation.operation_id}'
        )


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError) as error:
        raise usage(
            'the user has no name; give --author or LAVENDERGATE_AUTHOR'
        ) from error
