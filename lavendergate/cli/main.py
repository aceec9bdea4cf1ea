"""Entry point of ``lavendergatectl``.

Exit codes: 0 done and no problem found, 1 change refused or problem found,
2 wrong arguments, 3 no control host answers.
"""

import sys
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Annotated

import anyio
from cyclopts import App, CycloptsError, Parameter

from lavendergate.cli import cluster_calls
from lavendergate.cli.control_client import ControlClient
from lavendergate.cli.errors import CommandError, ExitCode, problem_error
from lavendergate.cli.explain_command import explain
from lavendergate.cli.options import (
    ControlOptions,
    Format,
    parse_addresses,
)
from lavendergate.cli.route_commands import routes_app
from lavendergate.cli.settings_commands import settings_app
from lavendergate.cli.status_views import (
    connection_rows,
    group_rows,
    member_rows,
    proxy_rows,
    removal_problem,
    summarise_status,
)
from lavendergate.cli.tables import (
    Row,
    format_table,
    print_json,
    print_rows,
    print_text,
)
from lavendergate.cli.timeline_command import timeline
from lavendergate.core.commands import RemoveMember
from lavendergate.core.types import GroupId, UpstreamId
from lavendergate.rpc.messages import StatusReply, SwitchoverRequest
from lavendergate.rpc.methods import PROPOSE, SWITCHOVER
from lavendergate.rpc.proposals import ProposeRequest

_CONTROL = ControlOptions()
_SWITCHOVER_TIMEOUT_S = 15
_SWITCHOVER_RETRIES = 8
_SWITCHOVER_RETRY_S = 1.0

app = App(
    name='lavendergatectl',
    help='Shows and controls lavendergate. Exit codes: 0 done and no problem '
    'found, 1 change refused or problem found, 2 wrong arguments, 3 no control '
    'host answers.',
    result_action='return_value',
)
members_app = App(
    name='members',
    help='Show and remove members. A spare has announced itself, but does not '
    'belong to the group.',
)
cluster_app = App(
    name='cluster', help='Initialise and repair the cluster of control hosts.'
)
app.command(settings_app)
app.command(routes_app)
app.command(members_app)
app.command(cluster_app)
app.command(timeline)
app.command(explain)


@app.command
async def status(*, options: ControlOptions = _CONTROL) -> None:
    """Report problems: where, since when, and what to do."""
    summary = summarise_status(await ControlClient(options).status())
    if options.format is Format.json:
        print_json(summary)
    else:
        print_text(
            f'leader {summary.leader or "unknown"}, settings version '
            f'{summary.settings_version}, {summary.groups} groups, '
            f'{summary.members} members, {summary.proxies} proxies'
        )
        if summary.control_hosts:
            print_text(format_table(summary.control_hosts))
        print_text('\n'.join(summary.problems) or 'nothing is wrong')
    if not summary.is_healthy:
        raise problem_error(f'{len(summary.problems)} problems')


@app.command
async def groups(*, options: ControlOptions = _CONTROL) -> None:
    """Show term, primary, members and lag of each group."""
    await _show_rows(options, group_rows)


@app.command
async def proxies(*, options: ControlOptions = _CONTROL) -> None:
    """Show address, settings version and connections of each proxy."""
    await _show_rows(options, proxy_rows)


@app.command
async def connections(*, options: ControlOptions = _CONTROL) -> None:
    """Show connections and connection shares of each proxy and member."""
    await _show_rows(options, connection_rows)


@members_app.default
async def members(
    group: str = '', *, options: ControlOptions = _CONTROL
) -> None:
    """Show the members of all groups or of one."""
    await _show_rows(
        options, lambda status_reply: member_rows(status_reply, group)
    )


@members_app.command
async def remove(
    group: str, member: str, *, options: ControlOptions = _CONTROL
) -> None:
    """Remove a member, so that it no longer counts towards majorities."""
    client = ControlClient(options)
    status_reply = await client.status_with_quorum()
    problem = removal_problem(status_reply, group, member)
    if problem:
        raise problem_error(problem)
    command = RemoveMember(
        group_id=GroupId(group), upstream_id=UpstreamId(member)
    )
    reply = await client.call(PROPOSE, ProposeRequest(command=command))
    if not reply.accepted:
        raise problem_error(
            reply.problem or 'the control hosts refused the removal'
        )
    print_text(f'member {member} was removed from group {group}')


@app.command
async def switchover(
    group: str,
    *,
    to: str = '',
    options: ControlOptions = _CONTROL,
) -> None:
    """Move the primary of a group to another member.

    Parameters
    ----------
    group
        Group to change.
    to
        New primary; the member that is furthest ahead if omitted.
    """
    await ControlClient(options).status_with_quorum()
    client = ControlClient(options, timeout_s=_SWITCHOVER_TIMEOUT_S)
    request = SwitchoverRequest(
        group_id=GroupId(group), target=UpstreamId(to) if to else None
    )
    reply = await client.call(SWITCHOVER, request, is_repeatable=False)
    former = reply.interrupted
    # The control leader changed before the switchover began. Its successor
    # may still be taking over.
    for _ in range(_SWITCHOVER_RETRIES):
        if reply.accepted or former is None:
            break
        await anyio.sleep(_SWITCHOVER_RETRY_S)
        reply = await client.call(
            SWITCHOVER, replace(request, former=former), is_repeatable=False
        )
    if not reply.accepted:
        raise problem_error(
            reply.problem or 'the control hosts refused the switchover'
        )
    print_text(f'the switchover of group {group} is done')


@cluster_app.command(name='init')
async def cluster_init(
    *,
    hosts: Annotated[str, Parameter(help='All control hosts, ip:port,…')],
    resume: bool = False,
    options: ControlOptions = _CONTROL,
) -> None:
    """Write the first configuration to new control hosts.

    Parameters
    ----------
    resume
        Continue after an attempt that reached only some of the hosts.
    """
    addresses = parse_addresses(hosts)
    client = ControlClient(options, addresses=addresses)
    voters = await cluster_calls.initialise_cluster(
        client, addresses, is_resumed=resume
    )
    print_text(f'initialised with voters {", ".join(voters)}')


@cluster_app.command(name='replace')
async def cluster_replace(
    old: str, new: str, *, options: ControlOptions = _CONTROL
) -> None:
    """Replace a control host.

    Parameters
    ----------
    old
        Host id of the control host to remove.
    new
        Address ip:port of the new control host, whose data directory is empty.
    """
    client = ControlClient(options)
    await client.status_with_quorum()
    address = parse_addresses(new)[0]
    host_id = await cluster_calls.replace_voter(client, old, address)
    print_text(f'host {host_id} replaces {old}')


async def _show_rows(
    options: ControlOptions,
    make_rows: Callable[[StatusReply], Iterable[Row]],
) -> None:
    status_reply = await ControlClient(options).status()
    print_rows(list(make_rows(status_reply)), options.format, empty='none')


async def run(arguments: list[str]) -> ExitCode:
    """Run a command and return its exit code."""
    try:
        await app.run_async(arguments, exit_on_error=False, print_error=True)
    except CycloptsError:
        return ExitCode.usage
    except CommandError as error:
        sys.stderr.write(f'{error}\n')
        return error.exit_code
    return ExitCode.ok


def main() -> None:
    """Run ``lavendergatectl``."""
    sys.exit(anyio.run(run, sys.argv[1:]))


if __name__ == '__main__':
    main()
