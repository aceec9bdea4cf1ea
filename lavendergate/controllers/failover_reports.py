"""Events about terms, primaries and leadership, for the event log."""

from lavendergate.controllers.control_log import ControlLog
from lavendergate.controllers.control_node import ControlNode
from lavendergate.controllers.view import ControlView
from lavendergate.core.commands import BeginTerm, Command, ConfirmPrimary
from lavendergate.core.failover_types import Report
from lavendergate.core.types import GroupId
from lavendergate.observability.consensus_events import ConsensusEvent
from lavendergate.observability.failover_events import FailoverEvent
from lavendergate.observability.log import EventLog
from lavendergate.rpc.proposals import ProposeReply


class ReportingControlLog(ControlLog):
    """Control log that emits an event for each change of term or primary."""

    def __init__(self, *, node: ControlNode, events: EventLog) -> None:
        super().__init__(node=node)
        self._events = events

    async def propose(self, command: Command) -> ProposeReply:
        """Propose a command and emit an event if it is accepted."""
        reply = await super().propose(command)
        if reply.accepted:
            self._report_command(command, reply.index)
        return reply

    def _report_command(self, command: Command, index: int) -> None:
        match command:
            case BeginTerm():
                self._events.emit(
                    FailoverEvent.term_begun,
                    group=command.group_id,
                    term=int(command.term),
                    reason=command.reason,
                    index=index,
                )
            case ConfirmPrimary():
                self._events.emit(
                    FailoverEvent.primary_confirmed,
                    upstream=command.upstream_id,
                    group=command.group_id,
                    term=int(command.term),
                )


class FailoverReports:
    """Emits events for failover reports and changes of the leader."""

    def __init__(self, *, node: ControlNode, events: EventLog) -> None:
        self._node = node
        self._events = events

    def report(self, group_id: GroupId, report: Report) -> None:
        """Emit a progress report of a group's failover."""
        self._events.emit(
            FailoverEvent.failover_progress,
            group=group_id,
            step=report.kind.value,
            message=report.message,
        )

    async def watch_leadership(self) -> None:
        """Emit an event for each change of the leader, until cancelled."""
        known: ControlView | None = None
        async for view in self._node.views():
            self._report_changes(known, view)
            known = view

    def _report_changes(
        self, known: ControlView | None, view: ControlView
    ) -> None:
        leader = None if known is None else known.leader_address
        has_had_quorum = known is not None and known.has_quorum
        if view.leader_address not in {leader, None}:
            self._events.emit(
                ConsensusEvent.leader_changed,
                leader=view.leader_address or '',
                consensus_term=int(view.term),
            )
        if has_had_quorum and not view.has_quorum:
            self._events.emit(
                ConsensusEvent.quorum_lost,
                reason='this host leads without a majority, or knows no leader',
            )
