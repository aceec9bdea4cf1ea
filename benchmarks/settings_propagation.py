"""Time until a change of the settings is in force on all live proxies.

Run with ``python -m benchmarks.settings_propagation``. Changes go through
the client code of lavendergatectl, one after the other, while a daemon is
killed or stopped and started again every few changes. The second part
measures a restart with 1,000 changes in the history.
"""

import argparse
import asyncio
import contextlib
import io
import json
import os
import signal
import statistics
import sys
import time
import uuid
from dataclasses import dataclass, field

import pymysql
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from benchmarks.fleet import (
    MeasurementError,
    control_options,
    healthy_status,
    read_status,
    run_as_caller,
    running_fleet,
    until,
)
from demo.processes import SCHEMAS, Daemon, Fleet
from lavendergate.cli.control_client import ControlClient
from lavendergate.cli.errors import CommandError
from lavendergate.cli.options import ControlOptions
from lavendergate.cli.settings_change import ChangeOptions, change_settings
from lavendergate.core.commands import SettingChange
from lavendergate.rpc.codec import MessagePackCodec
from lavendergate.rpc.messages import StatusReply, StatusRequest
from lavendergate.rpc.methods import STATUS
from lavendergate.rpc.service import call

GROUP = SCHEMAS[0]
_PATHS = ('/', '/franken', f'/franken/{GROUP}', f'/franken/{GROUP}/planner')
_TARGET_S = 3.0
_RESTART_TARGET_S = 2.0
_LIMIT_S = 30.0
_POLL_S = 0.02
_DOWN_S = 0.5
# A change is sent again under its id before it gets a new base version.
_SAME_ID_ATTEMPTS = 5
_HISTORY = 1000
_RESTARTS = 5
_MS_PER_S = 1000
_CALL_TIMEOUT_S = 2.0


@dataclass(kw_only=True, slots=True)
class Watch:
    """What the proxies have reported, and which of them run.

    Parameters
    ----------
    started_at
        When each process was last started; None while it is down. A report
        of a former process does not count.
    backward
        Reports of a version older than an earlier one of that process.
    """

    started_at: dict[str, float | None]
    versions: dict[str, int] = field(default_factory=dict)
    control_version: int = 0
    backward: list[str] = field(default_factory=list)
    reports: int = 0

    def note(self, status: StatusReply) -> set[str]:
        """Enter a status; return the running proxies with a new report."""
        now = time.monotonic()
        self._check('control', self.control_version, status.settings.version)
        self.control_version = status.settings.version
        current: set[str] = set()
        for proxy in status.proxies:
            started_at = self.started_at[proxy.host_id]
            seen_at = now - proxy.age_ms / _MS_PER_S
            if started_at is None or seen_at < started_at:
                continue
            self._check(
                proxy.host_id,
                self.versions.get(proxy.host_id, 0),
                proxy.settings_version,
            )
            self.versions[proxy.host_id] = proxy.settings_version
            current.add(proxy.host_id)
        return current

    def _check(self, name: str, before: int, version: int) -> None:
        self.reports += 1
        if version < before:
            self.backward.append(f'{name}: {before} -> {version}')


