"""Processes of the deploy file on loopback addresses."""

import asyncio
import ctypes
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from stage.record import Record

ROOT = Path(__file__).resolve().parent.parent.parent
_METRICS_PORT = 9464
_LIBC = ctypes.CDLL(None)
_PR_SET_PDEATHSIG = 1


class CannotRunError(Exception):
    """The case cannot be played here."""


def free_network(count: int, ports: tuple[int, ...]) -> list[str]:
    """Return loopback addresses on which all ports are free."""
    for _ in range(50):
        net = f'127.{random.randint(20, 240)}.{random.randint(1, 250)}'
        addresses = [f'{net}.{number + 1}' for number in range(count)]
        if all(_is_free(ip, port) for ip in addresses for port in ports):
            return addresses
    raise CannotRunError('no free loopback addresses')


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


@dataclass(kw_only=True)
class Host:
    """One machine with one process."""

    name: str
    role: str
    ip: str
    zone: str
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0
    own_ends: list[int] = field(default_factory=list)


@dataclass(kw_only=True)
class Fleet:
    """Control hosts and proxies of one case."""

    record: Record
    proxies: list[Host]
    control: list[Host]
    folder: Path
    seeds: int = 3
    platform: str = ''
    front_port: int = 7600
    ready_port: int = 7601
    control_port: int = 7602
    internal_port: int = 7440
    bounds: dict[str, object] = field(default_factory=dict)
    max_fds: int = 4096

    @property
    def hosts(self) -> list[Host]:
        """All hosts."""
        return [*self.control, *self.proxies]

    def front(self, host: Host) -> tuple[str, int]:
        """Address for clients of a proxy."""
        return host.ip, self.front_port

    def start_all(self) -> None:
        """Start the whole system for the first time."""
        for host in self.hosts:
            self.start(host)

    def write_settings(self, host: Host, *, bootstrap: bool) -> None:
        """Write the settings file of a host."""
        path = host.folder / 'local.toml'
        temporary = path.with_suffix('.new')
        temporary.write_text(self._settings(host, bootstrap))
        temporary.replace(path)

    def start(self, host: Host) -> None:
        """Start the process of a host."""
        host.folder.mkdir(parents=True, exist_ok=True)
        (host.folder / 'data').mkdir(exist_ok=True)
        self.write_settings(host, bootstrap=host.starts == 0)
        host.starts += 1
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': str(host.folder),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'LAVENDERGATE_BOOT': str(host.folder / 'local.toml'),
        }
        with (host.folder / 'log').open('ab') as log:
            host.process = subprocess.Popen(
                [*_command(host.role)],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
            )
        self.record.write(host.name, 'started')

    def signal(self, host: Host, number: signal.Signals) -> None:
        """Send a signal to the process of a host."""
        if host.process is not None and host.process.poll() is None:
            host.process.send_signal(number)
            self.record.write(host.name, f'got {number.name}')

    def kill(self, host: Host) -> None:
        """Kill the process of a host."""
        self.signal(host, signal.SIGKILL)
        if host.process is not None:
            host.process.wait()

    def lose_disk(self, host: Host) -> None:
        """Empty the data directory of a host whose process is down."""
        shutil.rmtree(host.folder / 'data')
        self.record.write(host.name, 'lost its disk')

    def is_up(self, host: Host) -> bool:
        """Whether the process of a host runs."""
        return host.process is not None and host.process.poll() is None

    def stop(self) -> None:
        """Kill all processes."""
        for host in self.hosts:
            if self.is_up(host) and host.process is not None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def wait_until_ready(self, limit_s: float = 25) -> None:
        """Wait until all proxies answer 200 to the readiness check."""
        loop = asyncio.get_running_loop()
        end = loop.time() + limit_s
        for host in self.proxies:
            while True:
                answer = await http((host.ip, self.ready_port), 'GET', '/ready')
                if answer is not None and answer[0] == 200:
                    break
                if loop.time() > end:
                    raise CannotRunError(f'{host.name} is not ready')
                await asyncio.sleep(0.1)

    def _settings(self, host: Host, bootstrap: bool) -> str:
        is_proxy = host.role == 'proxy'
        seeds = ','.join(
            f'"{seed.ip}:{self.control_port}"'
            for seed in self.control[: self.seeds]
        )
        binds = (
            f'front = "{host.ip}:{self.front_port}"\n'
            f'readiness = "{host.ip}:{self.ready_port}"\n'
            if is_proxy
            else f'control = "{host.ip}:{self.control_port}"\n'
        )
        bounds = {
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
            'requireFencing': True,
            'thawMs': 300,
            **self.bounds,
        }
        bound_lines = '\n'.join(
            f'{key} = {str(value).lower()}' for key, value in bounds.items()
        )
        data = '' if is_proxy else f'dataDir = "{host.folder}/data"\n'
        return (
            f'nodeName = "{host.name}"\n'
            f'role = "{host.role}"\n'
            f'nodeClass = "{"edge" if is_proxy else "core"}"\n'
            f'serves = ["{"edge" if is_proxy else "control"}"]\n'
            f'ip = "{host.ip}"\nzone = "{host.zone}"\nregion = "r1"\n'
            f'internalPorts = [{self.internal_port},'
            f'{self.internal_port + 15}]\n'
            f'seeds = [{seeds}]\nbootstrap = {str(bootstrap).lower()}\n'
            f'inTolerance = {str(not is_proxy).lower()}\n'
            'discovery = "registry"\nentryMode = "vip"\nheartbeatMs = 1200\n'
            'policies = ["base","drain","config","cost","recover","sql"]\n'
            f'config_mode = "highest"\n{data}'
            '[zones]\nz1 = "r1"\nz2 = "r1"\nz3 = "r1"\n'
            f'[bindAddrs]\n{binds}'
            '[limits]\ncpuShare = 0.537\ncpuCores = 2\nmemoryMb = 300\n'
            f'maxFds = {self.max_fds}\nlinkMbps = 1000.0\n'
            f'diskMb = {0 if is_proxy else 128}\n'
            '[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n'
            f'[bounds]\n{bound_lines}\n'
            f'[cloudApi]\naddress = "{self.platform}"\nratePerS = 50.0\n'
            'duties = ["promote"]\ndutyPerS = 50.0\n'
        )


