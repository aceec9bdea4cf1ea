"""In-memory replicated log of one host, for tests."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import anyio

from lavendergate.controllers.log_port import LogPort, LogState
from lavendergate.core.commands import (
    BeginTerm,
    Command,
    ConfirmPrimary,
    RegisterHost,
    RegisterMember,
    RemoveHost,
)
from lavendergate.core.records import GroupRecord, HostRecord
from lavendergate.core.types import GroupId, TermStart
from lavendergate.rpc.messages import ControlHostStatus
from lavendergate.rpc.proposals import ProposeReply


class MemoryLog(LogPort):
    """Applies each command immediately, without replication.

    Parameters
    ----------
    address
        Address that the log reports for this host, ``ip:port``.
    """

    def __init__(self, *, address: str = '127.0.0.1:1') -> None:
        self._address = address
        self._state = LogState()
        self._changed = anyio.Event()
        self._is_leader = True
        self._epoch = 1
        self.leader_elsewhere: str | None = None
        self.lost_answers = 0

    async def propose(self, command: Command) -> ProposeReply:
        """Apply the command; lose the reply while `lost_answers` is not 0."""
        if not self._is_leader:
            return ProposeReply(
                accepted=False,
                problem='not the leader',
                leader=self.leader_elsewhere,
            )
        state = apply(self._state, command)
        if state is None:
            return ProposeReply(
                accepted=False, problem='refused', index=self._state.index
            )
        self.set_state(replace(state, index=state.index + 1))
        if self.lost_answers:
            self.lost_answers -= 1
            return ProposeReply(accepted=False, problem='no answer in time')
        return ProposeReply(accepted=True, index=self._state.index)

    async def wait_for_change(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()

    def set_state(self, state: LogState) -> None:
        """Replace the committed state."""
        self._state = state
        self._notify()

    def set_leader(self, *, is_leader: bool, elsewhere: str | None) -> None:
        """Gain or lose the leadership."""
        self._is_leader = is_leader
        self._epoch += 1
        self.leader_elsewhere = elsewhere
        self._notify()

    @property
    def is_leader(self) -> bool:
        """Whether this host leads."""
        return self._is_leader

    @property
    def leader_address(self) -> str | None:
        """Address of the leader."""
        return self._address if self._is_leader else self.leader_elsewhere

    @property
    def has_quorum(self) -> bool:
        """Whether this host leads, since it is the only voter."""
        return self._is_leader

    @property
    def epoch(self) -> int:
        """Counter that increases with each change of the leadership."""
        return self._epoch

    @property
    def state(self) -> LogState:
        """Applied state."""
        return self._state

    @property
    def control_hosts(self) -> tuple[ControlHostStatus, ...]:
        """Empty; other control hosts are not simulated."""
        return ()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def apply(state: LogState, command: Command) -> LogState | None:
    """Return the state after a command, or None if it is refused."""
    handler = _HANDLERS.get(type(command))
    return state if handler is None else handler(state, command)


def _with_group(state: LogState, record: GroupRecord) -> LogState:
    return replace(state, groups={**state.groups, record.group_id: record})


def _group(state: LogState, group_id: GroupId) -> GroupRecord:
    return state.groups.get(group_id, GroupRecord(group_id=group_id))


def _register_member(state: LogState, command: RegisterMember) -> LogState:
    record = _group(state, command.group_id)
    member_ids = record.member_ids | {command.upstream_id}
    return _with_group(state, replace(record, member_ids=member_ids))


def _begin_term(state: LogState, command: BeginTerm) -> LogState | None:
    record = _group(state, command.group_id)
    if command.term != record.begun_term + 1:
        return None
    return _with_group(state, replace(record, begun_term=command.term))


def _confirm_primary(
    state: LogState, command: ConfirmPrimary
) -> LogState | None:
    record = _group(state, command.group_id)
    if command.term != record.begun_term or not record.is_promoting:
        return None
    start = TermStart(term=command.term, first_position=command.first_position)
    record = replace(
        record,
        term=command.term,
        primary=command.upstream_id,
        term_history=(*record.term_history, start),
    )
    return _with_group(state, record)


def _register_host(state: LogState, command: RegisterHost) -> LogState:
    host = HostRecord(
        host_id=command.host_id,
        incarnation=command.incarnation,
        region=command.region,
        failure_domain=command.failure_domain,
        address=command.address,
    )
    return replace(state, hosts={**state.hosts, host.host_id: host})


def _remove_host(state: LogState, command: RemoveHost) -> LogState:
    hosts = {
        host_id: host
        for host_id, host in state.hosts.items()
        if (host_id, host.incarnation) != (command.host_id, command.incarnation)
    }
    return replace(state, hosts=hosts)


_HANDLERS: dict[type, Callable[[LogState, Any], LogState | None]] = {
    RegisterMember: _register_member,
    BeginTerm: _begin_term,
    ConfirmPrimary: _confirm_primary,
    RegisterHost: _register_host,
    RemoveHost: _remove_host,
}