class Propagation:
    """Replays changes on a fleet."""

    def __init__(self, *, fleet: Fleet, restart_every: int) -> None:
        self._fleet = fleet
        self._restart_every = restart_every
        self._restarts = 0
        self._resends = 0
        self._last_problem = ''
        self._restarting: asyncio.Task[None] | None = None
        self._starting: set[str] = set()
        self._watch = Watch(
            started_at={daemon.host_id: 0.0 for daemon in fleet.daemons}
        )

    async def replay(self, count: int) -> list[float]:
        """Make changes; return the seconds from acceptance to all proxies."""
        times = []
        for number in range(1, count + 1):
            if number % self._restart_every == 0:
                await self._finish_restart()
                self._restarting = asyncio.create_task(self._restart())
            version = await self._change(number)
            accepted_at = time.monotonic()
            await self._wait_for(version)
            times.append(time.monotonic() - accepted_at)
            if number % 10 == 0:
                print(f'{number} of {count} changes', flush=True)
        await self._finish_restart()
        return times

    def report(self, times: list[float]) -> bool:
        """Print the figures; return whether no version went back."""
        ordered = sorted(times)
        p99 = ordered[min(int(len(ordered) * 0.99), len(ordered) - 1)]
        late = sum(each > _TARGET_S for each in times)
        print(
            f'{len(times)} changes, {self._restarts} restarts, '
            f'{self._resends} resends: from acceptance until all running '
            f'proxies report the version: median '
            f'{statistics.median(times):.3f} s, p99 {p99:.3f} s, max '
            f'{ordered[-1]:.3f} s (target {_TARGET_S:g} s, {late} above it)'
        )
        print(
            f'{self._watch.reports} reported versions, '
            f'{len(self._watch.backward)} went back '
            f'{self._watch.backward[:5] or ""}',
            flush=True,
        )
        return not self._watch.backward

    async def fill_history(self, version: int) -> None:
        """Make changes without waiting until the tree has a version."""
        while self._watch.control_version < version:
            self._watch.control_version = await self._change(
                self._watch.control_version
            )

    async def _change(self, number: int) -> int:
        """Make a change as lavendergatectl does; return its version."""
        options = control_options(self._fleet)
        change = SettingChange(
            path=_PATHS[number % len(_PATHS)],
            key='read.max_age_ms',
            value=number % 10_000 + 1,
        )
        ends_at = time.monotonic() + _LIMIT_S
        while time.monotonic() < ends_at:
            base = (await self._status()).settings.version
            operation = ChangeOptions(
                operation_id=f'measure-{number}-{uuid.uuid4().hex}',
                base_version=base,
                author='measure',
            )
            for _ in range(_SAME_ID_ATTEMPTS):
                version = await self._send(options, operation, change)
                if version is not None:
                    return version
                await asyncio.sleep(_POLL_S)
        raise MeasurementError(f'change {number}: {self._last_problem}')

    async def _send(
        self,
        options: ControlOptions,
        operation: ChangeOptions,
        change: SettingChange,
    ) -> int | None:
        output = io.StringIO()
        try:
            with contextlib.redirect_stdout(output):
                await change_settings(
                    ControlClient(options), options, operation, [change]
                )
        except CommandError as error:
            self._resends += 1
            self._last_problem = str(error)
            return None
        return int(json.loads(output.getvalue())['settings_version'])

    async def _status(self) -> StatusReply:
        ends_at = time.monotonic() + _LIMIT_S
        while time.monotonic() < ends_at:
            status = await read_status(self._fleet)
            if status is not None:
                return status
            await asyncio.sleep(_POLL_S)
        raise MeasurementError(f'no control leader within {_LIMIT_S:g} s')

    async def _wait_for(self, version: int) -> None:
        ends_at = time.monotonic() + _LIMIT_S
        while time.monotonic() < ends_at:
            current = self._watch.note(await self._status())
            self._starting -= current
            expected = {
                name
                for name, started_at in self._watch.started_at.items()
                if started_at is not None and name not in self._starting
            }
            if all(
                name in current and self._watch.versions[name] >= version
                for name in expected
            ):
                return
            await asyncio.sleep(_POLL_S)
        raise MeasurementError(
            f'version {version} not in force within {_LIMIT_S:g} s: '
            f'{self._watch.versions}'
        )

    async def _restart(self) -> None:
        daemon = self._fleet.daemons[self._restarts % len(self._fleet.daemons)]
        self._restarts += 1
        self._watch.started_at[daemon.host_id] = None
        process = self._fleet.processes[daemon.host_id]
        # A crash and a planned stop in turn.
        process.send_signal(
            signal.SIGKILL if self._restarts % 2 else signal.SIGTERM
        )
        await asyncio.to_thread(process.wait)
        await asyncio.sleep(_DOWN_S)
        self._watch.versions.pop(daemon.host_id, None)
        self._starting.add(daemon.host_id)
        self._watch.started_at[daemon.host_id] = time.monotonic()
        self._fleet.start_daemon(daemon)

    async def _finish_restart(self) -> None:
        if self._restarting is not None:
            await self._restarting
            await healthy_status(self._fleet, _LIMIT_S)


