"""Serves changes of the settings tree and queries of its history."""

from lavendergate.controllers.control_node import ControlNode
from lavendergate.core.commands import ChangeSettings
from lavendergate.core.settings.history import HistoryEntry
from lavendergate.core.settings.tree import change_problem
from lavendergate.observability.log import EventLog
from lavendergate.observability.settings_events import SettingsEvent
from lavendergate.rpc.proposals import ProposeReply, ProposeRequest
from lavendergate.rpc.settings_service import (
    SettingsHistoryReply,
    SettingsHistoryRequest,
)


class SettingsController:
    """Validates changes before they are proposed to the log.

    The replicated state machine does not validate them: during a rolling
    upgrade, hosts with different schemas would apply different documents.
    Validation before the proposal is enough, because compare-and-set accepts
    a change only on the version against which it was validated.

    Parameters
    ----------
    node
        The replicated log.
    events
        Receives accepted changes and version conflicts.
    """

    def __init__(self, *, node: ControlNode, events: EventLog) -> None:
        self._node = node
        self._events = events

    async def propose(self, request: ProposeRequest) -> ProposeReply:
        """Answer ``Propose``."""
        command = request.command
        if not isinstance(command, ChangeSettings):
            return await self._node.answer_proposal(request)
        problem = self._problem(command)
        if problem is not None:
            return ProposeReply(accepted=False, problem=problem)
        reply = await self._node.answer_proposal(request)
        self._report(command, reply)
        return reply

    async def history(
        self, request: SettingsHistoryRequest
    ) -> SettingsHistoryReply:
        """Answer ``SettingsHistory``."""
        view = self._node.view
        accepted = view.state.settings.history[-request.limit :]
        return SettingsHistoryReply(
            entries=tuple(
                HistoryEntry(
                    version=change.version,
                    author=change.author,
                    operation_id=change.operation_id,
                    changes=change.changes,
                )
                for change in accepted
            ),
            leader=None if view.is_leader else view.leader_address,
        )

    def _problem(self, command: ChangeSettings) -> str | None:
        settings = self._node.view.state.settings
        if command.operation_id in settings.operations:
            # A resent change gets the reply to its first proposal, even if the
            # settings have changed since.
            return None
        if command.base_version != settings.document.version:
            # The state machine replies that the versions conflict.
            return None
        return change_problem(settings.document, command.changes)

    def _report(self, command: ChangeSettings, reply: ProposeReply) -> None:
        if reply.accepted:
            self._events.emit(
                SettingsEvent.settings_accepted,
                settings_version=int(reply.settings_version),
                author=command.author,
                operation_id=command.operation_id,
            )
        # Without an index the reply names no settings version to compare.
        elif reply.index and command.base_version != reply.settings_version:
            self._events.emit(
                SettingsEvent.settings_conflict,
                base_version=int(command.base_version),
                settings_version=int(reply.settings_version),
                author=command.author,
                operation_id=command.operation_id,
            )
