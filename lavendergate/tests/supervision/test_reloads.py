"""Tests of settings files that change or turn invalid at run time."""

import unittest
from unittest import mock

import msgspec

from lavendergate.daemon import hosted_process
from lavendergate.daemon.hosted_process import HostedProcess
from lavendergate.observability.log import MemoryEventLog
from lavendergate.observability.session_events import SessionEvent
from lavendergate.platform.settings_file import (
    HostSettings,
    IncompleteSettingsError,
    SettingsFileError,
)

_SETTINGS = HostSettings(
    node_name='a',
    ip='127.0.0.1',
    zone='z',
    region='r',
    internal_ports=(7440, 7455),
)


class ReloadTest(unittest.IsolatedAsyncioTestCase):
    """Reloads of the settings file."""

    def setUp(self) -> None:
        self.events = MemoryEventLog()
        self.process = HostedProcess(settings=_SETTINGS, events=self.events)

    async def test_error_of_one_observer_ends_nothing(self) -> None:
        """Guards against a process that ends by a change of its settings."""
        seen: list[HostSettings] = []

        def fail(settings: HostSettings) -> None:
            raise ValueError('unexpected')

        self.process.observe(fail)
        self.process.observe(seen.append)
        changed = msgspec.structs.replace(_SETTINGS, seeds=('127.0.0.1:1',))
        self.reload(changed)
        self.assertEqual(seen, [changed])
        self.assertEqual(self.process.settings, changed)
        self.assertEqual(self.process.boundary.counts, {'settings observer': 1})

    async def test_invalid_file_is_logged_once_a_minute(self) -> None:
        """Guards against a line each second while the file is invalid."""
        with mock.patch('anyio.current_time') as clock:
            for second in range(70):
                clock.return_value = second
                self.reload(SettingsFileError('line 3 is cut off'))
        self.assertEqual(self.outcomes(), ['line 3 is cut off'] * 2)
        self.assertEqual(self.process.settings, _SETTINGS)
        self.reload(_SETTINGS)
        self.reload(_SETTINGS)
        self.assertEqual(self.outcomes()[2:], ['unchanged'])

    async def test_file_that_stays_without_a_former_key_is_taken(self) -> None:
        """Guards against settings that can never drop a key again."""
        changed = msgspec.structs.replace(_SETTINGS, seeds=('127.0.0.1:1',))
        with mock.patch('anyio.current_time') as clock:
            for second in range(3):
                clock.return_value = second
                self.reload(IncompleteSettingsError('', settings=changed))
                self.assertEqual(self.process.settings, _SETTINGS)
            clock.return_value = 3
            self.reload(IncompleteSettingsError('', settings=changed))
        self.assertEqual(self.process.settings, changed)

    def reload(self, loaded: HostSettings | SettingsFileError) -> None:
        with mock.patch.object(
            hosted_process, 'load_settings', side_effect=[loaded]
        ):
            self.process.reload(quiet=True)

    def outcomes(self) -> list[object]:
        return [
            fields['outcome']
            for fields in self.events.fields_of(SessionEvent.settings_reloaded)
        ]
