"""Application of the commands that change the members and primary of a group.

Each function returns the changed group, or the reason for refusing the
command.
"""

from dataclasses import replace

from lavendergate.core.commands import (
    BeginTerm,
    ConfirmPrimary,
    RegisterMember,
    RemoveMember,
)
from lavendergate.core.control_records import GroupRecord
from lavendergate.core.types import GroupId, TermStart

_MAX_TERM_HISTORY = 64


def register_member(
    groups: dict[GroupId, GroupRecord],
    group: GroupRecord,
    command: RegisterMember,
) -> GroupRecord | str:
    """Add a member unless it belongs to another group."""
    upstream_id = command.upstream_id
    for other in groups.values():
        if upstream_id in other.member_ids and other != group:
            return (
                f'upstream {upstream_id} is a member of group '
                f'{other.group_id}: remove it there first'
            )
    return replace(group, member_ids=group.member_ids | {upstream_id})


def remove_member(
    group: GroupRecord, command: RemoveMember
) -> GroupRecord | str:
    """Remove a member that is not the primary."""
    if group.primary == command.upstream_id:
        return (
            f'upstream {command.upstream_id} is the primary of group '
            f'{group.group_id}: switch over to another member first'
        )
    return replace(group, member_ids=group.member_ids - {command.upstream_id})


def begin_term(group: GroupRecord, command: BeginTerm) -> GroupRecord | str:
    """Begin a term, which must directly follow the last begun one."""
    if command.term != group.begun_term + 1:
        return (
            f'term {command.term} of group {group.group_id} cannot begin '
            f'after term {group.begun_term}: begin term '
            f'{group.begun_term + 1}'
        )
    return replace(group, begun_term=command.term)


def confirm_primary(
    group: GroupRecord, command: ConfirmPrimary
) -> GroupRecord | str:
    """Confirm the primary of the last begun term; possible once a term."""
    problem = _find_problem(group, command)
    if problem is not None:
        return problem
    start = TermStart(term=command.term, first_position=command.first_position)
    history = (*group.term_history, start)
    return replace(
        group,
        confirmed_term=command.term,
        primary=command.upstream_id,
        term_history=history[-_MAX_TERM_HISTORY:],
    )


def _find_problem(group: GroupRecord, command: ConfirmPrimary) -> str | None:
    if command.term != group.begun_term:
        return (
            f'term {command.term} of group {group.group_id} is not its last '
            f'begun term {group.begun_term}: begin a new term'
        )
    if command.term == group.confirmed_term:
        return (
            f'{group.primary} is already confirmed as primary of group '
            f'{group.group_id} in term {command.term}: begin a new term'
        )
    if command.upstream_id not in group.member_ids:
        return (
            f'upstream {command.upstream_id} is not a member of group '
            f'{group.group_id}: register it first'
        )
    return None
