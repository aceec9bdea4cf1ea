"""Processes of the deploy file whose start and environment are disturbed."""

import asyncio
import os
import re
import resource
import signal
import socket
import subprocess
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from kit.fleet import DEPENDENCIES, Fleet, Program, Record

ROOT = Path(__file__).resolve().parent.parent

_END_WAIT_S = 3.0
_POLL_S = 0.02
_BEGIN_POLL_S = 0.001


@dataclass(frozen=True, kw_only=True)
class Disturbance:
    """How a start differs from an ordinary one.

    Parameters
    ----------
    settings
        Returns the content of the settings file at the start, from the
        ordinary one.
    descriptors
        Limit of open descriptors; None for the ordinary one.
    has_output
        Whether standard output is open.
    is_first_start
        Whether the settings say that the whole system starts.
    max_file_bytes
        Length of a file beyond which writes fail; None for no limit.
    """

    settings: Callable[[str], str] = str
    descriptors: int | None = None
    has_output: bool = True
    is_first_start: bool = True
    max_file_bytes: int | None = None


class DisturbedProcess:
    """One process of a fleet that the fleet itself does not start.

    Parameters
    ----------
    fleet
        Names the addresses and the settings of the process.
    program
        Program of the fleet that the process runs.
    """

    def __init__(self, *, fleet: Fleet, program: Program) -> None:
        self._program = program
        self._settings = fleet.settings_of(program, True)
        self._folder = fleet.folder / program.name
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def status(self) -> int | None:
        """Exit status; None while the process runs."""
        return None if self._process is None else self._process.poll()

    @property
    def output(self) -> str:
        """What the process wrote."""
        return (self._folder / 'log').read_text('utf-8', 'replace')

    @property
    def has_begun(self) -> bool:
        """Whether the first lines of the program have run: SIGHUP is ignored.

        Before them Python itself starts, and signals have their defaults.
        """
        if self._process is None or self.status is not None:
            return False
        status = Path(f'/proc/{self._process.pid}/status').read_text()
        ignored = re.search(r'^SigIgn:\s*(\w+)', status, re.MULTILINE)
        return ignored is not None and bool(int(ignored[1], 16) & 1)

    @property
    def settings_path(self) -> Path:
        """Settings file of the process."""
        return self._folder / 'local.toml'

    @property
    def data_directory(self) -> Path:
        """Data directory of a control host."""
        return self._folder / 'data'

    def limit_file_size(self, limit_bytes: int) -> None:
        """Refuse writes beyond a length; -1 for none, as a full disk does."""
        if self._process is not None and self.status is None:
            resource.prlimit(
                self._process.pid,
                resource.RLIMIT_FSIZE,
                (limit_bytes, resource.RLIM_INFINITY),
            )

    def start(self, disturbance: Disturbance) -> None:
        """Start the process."""
        if not disturbance.is_first_start:
            self._settings = self._settings.replace(
                'bootstrap = true', 'bootstrap = false'
            )
        self.write_settings(disturbance.settings(self._settings))
        temporary = self._folder / 'tmp'
        temporary.mkdir(exist_ok=True)
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': str(temporary),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(DEPENDENCIES),
            'LAVENDERGATE_BOOT': str(self._folder / 'local.toml'),
        }

        def prepare() -> None:
            if disturbance.descriptors is not None:
                limit = disturbance.descriptors
                resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
            if disturbance.max_file_bytes is not None:
                resource.setrlimit(
                    resource.RLIMIT_FSIZE,
                    (disturbance.max_file_bytes, resource.RLIM_INFINITY),
                )
            if not disturbance.has_output:
                os.close(1)

        with (self._folder / 'log').open('ab') as log:
            self._process = subprocess.Popen(
                _command(self._program.role),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=prepare,  # noqa: PLW1509
            )

    def write_settings(self, content: str | None = None) -> None:
        """Write the settings file; the ordinary content by default."""
        path = self._folder / 'local.toml'
        path.write_text(self._settings if content is None else content)

    async def wait_for_begin(self) -> None:
        """Return once the first lines of the program have run."""
        while not self.has_begun and self.status is None:
            await asyncio.sleep(_BEGIN_POLL_S)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def wait_for_end(self, limit_s: float = _END_WAIT_S) -> int | None:
        """Return the exit status; None if the process still runs."""
        deadline = asyncio.get_running_loop().time() + limit_s
        while asyncio.get_running_loop().time() < deadline:
            if self.status is not None:
                return self.status
            await asyncio.sleep(_POLL_S)
        return self.status

    def end(self) -> None:
        """End the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()


def _command(role: str) -> list[str]:
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    return str(deploy['roles'][role]['run']).split()


def outcome(status: int | None) -> str:
    """Return what an end by itself shows; empty while the process runs."""
    return '' if status is None else f'ended by itself with status {status}'


def served(program: Program) -> tuple[str, int]:
    """Return the address that a program serves."""
    return program.front if program.role == 'proxy' else program.control


async def reachable(program: Program) -> str:
    """Return what is wrong with the served address; empty if nothing is."""
    return '' if await accepts(served(program)) else 'does not serve'


async def accepts(address: tuple[str, int], limit_s: float = 5.0) -> bool:
    """Return whether a connection is accepted within a time."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + limit_s
    while loop.time() < deadline:
        try:
            _, writer = await asyncio.open_connection(*address)
        except OSError:
            await asyncio.sleep(_POLL_S)
            continue
        writer.close()
        return True
    return False


def take_port(ip: str, port: int) -> socket.socket:
    """Return a socket that listens on a port."""
    taken = socket.socket()
    taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    taken.bind((ip, port))
    taken.listen()
    return taken


__all__ = (
    'DisturbedProcess',
    'Disturbance',
    'Fleet',
    'Program',
    'Record',
    'accepts',
    'outcome',
    'reachable',
    'served',
    'take_port',
)