def _end_with_parent() -> None:
    """Let the kernel kill the process if the case itself is killed."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def _command(role: str) -> list[str]:
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    return str(deploy['roles'][role]['run']).split()


def make_fleet(
    record: Record, *, proxy_zones: tuple[str, ...], control: int = 3
) -> tuple[Fleet, list[str]]:
    """Return a fleet that is not started, and four further addresses."""
    fleet_ports = (7440, 7600, 7601, 7602, _METRICS_PORT)
    ips = free_network(control + len(proxy_zones) + 4, fleet_ports)
    folder = Path(tempfile.mkdtemp(prefix='case-'))
    controls = [
        Host(
            name=f'core-{number + 1}',
            role='control',
            ip=ips[number],
            zone=f'z{number % 3 + 1}',
            folder=folder / f'core-{number + 1}',
        )
        for number in range(control)
    ]
    proxies = [
        Host(
            name=f'edge-{number + 1}',
            role='proxy',
            ip=ips[control + number],
            zone=zone,
            folder=folder / f'edge-{number + 1}',
        )
        for number, zone in enumerate(proxy_zones)
    ]
    spare = ips[control + len(proxy_zones) :]
    fleet = Fleet(
        record=record, proxies=proxies, control=controls, folder=folder
    )
    return fleet, spare


async def http(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b'',
    *,
    timeout_s: float = 1.0,
) -> tuple[int, bytes] | None:
    """Make one HTTP call; None without a complete answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(
                f'{method} {path} HTTP/1.1\r\nHost: x\r\n'
                'Content-Type: application/json\r\nConnection: close\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'.encode()
                + body
            )
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            length = 0
            for line in head.split('\r\n'):
                if line.lower().startswith('content-length:'):
                    length = int(line.split(':')[1])
            content = await reader.readexactly(length)
            return int(head.split(' ')[1]), content
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
