"""Tests of the gates of a process and the settings that they follow."""

import unittest

import anyio
import msgspec

from lavendergate.daemon.connection_gates import ConnectionGates
from lavendergate.observability.exposition import HttpMetrics
from lavendergate.observability.log import MemoryEventLog
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.platform.settings_file import HostSettings

_SETTINGS = """
nodeName = "edge-1"
ip = "127.0.0.1"
zone = "z"
region = "r"
internalPorts = [7440, 7455]
[limits]
cpuShare = 0.537
memoryMb = 300
maxFds = 4300
"""


def _settings(text: str = _SETTINGS) -> HostSettings:
    return msgspec.toml.decode(text.encode(), type=HostSettings)


class ConnectionGatesTest(unittest.IsolatedAsyncioTestCase):
    """Gates of one process."""

    async def test_changed_limits_apply_to_open_gates(self) -> None:
        """Guards against limits that are read at the start only."""
        events = MemoryEventLog()
        gates = ConnectionGates(
            settings=_settings(), events=events, metrics=HttpMetrics()
        )
        before = gates.limits
        callers = gates.callers()
        gates.change(_settings(_SETTINGS.replace('4300', '64')))
        self.assertLess(gates.limits.callers, before.callers)
        with callers.enter() as connection:
            self.assertTrue(connection.is_served)
        refused = 0
        async with anyio.create_task_group() as tasks:

            async def hold() -> None:
                nonlocal refused
                with callers.enter() as connection:
                    refused += not connection.is_served
                    await anyio.sleep(0.05)

            for _ in range(gates.limits.callers + 10):
                tasks.start_soon(hold)
        self.assertEqual(refused, 10)
        self.assertEqual(
            len(events.fields_of(ProcessEvent.connections_limited)), 2
        )

    def test_settings_without_limits_are_served(self) -> None:
        """Guards against a start that needs a field that may be absent."""
        settings = _settings(_SETTINGS.partition('[limits]')[0])
        gates = ConnectionGates(
            settings=settings, events=MemoryEventLog(), metrics=HttpMetrics()
        )
        self.assertGreater(gates.limits.callers, 1000)
