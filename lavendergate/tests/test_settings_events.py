"""Tests of the events of the settings controller."""

import unittest
from types import SimpleNamespace
from typing import Any, cast

import anyio

from lavendergate.controllers.settings import SettingsController
from lavendergate.core.commands import ChangeSettings, SettingChange
from lavendergate.core.control_state import ControlState
from lavendergate.core.types import SettingsVersion
from lavendergate.observability.log import MemoryEventLog
from lavendergate.observability.settings_events import SettingsEvent
from lavendergate.rpc.proposals import ProposeReply, ProposeRequest


class _Node:
    """Stand-in for the control node: answers each proposal with one reply."""

    def __init__(self, reply: ProposeReply) -> None:
        self.view = SimpleNamespace(state=ControlState())
        self._reply = reply

    async def answer_proposal(self, request: ProposeRequest) -> ProposeReply:
        return self._reply


def _conflicts(reply: ProposeReply) -> int:
    events = MemoryEventLog()
    node = cast(Any, _Node(reply))
    command = ChangeSettings(
        operation_id='v1-a',
        base_version=SettingsVersion(1),
        author='anna',
        changes=(SettingChange(path='/', key='queue.limit', value=300),),
    )
    controller = SettingsController(node=node, events=events)
    anyio.run(controller.propose, ProposeRequest(command=command))
    return len(events.fields_of(SettingsEvent.settings_conflict))


class ConflictEventTest(unittest.TestCase):
    """Event 6002, `settings_conflict`."""

    def test_only_a_decided_conflict_is_written(self) -> None:
        """Guards against a conflict event on a host that is not the leader."""
        redirected = ProposeReply(accepted=False, leader='127.0.0.1:7034')
        self.assertEqual(_conflicts(redirected), 0)
        decided = ProposeReply(
            accepted=False, index=9, settings_version=SettingsVersion(2)
        )
        self.assertEqual(_conflicts(decided), 1)
