"""Processes of the demo and their command lines."""

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from hashlib import sha1
from pathlib import Path

SCHEMAS = ('glasdaten-1', 'glasdaten-2', 'glasdaten-3')
CALLERS = ('tablet', 'planner', 'billing')
CALLER_PASSWORD = 'demo'
MEMBER_ACCOUNT = 'app'
ADMINISTRATOR = 'admin'
MEMBER_PASSWORD = 'secret'

_LOCATIONS = (
    ('oberbayern', 'muc-ost'),
    ('franken', 'nue-sued'),
    ('schwaben', 'aug-nord'),
)
# One replica of each group lags more, so that a read without the session
# token of the write can return stale data.
_REPLICATION_DELAYS_MS = {'muc-ost': '5', 'nue-sued': '10', 'aug-nord': '60'}
_HOST = '127.0.0.1'
_ANNOUNCE_KEY = 'demo'
_STOP_LIMIT_S = 4
_INIT_TIMEOUT_S = 10


@dataclass(frozen=True, kw_only=True, slots=True)
class Daemon:
    """One host with both roles."""

    host_id: str
    region: str
    failure_domain: str
    port: int
    rpc_port: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One upstream member."""

    upstream_id: str
    group: str
    region: str
    failure_domain: str
    port: int


@dataclass(kw_only=True, slots=True)
class Fleet:
    """All processes of the demo, with their files below one directory."""

    directory: Path
    daemons: tuple[Daemon, ...]
    members: tuple[Member, ...]
    connection_limit: int = 16
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def start(self) -> None:
        """Start daemons and members."""
        for daemon in self.daemons:
            self.start_daemon(daemon)
        for member in self.members:
            self.start_member(member)

    def start_daemon(self, daemon: Daemon) -> None:
        """Start one daemon, also after it was killed."""
        self._start(
            daemon.host_id,
            _daemon_command(daemon, self),
            _daemon_environment(),
        )

    def start_member(self, member: Member) -> None:
        """Start one member, also after it was killed."""
        self._start(member.upstream_id, _member_command(member, self), {})

    def kill(self, name: str) -> None:
        """Kill one process with SIGKILL and wait for its end."""
        self.processes[name].kill()
        self.processes[name].wait()

    def ended(self) -> list[str]:
        """Return the processes that have ended, with their exit status."""
        return [
            f'{name} (exit status {process.returncode})'
            for name, process in self.processes.items()
            if process.poll() is not None
        ]

    def initialize_control(self) -> str | None:
        """Write the first configuration of the control hosts.

        Returns
        -------
        str or None
            What failed, None for success.
        """
        command = [sys.executable, '-m', 'lavendergate.cli.main']
        command += ['cluster', 'init', '--hosts', self.control_hosts]
        try:
            done = subprocess.run(
                command,
                capture_output=True,
                text=True,
                timeout=_INIT_TIMEOUT_S,
                check=False,
            )
        except subprocess.TimeoutExpired:
            return f'no answer within {_INIT_TIMEOUT_S} s'
        return None if done.returncode == 0 else done.stdout + done.stderr

    def stop(self) -> None:
        """Stop the daemons with SIGTERM, then kill the remaining processes."""
        for daemon in self.daemons:
            process = self.processes.get(daemon.host_id)
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for daemon in self.daemons:
            process = self.processes.get(daemon.host_id)
            if process is not None:
                _wait_or_kill(process)
        for process in self.processes.values():
            process.kill()
            process.wait()

    @property
    def control_hosts(self) -> str:
        """Addresses of the control hosts, separated by commas."""
        return ','.join(f'{_HOST}:{host.rpc_port}' for host in self.daemons)

    def _start(
        self, name: str, command: list[str], environment: dict[str, str]
    ) -> None:
        with (self.directory / f'{name}.out').open('ab') as output:
            self.processes[name] = subprocess.Popen(
                command,
                env={**os.environ, **environment},
                stdout=output,
                stderr=subprocess.STDOUT,
            )


def make_fleet(directory: Path, ports: Sequence[int] | None = None) -> Fleet:
    """Describe the processes of the demo without starting them.

    Parameters
    ----------
    ports
        Ports of the caller listeners, the gRPC listeners and the members, in
        this order. By default, free ports are chosen.
    """
    hosts = len(_LOCATIONS)
    ports = ports or _free_ports(hosts * (2 + len(SCHEMAS)))
    daemons = tuple(
        Daemon(
            host_id=f'entry-{domain}',
            region=region,
            failure_domain=domain,
            port=port,
            rpc_port=rpc_port,
        )
        for (region, domain), port, rpc_port in zip(
            _LOCATIONS, ports, ports[hosts:], strict=False
        )
    )
    member_ports = iter(ports[2 * hosts :])
    members = tuple(
        Member(
            upstream_id=f'{group}-{domain}',
            group=group,
            region=region,
            failure_domain=domain,
            port=next(member_ports),
        )
        for group in SCHEMAS
        for region, domain in _LOCATIONS
    )
    return Fleet(directory=directory, daemons=daemons, members=members)


def _daemon_command(daemon: Daemon, fleet: Fleet) -> list[str]:
    options = {
        'host-id': daemon.host_id,
        'roles': 'proxy,control',
        'region': daemon.region,
        'failure-domain': daemon.failure_domain,
        'listen': f'{_HOST}:{daemon.port}',
        'rpc-listen': f'{_HOST}:{daemon.rpc_port}',
        'control': fleet.control_hosts,
        'data-directory': str(fleet.directory / daemon.host_id),
        'drain-delay-s': '0',
        'drain-limit-s': '2',
    }
    return _command('lavendergate.daemon.main', options)


def _member_command(member: Member, fleet: Fleet) -> list[str]:
    options = {
        'upstream-id': member.upstream_id,
        'group': member.group,
        'region': member.region,
        'failure-domain': member.failure_domain,
        'listen': f'{_HOST}:{member.port}',
        'data': str(fleet.directory / member.upstream_id),
        'connection-limit': str(fleet.connection_limit),
        'slots': '2',
        'connect-delay-ms': '12',
        'replication-delay-ms': _REPLICATION_DELAYS_MS[member.failure_domain],
        'service-ms': '1',
        'account': f'{MEMBER_ACCOUNT}:{MEMBER_PASSWORD}',
        'admin-account': f'{ADMINISTRATOR}:{MEMBER_PASSWORD}',
        'announce-to': fleet.control_hosts,
        'announce-key': _ANNOUNCE_KEY,
    }
    return _command('standin.member', options)


def _daemon_environment() -> dict[str, str]:
    auth_string = '*' + _native_password_hash(CALLER_PASSWORD)
    callers = ','.join(f'{caller}={auth_string}' for caller in CALLERS)
    return {
        'LAVENDERGATE_CALLERS': callers,
        'LAVENDERGATE_UPSTREAM_USER': MEMBER_ACCOUNT,
        'LAVENDERGATE_UPSTREAM_PASSWORD': MEMBER_PASSWORD,
        'LAVENDERGATE_ADMIN_USER': ADMINISTRATOR,
        'LAVENDERGATE_ADMIN_PASSWORD': MEMBER_PASSWORD,
        'LAVENDERGATE_ANNOUNCE_KEY': _ANNOUNCE_KEY,
    }


def _command(module: str, options: dict[str, str]) -> list[str]:
    flags = [f'--{name}={value}' for name, value in options.items()]
    return [sys.executable, '-m', module, *flags]


def _native_password_hash(password: str) -> str:
    return sha1(sha1(password.encode()).digest()).hexdigest().upper()


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((_HOST, 0))
    ports = [int(each.getsockname()[1]) for each in sockets]
    for each in sockets:
        each.close()
    return ports


def _wait_or_kill(process: subprocess.Popen[bytes]) -> None:
    try:
        process.wait(_STOP_LIMIT_S)
    except subprocess.TimeoutExpired:
        process.kill()
