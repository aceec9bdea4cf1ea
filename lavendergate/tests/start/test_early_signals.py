"""Tests of signals that arrive while a process imports its modules."""

import os
import signal
import subprocess
import sys
import unittest

_SIGNAL_DURING_IMPORT = """
import os, runpy, signal, sys

class SignalOnImport:
    def find_spec(self, name, path=None, target=None):
        if name in {'anyio', 'asyncio', 'dataclasses', 'msgspec'}:
            sys.meta_path.remove(self)
            for number in map(int, sys.argv[1:]):
                os.kill(os.getpid(), number)
            sys.argv = ['hosted', 'unknown']
        return None

for name in [name for name in sys.modules if name == 'dataclasses']:
    del sys.modules[name]
sys.meta_path.insert(0, SignalOnImport())
runpy.run_module('lavendergate.daemon.hosted', run_name='__main__')
"""
_USAGE_STATUS = 2


def start_with(*signals: signal.Signals) -> subprocess.CompletedProcess[str]:
    """Run the entry point, with signals at its first longer import."""
    numbers = [str(int(number)) for number in signals]
    return subprocess.run(
        [sys.executable, '-c', _SIGNAL_DURING_IMPORT, *numbers],
        env=dict(os.environ),
        capture_output=True,
        text=True,
        check=False,
    )


class EarlySignalTest(unittest.TestCase):
    """Signals before the first longer import of the entry point."""

    def test_reload_before_the_imports_does_not_end_the_process(self) -> None:
        """Guards against a SIGHUP that ends a process while it imports."""
        ended = start_with(*[signal.SIGHUP] * 5)
        self.assertEqual(ended.returncode, _USAGE_STATUS, ended.stderr)

    def test_stop_during_the_imports_leaves_no_traceback(self) -> None:
        """Guards against a stop that looks like a crash of the process."""
        for stop_signal in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(stop_signal):
                ended = start_with(stop_signal)
                self.assertEqual(ended.returncode, 0)
                self.assertEqual(ended.stderr, '')

    def test_reload_and_stop_together_stop_the_process(self) -> None:
        """Guards against a stop that is lost beside a reload."""
        ended = start_with(signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
        self.assertEqual((ended.returncode, ended.stderr), (0, ''))


if __name__ == '__main__':
    unittest.main()
