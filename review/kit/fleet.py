"""Starts the project's own programs for a case, on loopback addresses.

Only the standard library is used. The programs are started with the commands
of the deploy file, each on an address of its own, and ended by their ids.
"""

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPENDENCIES = ROOT / 'target' / 'deps'

HELD = 0
BROKEN = 1
NOT_RUN = 2

BOUNDS = {
    'seedLagS': 3,
    'addrReuseS': 2,
    'contactMs': 5000,
    'ackTimeoutMs': 6000,
    'catchUpS': 4,
    'drainTimeoutMs': 7000,
    'graceS': 6,
    'lossSlackMs': 200,
    'configApplyMs': 4000,
    'rollbackSlackMs': 250,
    'skewMaxMs': 15000,
    'recoveryS': 12,
    'thawMs': 300,
}
ZONES = {'zone-a': 'east', 'zone-b': 'north', 'zone-c': 'west'}
_RESTART_DELAY_S = 0.5


class CannotRunError(Exception):
    """The case could not be set up, so it shows nothing."""


class Record:
    """Writes `record.txt` of a case: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._began = time.monotonic()
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')

    def __call__(self, text: str) -> None:
        """Write a line with the time since the begin of the case."""
        elapsed = time.monotonic() - self._began
        self._file.write(f'{elapsed:9.3f} {text}\n')
        self._file.flush()


class Program:
    """One process of the deploy file, restarted as the platform does it."""

    def __init__(self, fleet: 'Fleet', role: str, number: int) -> None:
        self.role = role
        self.name = f'{role}-{number}'
        self.ip = fleet.ip()
        self.zone = sorted(ZONES)[(number - 1) % len(ZONES)]
        self.own_ends: list[int] = []
        self.expects_end = False
        self.restarts = True
        self._fleet = fleet
        self._process: subprocess.Popen[bytes] | None = None
        self._folder = fleet.folder / self.name
        self._folder.mkdir()
        self.is_first_start = True

    @property
    def pid(self) -> int:
        """Process id of the present process."""
        assert self._process is not None
        return self._process.pid

    @property
    def log(self) -> str:
        """Everything that the processes of this program wrote."""
        return (self._folder / 'log').read_text('utf-8', 'replace')

    @property
    def front(self) -> tuple[str, int]:
        """Address for clients."""
        return self.ip, self._fleet.ports['front']

    @property
    def control(self) -> tuple[str, int]:
        """Address for members and operators."""
        return self.ip, self._fleet.ports['control']

    @property
    def readiness(self) -> tuple[str, int]:
        """Address of the ready probe."""
        return self.ip, self._fleet.ports['readiness']

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Write the settings file and start the process."""
        boot = self._folder / 'local.toml'
        boot.write_text(self._fleet.settings_of(self, self.is_first_start))
        self.is_first_start = False
        temporary = self._folder / 'tmp'
        temporary.mkdir(exist_ok=True)
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': str(temporary),
            'TMPDIR': str(temporary),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(DEPENDENCIES),
            'LAVENDERGATE_BOOT': str(boot),
        }
        with (self._folder / 'log').open('ab') as log:
            self._process = subprocess.Popen(
                ['python3', '-m', 'lavendergate.daemon.hosted', self.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.expects_end = False
        self._fleet.record(f'start {self.name} {self.ip} pid {self.pid}')

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._fleet.record(f'signal {number.name} to {self.name}')
        if number in {signal.SIGTERM, signal.SIGKILL}:
            self.expects_end = True
        if self._process is not None:
            self._process.send_signal(number)

    def note_end(self) -> bool:
        """Return whether the process has ended; record an end by itself."""
        if self._process is None or self._process.poll() is None:
            return False
        status = self._process.returncode
        self._process = None
        how = 'after a signal' if self.expects_end else 'BY ITSELF'
        self._fleet.record(f'end {self.name} with status {status} {how}')
        if not self.expects_end:
            self.own_ends.append(status)
        return True

    def end(self) -> None:
        """End the process for good."""
        self.restarts = False
        if self._process is not None and self._process.poll() is None:
            self.expects_end = True
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()


class Fleet:
    """Control hosts and proxies of a small deployment.

    Parameters
    ----------
    record
        Receives what happens.
    cloud
        Address of the stand-in for the platform, ``ip:port``.
    """

    def __init__(
        self,
        record: Record,
        cloud: str,
        *,
        control: int = 3,
        proxies: int = 3,
        bounds: dict[str, object] | None = None,
        heartbeat_ms: int = 1200,
    ) -> None:
        if not DEPENDENCIES.is_dir():
            raise CannotRunError('build the deploy file first')
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='case-'))
        self._cloud = cloud
        self._heartbeat_ms = heartbeat_ms
        self._bounds = {**BOUNDS, 'requireFencing': True, **(bounds or {})}
        self._subnet = f'127.{random.randint(2, 250)}.{random.randint(1, 250)}'
        self._hosts = iter(range(1, 250))
        self.ports = self._free_ports()
        self.control = [Program(self, 'control', n + 1) for n in range(control)]
        self.proxies = [Program(self, 'proxy', n + 1) for n in range(proxies)]
        self._watch: asyncio.Task[None] | None = None

    @property
    def programs(self) -> list[Program]:
        """All programs."""
        return self.control + self.proxies

    def ip(self) -> str:
        """Return an address that no other part of the case uses."""
        return f'{self._subnet}.{next(self._hosts)}'

    def settings_of(self, program: Program, bootstrap: bool) -> str:
        """Return the settings file of a program."""
        ports = self.ports
        seeds = [f'{host.ip}:{ports["control"]}' for host in self.control[:3]]
        is_proxy = program.role == 'proxy'
        serves = 'edge' if is_proxy else 'control'
        lines = [
            f'nodeName = "{program.name}"',
            f'role = "{program.role}"',
            f'nodeClass = "{"edge" if is_proxy else "core"}"',
            f'serves = ["{serves}"]',
            f'ip = "{program.ip}"',
            f'zone = "{program.zone}"',
            f'region = "{ZONES[program.zone]}"',
            f'internalPorts = [{ports["internal"]},{ports["internal"] + 15}]',
            f'seeds = {seeds}'.replace("'", '"'),
            f'bootstrap = {str(bootstrap).lower()}',
            f'inTolerance = {str(not is_proxy).lower()}',
            'discovery = "registry"',
            'entryMode = "vip"',
            f'heartbeatMs = {self._heartbeat_ms}',
            'policies = ["base","drain","config","cost","recover","sql"]',
            'config_mode = "highest"',
        ]
        if not is_proxy:
            lines.append(f'dataDir = "{self.folder / program.name / "data"}"')
        lines.append('[zones]')
        lines += [f'{zone} = "{region}"' for zone, region in ZONES.items()]
        lines.append('[bindAddrs]')
        for name in ('front', 'readiness') if is_proxy else ('control',):
            lines.append(f'{name} = "{program.ip}:{ports[name]}"')
        lines += [
            '[limits]',
            'cpuShare = 1.0',
            'cpuCores = 1',
            'memoryMb = 300',
            'maxFds = 4300',
            'linkMbps = 1000.0',
            f'diskMb = {0 if is_proxy else 128}',
            '[faultTolerance]',
            'machines = 1',
            'zones = 0',
            'regions = 0',
            '[bounds]',
        ]
        for name, bound in self._bounds.items():
            text = str(bound).lower() if isinstance(bound, bool) else bound
            lines.append(f'{name} = {text}')
        lines += [
            '[cloudApi]',
            f'address = "{self._cloud}"',
            'ratePerS = 50.0',
            'duties = ["promote"]',
            'dutyPerS = 50.0',
        ]
        return '\n'.join(lines) + '\n'

    def start(self) -> None:
        """Start all programs, and restart those that end."""
        for program in self.programs:
            program.start()
        self._watch = asyncio.create_task(self._restart_ended())

    async def stop(self) -> None:
        """End all programs and remove the temporary folder."""
        if self._watch is not None:
            self._watch.cancel()
        for program in self.programs:
            program.note_end()
            program.end()
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _restart_ended(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            for program in self.programs:
                if program.note_end() and program.restarts:
                    asyncio.get_running_loop().call_later(
                        _RESTART_DELAY_S, _start_again, program
                    )

    def _free_ports(self) -> dict[str, int]:
        """Return ports that are free on the addresses of the case."""
        for _ in range(50):
            base = random.randint(20000, 30000)
            wanted = {
                'front': base,
                'readiness': base + 1,
                'control': base + 2,
                'internal': base + 10,
            }
            if all(map(_is_free, range(base, base + 26))):
                return wanted
        raise CannotRunError('no free ports')


def _start_again(program: Program) -> None:
    if program.restarts:
        program.start()


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('', port))
        except OSError:
            return False
    return True


def finish(status: int) -> None:
    """End a case with its status, whatever is still pending."""
    sys.stdout.flush()
    os._exit(status)
