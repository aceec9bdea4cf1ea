"""Settings and processes for tests of their signals and ends."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

from lavendergate.platform.settings_file import SETTINGS_VARIABLE

_LIMIT_S = 20.0
_ROLE = """
import sys
import anyio
from lavendergate.core.types import HostId
from lavendergate.daemon.hosted_process import HostedProcess
from lavendergate.observability.file_log import JsonEventLog
from lavendergate.observability.process_clock import ProcessClock
from lavendergate.observability.standard_output import LineStream
from lavendergate.platform.settings_file import load_settings

{role}

async def run():
    log = JsonEventLog(
        host=HostId('a'), clock=ProcessClock(), stream=LineStream(1)
    )
    process = HostedProcess(settings=load_settings(), events=log)
    process.end.report_previous()
    await process.run(role)

anyio.run(run)
"""


class ProcessTestCase(unittest.TestCase):
    """Has a settings file of a control host with a data directory."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.data = self.folder / 'data'
        self.path = self.folder / 'local.toml'
        self.path.write_text(self.settings())
        self.environment = {**os.environ, SETTINGS_VARIABLE: str(self.path)}

    def settings(self) -> str:
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            port = probe.getsockname()[1]
        return (
            'nodeName = "core-1"\nip = "127.0.0.1"\nzone = "z"\n'
            f'region = "r"\ninternalPorts = [{port}, {port}]\n'
            f'bootstrap = true\ndataDir = "{self.data}"\n'
            'seeds = []\n[bindAddrs]\n[bounds]\ngraceS = 6\n'
            '[cloudApi]\naddress = "127.0.0.1:9"\n'
        )

    def run_role(self, role: str) -> tuple[int, list[dict[str, Any]], str]:
        """Return exit status, log lines and standard error of a role."""
        ended = subprocess.run(
            [sys.executable, '-c', _ROLE.format(role=role)],
            env=self.environment,
            capture_output=True,
            timeout=_LIMIT_S,
            check=False,
            text=True,
        )
        lines = [json.loads(line) for line in ended.stdout.splitlines()]
        return ended.returncode, lines, ended.stderr

    def signal_role(
        self, *numbers: signal.Signals
    ) -> tuple[int, list[dict[str, Any]]]:
        """Send signals to a waiting role; return its status and log lines."""
        ready = self.folder / 'ready'
        role = (
            'async def role(process):\n'
            '    await anyio.sleep(0.1)\n'
            f'    open({str(ready)!r}, "w").close()\n'
            '    await process.wait_for_stop()\n'
            '    await anyio.sleep(0.3)\n'
            '    process.exit()\n'
        )
        with subprocess.Popen(
            [sys.executable, '-c', _ROLE.format(role=role)],
            env=self.environment,
            stdout=subprocess.PIPE,
            text=True,
        ) as process:
            deadline = time.monotonic() + _LIMIT_S
            while not ready.exists() and time.monotonic() < deadline:
                time.sleep(0.01)
            for number in numbers:
                process.send_signal(number)
            output, _ = process.communicate(timeout=_LIMIT_S)
        ready.unlink()
        lines = [json.loads(line) for line in output.splitlines()]
        return process.returncode, lines
