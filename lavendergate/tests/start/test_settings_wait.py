"""Tests of settings files that are incomplete while they are read."""

import os
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from unittest import mock

from lavendergate.daemon.hosted.settings_wait import (
    SETTINGS_WAIT_S,
    WaitedSettings,
    wait_for_settings,
)
from lavendergate.daemon.hosted_process import HostedProcess
from lavendergate.observability.log import MemoryEventLog
from lavendergate.platform.settings_file import (
    SETTINGS_VARIABLE,
    SETTLE_S,
    SettingsFileError,
    load_settings,
)

_COMPLETE = """
nodeName = "core-1"
ip = "127.0.0.1"
zone = "z"
region = "r"
internalPorts = [7440, 7455]
seeds = ["127.0.0.1:8782", "127.0.0.2:8782"]
bootstrap = true
dataDir = "/data"
[bindAddrs]
control = "127.0.0.1:8782"
[bounds]
contactMs = 5000
graceS = 9
[cloudApi]
address = "127.0.0.1:8783"
dutyPerS = 50.0
"""


class SettingsWaitTest(unittest.IsolatedAsyncioTestCase):
    """Readings of a settings file that changes meanwhile."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'local.toml'
        self.now_s = 0.0
        self.change: Callable[[], object] = lambda: None
        self.change_at_s = 1.0
        self.enterContext(
            mock.patch.dict(os.environ, {SETTINGS_VARIABLE: str(self.path)})
        )

    def wait(self, role: str = 'control') -> WaitedSettings:
        return wait_for_settings(
            role,
            clock=lambda: self.now_s,
            sleep=self._sleep,
            warn=lambda text: None,
        )

    def test_every_cut_of_the_file_is_read_again(self) -> None:
        """Guards against a start with the begin of a settings file."""
        self.change = lambda: self.path.write_text(_COMPLETE)
        last_needed = _COMPLETE.index('dutyPerS') - 1
        for length in range(last_needed):
            with self.subTest(end=_COMPLETE[:length][-20:]):
                self.now_s = 0
                self.path.write_text(_COMPLETE[:length])
                waited = self.wait()
                self.assertEqual(waited.settings.bounds.grace_s, 9)
                self.assertEqual(len(waited.settings.seeds), 2)
                self.assertGreaterEqual(waited.waited_s, self.change_at_s)
                self.assertTrue(waited.reason)

    def test_missing_and_unreadable_files_are_read_again(self) -> None:
        """Guards against an end while the file is being replaced."""
        self.change = lambda: self.path.write_text(_COMPLETE)
        self.assertTrue(self.wait().reason)
        self.path.unlink()
        self.path.mkdir()

        def replace() -> None:
            self.path.rmdir()
            self.path.write_text(_COMPLETE)

        self.now_s, self.change = 0, replace
        self.assertTrue(self.wait().reason)

    def test_complete_file_is_not_waited_for(self) -> None:
        """Guards against a later start on an ordinary day."""
        self.path.write_text(_COMPLETE)
        waited = self.wait()
        self.assertEqual((waited.waited_s, waited.reason), (0, ''))

    def test_file_without_an_expected_key_is_taken_if_it_stays(self) -> None:
        """Guards against a refused start where a key is not in use."""
        self.path.write_text(_COMPLETE.replace('graceS = 9\n', ''))
        waited = self.wait()
        self.assertIn('bounds.graceS', waited.reason)
        self.assertGreaterEqual(waited.waited_s, SETTLE_S)

    def test_missing_address_of_the_role_is_refused_with_its_name(self) -> None:
        """Guards against an error of a listener in place of a reason."""
        self.path.write_text(_COMPLETE)
        with self.assertRaisesRegex(SettingsFileError, r'bindAddrs\.front'):
            self.wait('proxy')
        self.assertGreaterEqual(self.now_s, SETTINGS_WAIT_S)

    async def test_reload_of_a_cut_file_changes_no_setting(self) -> None:
        """Guards against seeds or a grace period that fall back to defaults."""
        self.path.write_text(_COMPLETE)
        process = HostedProcess(
            settings=load_settings(), events=MemoryEventLog()
        )
        before = process.settings
        for length in range(len(_COMPLETE)):
            self.path.write_text(_COMPLETE[:length])
            process.reload()
            self.assertEqual(process.settings, before)
        changed = _COMPLETE.replace('graceS = 9', 'graceS = 8')
        self.path.write_text(changed)
        process.reload()
        self.assertEqual(process.settings.bounds.grace_s, 8)

    def _sleep(self, duration_s: float) -> None:
        self.now_s += duration_s
        if self.now_s >= self.change_at_s:
            self.change()


if __name__ == '__main__':
    unittest.main()
