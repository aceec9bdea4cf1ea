"""Deterministic state machine of the replicated log.

Every control host applies the same commands in the same order and must reach
the same state, so nothing here may depend on time, randomness or the host.
"""

from dataclasses import dataclass, field, replace

import msgspec

from lavendergate.core.bounds.decoding import decode_msgpack
from lavendergate.core.commands import (
    BeginTerm,
    ChangeSettings,
    ChangeVoters,
    Command,
    ConfirmPrimary,
    NoOperation,
    OrderPromotion,
    PublishRoutes,
    RegisterHost,
    RegisterMember,
    RemoveHost,
    RemoveMember,
)
from lavendergate.core.control_groups import (
    begin_term,
    confirm_primary,
    register_member,
    remove_member,
)
from lavendergate.core.control_hosts import register_host, remove_host
from lavendergate.core.control_records import (
    AcceptedChange,
    Answer,
    FindChangeProblem,
    GroupRecord,
    HostRecord,
    OperationRecord,
    PromotionRecord,
    RoutesRecord,
    empty_change_problem,
)
from lavendergate.core.control_routes import promotion_record, publish_routes
from lavendergate.core.control_settings import (
    SettingsRecord,
    change_settings,
    recorded_answer,
)
from lavendergate.core.settings.document import SettingsDocument
from lavendergate.core.types import GroupId, HostId


@dataclass(frozen=True, kw_only=True, slots=True)
class ControlState:
    """State of the control role after some prefix of the replicated log.

    Parameters
    ----------
    applied_index
        Index of the last applied entry.
    groups
        Committed state of each group.
    hosts
        Registered proxy hosts.
    settings
        Settings tree, its recent changes, and the answers to operations.
    voters
        Last committed configuration of the replicated log.
    routes
        Route table in force.
    promotions
        Last recorded order to promote a member, for each service.
    """

    applied_index: int = 0
    groups: dict[GroupId, GroupRecord] = field(default_factory=dict)
    hosts: dict[HostId, HostRecord] = field(default_factory=dict)
    settings: SettingsRecord = field(default_factory=SettingsRecord)
    voters: ChangeVoters | None = None
    routes: RoutesRecord = field(default_factory=RoutesRecord)
    promotions: dict[GroupId, PromotionRecord] = field(default_factory=dict)

    @property
    def document(self) -> SettingsDocument:
        """The settings tree."""
        return self.settings.document


Applied = tuple[ControlState, Answer]


def apply(
    state: ControlState,
    index: int,
    command: Command,
    find_change_problem: FindChangeProblem = empty_change_problem,
) -> Applied:
    """Apply a committed command to the state.

    Parameters
    ----------
    state
        State after the entries before `index`.
    index
        Index of the command's entry.
    command
        The command.
    find_change_problem
        Returns why a change to the settings is invalid, or None. It must
        return the same result on every host.

    Returns
    -------
    The new state, and the answer for the proposer of the command.
    """
    state, problem = _apply_command(state, index, command, find_change_problem)
    state = replace(state, applied_index=index)
    if isinstance(command, ChangeSettings):
        recorded = recorded_answer(state.settings, command)
        if recorded is not None:
            return state, recorded
    return state, Answer(
        accepted=problem is None,
        problem=problem,
        index=index,
        settings_version=state.document.version,
    )


def _apply_command(
    state: ControlState,
    index: int,
    command: Command,
    find_change_problem: FindChangeProblem,
) -> tuple[ControlState, str | None]:
    match command:
        case RegisterMember() | RemoveMember() | BeginTerm() | ConfirmPrimary():
            groups, problem = _apply_to_group(state, command)
            return replace(state, groups=groups), problem
        case RegisterHost():
            hosts, problem = register_host(state.hosts, command)
            return replace(state, hosts=hosts), problem
        case RemoveHost():
            hosts, problem = remove_host(state.hosts, command)
            return replace(state, hosts=hosts), problem
        case ChangeSettings():
            settings = change_settings(
                state.settings, index, command, find_change_problem
            )
            return replace(state, settings=settings), None
        case ChangeVoters():
            return replace(state, voters=command), None
        case PublishRoutes():
            routes = publish_routes(state.routes, command)
            return replace(state, routes=routes), None
        case OrderPromotion(service=service):
            record = promotion_record(command, index)
            promotions = state.promotions | {service: record}
            return replace(state, promotions=promotions), None
        case NoOperation():
            return state, None


def _apply_to_group(
    state: ControlState,
    command: RegisterMember | RemoveMember | BeginTerm | ConfirmPrimary,
) -> tuple[dict[GroupId, GroupRecord], str | None]:
    groups = state.groups
    group_id = command.group_id
    group = groups.get(group_id, GroupRecord(group_id=group_id))
    match command:
        case RegisterMember():
            changed = register_member(groups, group, command)
        case RemoveMember():
            changed = remove_member(group, command)
        case BeginTerm():
            changed = begin_term(group, command)
        case ConfirmPrimary():
            changed = confirm_primary(group, command)
    if isinstance(changed, str):
        return groups, changed
    return groups | {group_id: changed}, None


class _StoredState(msgspec.Struct, frozen=True, kw_only=True):
    # Operations are stored as a sequence, because the oldest ones are dropped
    # first and the deterministic encoding would sort the keys of a mapping.
    applied_index: int
    groups: dict[GroupId, GroupRecord]
    hosts: dict[HostId, HostRecord]
    document: SettingsDocument
    history: tuple[AcceptedChange, ...]
    operations: tuple[OperationRecord, ...]
    voters: ChangeVoters | None
    routes: RoutesRecord = msgspec.field(default_factory=RoutesRecord)
    promotions: dict[GroupId, PromotionRecord] = msgspec.field(
        default_factory=dict
    )


_encoder = msgspec.msgpack.Encoder(order='deterministic')
_decoder = msgspec.msgpack.Decoder(_StoredState)


def encode_state(state: ControlState) -> bytes:
    """Encode the state for a snapshot.

    Equal states have equal encodings.
    """
    return _encoder.encode(
        _StoredState(
            applied_index=state.applied_index,
            groups=state.groups,
            hosts=state.hosts,
            document=state.document,
            history=state.settings.history,
            operations=tuple(state.settings.operations.values()),
            voters=state.voters,
            routes=state.routes,
            promotions=state.promotions,
        )
    )


def decode_state(encoded: bytes) -> ControlState:
    """Decode the state from a snapshot.

    Raises
    ------
    InvalidValueError
        If this build cannot read the state.
    """
    stored = decode_msgpack(_decoder, encoded)
    return ControlState(
        applied_index=stored.applied_index,
        groups=stored.groups,
        hosts=stored.hosts,
        settings=SettingsRecord(
            document=stored.document,
            history=stored.history,
            operations={
                known.operation_id: known for known in stored.operations
            },
        ),
        voters=stored.voters,
        routes=stored.routes,
        promotions=stored.promotions,
    )
