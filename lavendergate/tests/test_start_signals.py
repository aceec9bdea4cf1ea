"""Tests of signals that arrive during the start of a process."""

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from lavendergate.platform.settings_file import SETTINGS_VARIABLE

_SETTINGS = """
nodeName = "core-1"
role = "control"
ip = "127.0.0.1"
zone = "z"
region = "r"
internalPorts = [7440, 7455]
seeds = ["127.0.0.1:8782"]
bootstrap = true
[bindAddrs]
control = "127.0.0.1:8782"
[bounds]
graceS = 6
[cloudApi]
address = "127.0.0.1:8783"
"""
_SIGNALLED_START = """
import os, runpy, signal, sys
from lavendergate.daemon.hosted import start

def load_role(role):
    os.kill(os.getpid(), signal.SIGHUP)
    sys.exit(7)

start._load_role = load_role
sys.argv = ['hosted', 'control']
runpy.run_module('lavendergate.daemon.hosted', run_name='__main__')
"""


class StartSignalTest(unittest.TestCase):
    """SIGHUP before the signal handler is installed."""

    def test_reload_during_the_start_does_not_end_the_process(self) -> None:
        """Guards against a process that SIGHUP ends during its start.

        The handler is installed after the imports, about 0.4 s after the
        start on the hosting platform. Until then SIGHUP, which is sent when
        the settings change, must be ignored.
        """
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'local.toml'
            path.write_text(_SETTINGS)
            environment = {**os.environ, SETTINGS_VARIABLE: str(path)}
            ended = subprocess.run(
                [sys.executable, '-c', _SIGNALLED_START],
                env=environment,
                check=False,
            )
        self.assertEqual(ended.returncode, 7)
