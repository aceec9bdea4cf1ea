"""Checks, confirms and proposes changes of the settings tree."""

import getpass
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated

from cyclopts import Parameter
from result import Err

from lavendergate.cli.control_client import ControlClient
from lavendergate.cli.errors import CommandError, problem_error, usage_error
from lavendergate.cli.operation import Operation, choose_operation
from lavendergate.cli.options import ControlOptions, Format
from lavendergate.cli.settings_views import affected_rows, known_targets
from lavendergate.cli.settings_wait import wait_for_version
from lavendergate.cli.tables import (
    print_json,
    print_note,
    print_rows,
    print_text,
)
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
        Parameter(
            help='Show which groups and callers change, without changing them.'
        ),
    ] = False
    confirm: Annotated[
        int | None,
        Parameter(
            help='Number of groups and callers that a risky change affects.'
        ),
    ] = None
    operation_id: Annotated[
        str, Parameter(help='Operation id of an earlier attempt, to resend it.')
    ] = ''
    base_version: Annotated[
        int | None,
        Parameter(
            help='Refuse the change if the settings have another version.'
        ),
    ] = None
    author: Annotated[
        str,
        Parameter(
            env_var='LAVENDERGATE_AUTHOR', help='Name to record in the history.'
        ),
    ] = ''
    wait_s: Annotated[
        float,
        Parameter(
            help='Seconds to wait until all live proxies have the version.'
        ),
    ] = 0


async def change_settings(
    client: ControlClient,
    options: ControlOptions,
    change_options: ChangeOptions,
    changes: Sequence[SettingChange],
) -> None:
    """Check a change, then show its effect or propose it to control.

    Raises
    ------
    CommandError
        If the change is refused, requires confirmation or gets no answer.
    """
    status = await client.status_with_quorum()
    operation = choose_operation(
        status.settings.version,
        change_options.operation_id,
        change_options.base_version,
    )
    if not operation.is_resend:
        _check_change(status, operation, changes)
    targets = known_targets(status)
    if change_options.dry_run:
        effects = effective_changes(status.settings, changes, targets)
        empty = 'no known group or caller is affected'
        print_rows(affected_rows(effects), options.format, empty=empty)
        count = count_targets_at_risk(status.settings, changes, targets)
        if count:
            print_note(f'the change is risky; it requires --confirm {count}')
        return
    if not operation.is_resend:
        _check_confirmation(
            count_targets_at_risk(status.settings, changes, targets),
            change_options.confirm,
        )
    reply = await _propose(client, change_options, operation, changes)
    _print_accepted(options, operation, reply)
    if change_options.wait_s:
        await wait_for_version(
            client, reply.settings_version, change_options.wait_s
        )


def _check_change(
    status: StatusReply,
    operation: Operation,
    changes: Sequence[SettingChange],
) -> None:
    version = status.settings.version
    if operation.base_version != version:
        raise problem_error(
            f'the settings have version {version}, not '
            f'{operation.base_version}; review "lavendergatectl settings '
            f'diff {operation.base_version}" and repeat the change'
        )
    result = validate_change(status.settings, changes)
    if isinstance(result, Err):
        raise problem_error('\n'.join(map(str, result.err_value)))


def _check_confirmation(count: int, confirmed: int | None) -> None:
    if count and confirmed is None:
        raise problem_error(
            f'the change is risky and affects {count} known groups and '
            f'callers; review it with --dry-run, then add --confirm {count}'
        )
    if confirmed is not None and confirmed != count:
        raise problem_error(
            f'--confirm {confirmed} does not match: the change affects '
            f'{count} known groups and callers; review it with --dry-run'
        )


async def _propose(
    client: ControlClient,
    change_options: ChangeOptions,
    operation: Operation,
    changes: Sequence[SettingChange],
) -> ProposeReply:
    command = ChangeSettings(
        operation_id=operation.operation_id,
        base_version=operation.base_version,
        author=change_options.author or _user_name(),
        changes=tuple(changes),
    )
    try:
        reply = await client.call(PROPOSE, ProposeRequest(command=command))
    except CommandError as error:
        raise CommandError(
            f'{error}\nthe outcome is unknown; repeat the command with '
            f'--operation-id {operation.operation_id}, it then takes effect '
            'at most once',
            error.exit_code,
        ) from error
    if not reply.accepted:
        raise problem_error(
            reply.problem or 'the control hosts refused the change'
        )
    return reply


def _print_accepted(
    options: ControlOptions, operation: Operation, reply: ProposeReply
) -> None:
    if options.format is Format.json:
        print_json(
            {
                'settings_version': reply.settings_version,
                'operation_id': operation.operation_id,
            }
        )
    else:
        print_text(
            f'accepted as version {reply.settings_version}, operation id '
            f'{operation.operation_id}'
        )


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError) as error:
        raise usage_error(
            'the name of the user is unknown; give --author or '
            'LAVENDERGATE_AUTHOR'
        ) from error