async def measure_restart(fleet: Fleet, daemon: Daemon) -> tuple[float, float]:
    """Kill a host and start it again.

    Returns
    -------
    tuple
        Seconds from the start of the process until the host itself reports
        the newest settings, and until its proxy answers a read.
    """
    status = await healthy_status(fleet, _LIMIT_S)
    version = status.settings.version
    fleet.kill(daemon.host_id)
    await asyncio.sleep(_DOWN_S)
    begun_at = time.monotonic()
    fleet.start_daemon(daemon)
    control_s, proxy_s = await asyncio.gather(
        _until_control(daemon, version, begun_at),
        _until_proxy(daemon, begun_at),
    )
    return control_s, proxy_s


async def _until_control(
    daemon: Daemon, version: int, begun_at: float
) -> float:
    while time.monotonic() - begun_at < _LIMIT_S:
        channel = Channel(
            '127.0.0.1', daemon.rpc_port, codec=MessagePackCodec()
        )
        try:
            reply = await call(
                channel, STATUS, StatusRequest(), timeout_s=_CALL_TIMEOUT_S
            )
            if reply.leader and reply.settings.version >= version:
                return time.monotonic() - begun_at
        except (OSError, GRPCError, StreamTerminatedError):
            pass
        finally:
            channel.close()
        await asyncio.sleep(_POLL_S)
    raise MeasurementError(f'{daemon.host_id}: control does not serve')


async def _until_proxy(daemon: Daemon, begun_at: float) -> float:
    def answers() -> bool:
        try:
            run_as_caller(
                daemon.port, GROUP, 'SELECT COUNT(*) FROM rounds WHERE id = 1'
            )
        except (pymysql.err.MySQLError, OSError):
            return False
        return True

    await until(answers, daemon.host_id, _LIMIT_S)
    return time.monotonic() - begun_at


def _spread(name: str, times: list[float]) -> str:
    return (
        f'{name}: median {statistics.median(times):.2f} s, min '
        f'{min(times):.2f} s, max {max(times):.2f} s (target '
        f'{_RESTART_TARGET_S:g} s)'
    )


async def measure(changes: int, restart_every: int) -> bool:
    """Run both parts; return whether no version went back."""
    async with running_fleet(frozenset([GROUP])) as fleet:
        await healthy_status(fleet, _LIMIT_S)
        propagation = Propagation(fleet=fleet, restart_every=restart_every)
        is_clean = propagation.report(await propagation.replay(changes))
        await propagation.fill_history(_HISTORY)
        samples = [
            await measure_restart(
                fleet, fleet.daemons[number % len(fleet.daemons)]
            )
            for number in range(_RESTARTS)
        ]
        print(f'restart with {_HISTORY} changes behind, {_RESTARTS} restarts')
        control_times, proxy_times = zip(*samples, strict=True)
        print(_spread('control has the settings', list(control_times)))
        print(_spread('proxy answers a read', list(proxy_times)))
        if not is_clean:
            raise MeasurementError(
                f'a version went back; see {fleet.directory}'
            )
    return is_clean


def main() -> int:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--changes', type=int, default=60)
    parser.add_argument('--restart-every', type=int, default=12)
    arguments = parser.parse_args()
    print(
        f'3 hosts with both roles, one group of 3 members, '
        f'{arguments.changes} changes, a restart every '
        f'{arguments.restart_every}, status polled every '
        f'{_POLL_S * _MS_PER_S:g} ms; {os.cpu_count()} cores, load '
        f'{os.getloadavg()[0]:.1f}',
        flush=True,
    )
    try:
        asyncio.run(measure(arguments.changes, arguments.restart_every))
    except MeasurementError as error:
        print(f'failed: {error}')
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
