"""Tests of the founding record that is written before the other imports."""

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from lavendergate.daemon.hosted.early_founding import (
    read_plain_fields,
    write_early_record,
)
from lavendergate.storage.founding_record import read_founding_record

_ROOT = Path(__file__).resolve().parents[3]
_ENTRY = 'lavendergate/daemon/hosted/__main__.py'
_SEEDS = ('10.0.0.1:7440', '10.0.0.2:7440', '10.0.0.3:7440')
_SETTINGS = """nodeName = "core-1"
ip = "10.0.0.1"
internalPorts = [7440,7455]
seeds = ["10.0.0.1:80", "10.0.0.2:80","10.0.0.3:80"]
bootstrap = {bootstrap}
dataDir = "{directory}"
[limits]
ip = "10.9.9.9"
"""
# Modules that take longer to import than everything before the record.
_SLOW_MODULES = {'tomllib', 'threading', 'typing', 're', 'runpy'}


class EarlyFoundingTest(unittest.TestCase):
    """What the first lines of a control host write."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.path = self.folder / 'local.toml'

    def record_of(self, content: str) -> tuple[str, ...]:
        """Return the record that a settings file leads to."""
        self.path.write_text(content)
        write_early_record(str(self.path))
        return read_founding_record(self.folder / 'log')

    def settings(self, bootstrap: str = 'true') -> str:
        """Return a settings file in the usual form."""
        return _SETTINGS.format(bootstrap=bootstrap, directory=self.folder)

    def test_usual_file_leads_to_a_durable_record(self) -> None:
        """Guards against a group that never forms after an early kill."""
        self.assertEqual(self.record_of(self.settings()), _SEEDS)

    def test_later_start_writes_no_record(self) -> None:
        """Guards against a second group of hosts that lost their disks."""
        self.assertEqual(self.record_of(self.settings('false')), ())

    def test_file_in_another_form_is_read_in_full(self) -> None:
        """Guards against a quick reading that is taken for the only one."""
        content = self.settings().replace(
            '"10.0.0.2:80","10.0.0.3:80"]', '\n"10.0.0.2:80", "10.0.0.3:80",]'
        )
        with self.assertRaises(ValueError):
            read_plain_fields(content)
        self.assertEqual(self.record_of(content), _SEEDS)

    def test_half_written_file_leads_to_no_record(self) -> None:
        """Guards against a record with other seeds than the group has."""
        content = self.settings()
        whole = content.index('[limits]')
        for length in range(whole - 1):
            with self.subTest(length):
                record = self.record_of(content[:length])
                self.assertIn(record, ((), _SEEDS))
                if record:
                    self.assertGreaterEqual(length, whole - 2)

    def test_record_is_written_before_the_slow_imports(self) -> None:
        """Guards against imports that put the record off by their time."""
        script = (
            'import sys; before = set(sys.modules);'
            'from lavendergate.daemon.hosted import early_founding as early;'
            f'early.write_early_record({str(self.path)!r});'
            'print(*(set(sys.modules) - before))'
        )
        self.path.write_text(self.settings())
        ended = subprocess.run(
            [sys.executable, '-S', '-c', script],
            cwd=_ROOT,
            env={**os.environ, 'PYTHONPATH': ':'.join(sys.path)},
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertFalse(_SLOW_MODULES & set(ended.stdout.split()))
        self.assertEqual(read_founding_record(self.folder / 'log'), _SEEDS)

    def test_record_is_written_by_the_only_thread(self) -> None:
        """Guards against a second thread beside the imports.

        On the users' bench, control hosts ended with SIGILL where a thread
        wrote the record while the first one imported modules.
        """
        self.path.write_text(self.settings())
        script = (
            'import threading, _thread;'
            'from unittest import mock;'
            'start = mock.Mock(side_effect=AssertionError("a thread"));'
            '_thread.start_new_thread = threading.Thread.start = start;'
            'from lavendergate.daemon.hosted import early_founding as early;'
            f'early.write_early_record({str(self.path)!r})'
        )
        subprocess.run([sys.executable, '-c', script], cwd=_ROOT, check=True)
        self.assertEqual(read_founding_record(self.folder / 'log'), _SEEDS)

    def test_entry_runs_as_a_file_and_searches_only_the_repository(
        self,
    ) -> None:
        """Guards against modules beside the entry that hide others."""
        ended = subprocess.run(
            [sys.executable, _ENTRY, 'unknown'],
            cwd=_ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(ended.returncode, 2, ended.stderr)
        self.assertIn("unknown role 'unknown'", ended.stderr)


if __name__ == '__main__':
    unittest.main()
