"""Implementation of the controllers' log port by a control node."""

from collections.abc import Mapping

from result import Err

from lavendergate.controllers.control_node import ControlNode
from lavendergate.controllers.log_port import LogPort, LogState
from lavendergate.controllers.view import ControlView
from lavendergate.core import control_records
from lavendergate.core.commands import Command
from lavendergate.core.consensus.errors import NotLeader
from lavendergate.core.control_state import ControlState
from lavendergate.core.records import GroupRecord, HostRecord
from lavendergate.core.types import GroupId, HostId
from lavendergate.rpc.messages import ControlHostStatus
from lavendergate.rpc.proposals import ProposeReply

LEADER_ROLE = 'leader'
MEMBER_ROLE = 'member'


class ControlLog(LogPort):
    """Adapts a control node to `LogPort`.

    Parameters
    ----------
    node
        The node; `run` must have started.
    """

    def __init__(self, *, node: ControlNode) -> None:
        self._node = node
        self._source: ControlState | None = None
        self._state = LogState()
        self._awaited_version = 0

    @property
    def is_leader(self) -> bool:
        """Whether this host is the leader and has a quorum."""
        view = self._node.view
        return view.is_leader and view.has_quorum

    @property
    def leader_address(self) -> str | None:
        """Address of the leader, if it is known."""
        return self._node.view.leader_address

    @property
    def has_quorum(self) -> bool:
        """Whether the leader recently reached a majority."""
        return self._node.view.has_quorum

    @property
    def epoch(self) -> int:
        """Consensus term."""
        return self._node.view.term

    @property
    def state(self) -> LogState:
        """State up to the last applied entry."""
        source = self._node.view.state
        if source is not self._source:
            self._state = self._log_state(source)
            self._source = source
        return self._state

    @property
    def control_hosts(self) -> tuple[ControlHostStatus, ...]:
        """Control hosts of the current configuration."""
        view = self._node.view
        if view.configuration is None:
            return ()
        return tuple(
            _host_status(view, host_id, address)
            for host_id, address in view.configuration.command.addresses.items()
        )

    async def propose(self, command: Command) -> ProposeReply:
        """Propose a command; see `LogPort.propose`."""
        proposed = await self._node.propose(command)
        if isinstance(proposed, Err):
            failure = proposed.err_value
            leader = failure.leader if isinstance(failure, NotLeader) else None
            return ProposeReply(
                accepted=False, problem=str(failure), leader=leader
            )
        answer = proposed.ok_value
        return ProposeReply(
            accepted=answer.accepted,
            problem=answer.problem,
            index=answer.index,
            settings_version=answer.settings_version,
        )

    async def wait_for_change(self) -> None:
        """Return after the node's view changed."""
        self._awaited_version = self._node.view.version
        async for view in self._node.views():
            if view.version > self._awaited_version:
                return

    def _log_state(self, source: ControlState) -> LogState:
        return LogState(
            index=source.applied_index,
            groups=self._group_records(source.groups),
            hosts={
                host_id: HostRecord(
                    host_id=host.host_id,
                    incarnation=host.incarnation,
                    region=host.region,
                    failure_domain=host.failure_domain,
                    address=host.address,
                )
                for host_id, host in source.hosts.items()
            },
            settings=source.document,
        )

    def _group_records(
        self, groups: Mapping[GroupId, control_records.GroupRecord]
    ) -> Mapping[GroupId, GroupRecord]:
        if self._source is not None and groups is self._source.groups:
            return self._state.groups
        return {
            group_id: GroupRecord(
                group_id=group_id,
                member_ids=record.member_ids,
                begun_term=record.begun_term,
                term=record.confirmed_term,
                primary=record.primary,
                term_history=record.term_history,
            )
            for group_id, record in groups.items()
        }


def _host_status(
    view: ControlView, host_id: HostId, address: str
) -> ControlHostStatus:
    is_leader = address == view.leader_address
    return ControlHostStatus(
        host_id=host_id,
        address=address,
        role=LEADER_ROLE if is_leader else MEMBER_ROLE,
        consensus_term=view.term,
        commit_index=view.commit_index,
        settings_version=view.state.document.version,
    )
