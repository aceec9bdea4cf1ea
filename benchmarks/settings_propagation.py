"""Time until a change of the settings is in force on all live proxies.

Run with ``python -m benchmarks.settings_propagation``. Changes go through
the client code of lavendergatectl, one after the other, while a daemon is
killed or stopped and started again every few changes. The second part
measures restarts with 1,000 changes in the history.
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
_DOWNTIME_S = 0.5
# Attempts with the same operation id before a change gets a new id and base
# version.
_SAME_ID_ATTEMPTS = 5
_HISTORY_CHANGES = 1000
_RESTARTS = 5
_MS_PER_S = 1000
_CALL_TIMEOUT_S = 2.0


@dataclass(kw_only=True, slots=True)
class VersionReports:
    """Settings versions that the control hosts and the proxies reported.

    Parameters
    ----------
    started_at
        Monotonic time of the last start of each host's process; None while
        it is down. Reports of an earlier process are ignored.
    versions
        Last version that each proxy reported.
    control_version
        Last version that the control leader reported.
    regressions
        Reports of a version lower than the one that the same process
        reported before.
    report_count
        Number of reports.
    """

    started_at: dict[str, float | None]
    versions: dict[str, int] = field(default_factory=dict)
    control_version: int = 0
    regressions: list[str] = field(default_factory=list)
    report_count: int = 0

    def record_status(self, status: StatusReply) -> set[str]:
        """Record a status; return the proxies that reported since starting."""
        now = time.monotonic()
        self._record_version(
            'control', self.control_version, status.settings.version
        )
        self.control_version = status.settings.version
        reported: set[str] = set()
        for proxy in status.proxies:
            started_at = self.started_at[proxy.host_id]
            seen_at = now - proxy.age_ms / _MS_PER_S
            if started_at is None or seen_at < started_at:
                continue
            self._record_version(
                proxy.host_id,
                self.versions.get(proxy.host_id, 0),
                proxy.settings_version,
            )
            self.versions[proxy.host_id] = proxy.settings_version
            reported.add(proxy.host_id)
        return reported

    def _record_version(self, name: str, before: int, version: int) -> None:
        self.report_count += 1
        if version < before:
            self.regressions.append(f'{name}: {before} -> {version}')


class ChangeReplay:
    """Makes changes on a fleet and restarts its hosts in turn."""

    def __init__(self, *, fleet: Fleet, restart_every: int) -> None:
        self._fleet = fleet
        self._restart_every = restart_every
        self._restarts = 0
        self._resends = 0
        self._last_problem = ''
        self._restart_task: asyncio.Task[None] | None = None
        self._starting_hosts: set[str] = set()
        self._reports = VersionReports(
            started_at={daemon.host_id: 0.0 for daemon in fleet.daemons}
        )

    async def replay(self, count: int) -> list[float]:
        """Make changes; return the time that each took to reach all proxies.

        The time is in seconds, from the acceptance of the change until all
        running proxies report its version.
        """
        times = []
        for number in range(1, count + 1):
            if number % self._restart_every == 0:
                await self._finish_restart()
                self._restart_task = asyncio.create_task(
                    self._restart_next_host()
                )
            version = await self._make_change(number)
            accepted_at = time.monotonic()
            await self._wait_for_version(version)
            times.append(time.monotonic() - accepted_at)
            if number % 10 == 0:
                print(f'{number} of {count} changes', flush=True)
        await self._finish_restart()
        return times

    def report(self, times: list[float]) -> bool:
        """Print the figures; return whether no reported version decreased."""
        ordered = sorted(times)
        p99 = ordered[min(int(len(ordered) * 0.99), len(ordered) - 1)]
        above_target = sum(seconds > _TARGET_S for seconds in times)
        print(
            f'{len(times)} changes, {self._restarts} restarts, '
            f'{self._resends} resends: from acceptance until all running '
            f'proxies report the version: median '
            f'{statistics.median(times):.3f} s, p99 {p99:.3f} s, max '
            f'{ordered[-1]:.3f} s (target {_TARGET_S:g} s, '
            f'{above_target} above it)'
        )
        print(
            f'{self._reports.report_count} reported versions, '
            f'{len(self._reports.regressions)} went back '
            f'{self._reports.regressions[:5] or ""}',
            flush=True,
        )
        return not self._reports.regressions

    async def extend_history(self, version: int) -> None:
        """Make changes up to a version, without waiting for the proxies."""
        while self._reports.control_version < version:
            self._reports.control_version = await self._make_change(
                self._reports.control_version
            )

    async def _make_change(self, number: int) -> int:
        """Make a change as lavendergatectl does; return the new version."""
        options = control_options(self._fleet)
        change = SettingChange(
            path=_PATHS[number % len(_PATHS)],
            key='read.max_age_ms',
            value=number % 10_000 + 1,
        )
        ends_at = time.monotonic() + _LIMIT_S
        while time.monotonic() < ends_at:
            base = (await self._wait_for_status()).settings.version
            operation = ChangeOptions(
                operation_id=f'measure-{number}-{uuid.uuid4().hex}',
                base_version=base,
                author='measure',
            )
            for _ in range(_SAME_ID_ATTEMPTS):
                version = await self._submit_change(options, operation, change)
                if version is not None:
                    return version
                await asyncio.sleep(_POLL_S)
        raise MeasurementError(f'change {number}: {self._last_problem}')

    async def _submit_change(
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

    async def _wait_for_status(self) -> StatusReply:
        ends_at = time.monotonic() + _LIMIT_S
        while time.monotonic() < ends_at:
            status = await read_status(self._fleet)
            if status is not None:
                return status
            await asyncio.sleep(_POLL_S)
        raise MeasurementError(f'no control leader within {_LIMIT_S:g} s')

    async def _wait_for_version(self, version: int) -> None:
        ends_at = time.monotonic() + _LIMIT_S
        while time.monotonic() < ends_at:
            reported = self._reports.record_status(
                await self._wait_for_status()
            )
            self._starting_hosts -= reported
            expected = {
                name
                for name, started_at in self._reports.started_at.items()
                if started_at is not None and name not in self._starting_hosts
            }
            if all(
                name in reported and self._reports.versions[name] >= version
                for name in expected
            ):
                return
            await asyncio.sleep(_POLL_S)
        raise MeasurementError(
            f'version {version} not in force within {_LIMIT_S:g} s: '
            f'{self._reports.versions}'
        )

    async def _restart_next_host(self) -> None:
        daemon = self._fleet.daemons[self._restarts % len(self._fleet.daemons)]
        self._restarts += 1
        self._reports.started_at[daemon.host_id] = None
        process = self._fleet.processes[daemon.host_id]
        # Crashes and planned stops alternate.
        process.send_signal(
            signal.SIGKILL if self._restarts % 2 else signal.SIGTERM
        )
        await asyncio.to_thread(process.wait)
        await asyncio.sleep(_DOWNTIME_S)
        self._reports.versions.pop(daemon.host_id, None)
        self._starting_hosts.add(daemon.host_id)
        self._reports.started_at[daemon.host_id] = time.monotonic()
        self._fleet.start_daemon(daemon)

    async def _finish_restart(self) -> None:
        if self._restart_task is not None:
            await self._restart_task
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
    await asyncio.sleep(_DOWNTIME_S)
    begun_at = time.monotonic()
    fleet.start_daemon(daemon)
    control_s, proxy_s = await asyncio.gather(
        _wait_for_control(daemon, version, begun_at),
        _wait_for_proxy(daemon, begun_at),
    )
    return control_s, proxy_s


async def _wait_for_control(
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


async def _wait_for_proxy(daemon: Daemon, begun_at: float) -> float:
    def answers_read() -> bool:
        try:
            run_as_caller(
                daemon.port, GROUP, 'SELECT COUNT(*) FROM rounds WHERE id = 1'
            )
        except (pymysql.err.MySQLError, OSError):
            return False
        return True

    await until(answers_read, daemon.host_id, _LIMIT_S)
    return time.monotonic() - begun_at


def _format_times(name: str, times: list[float]) -> str:
    return (
        f'{name}: median {statistics.median(times):.2f} s, min '
        f'{min(times):.2f} s, max {max(times):.2f} s (target '
        f'{_RESTART_TARGET_S:g} s)'
    )


async def measure(changes: int, restart_every: int) -> bool:
    """Run both parts; return whether no reported version decreased."""
    async with running_fleet(frozenset([GROUP])) as fleet:
        await healthy_status(fleet, _LIMIT_S)
        change_replay = ChangeReplay(fleet=fleet, restart_every=restart_every)
        is_clean = change_replay.report(await change_replay.replay(changes))
        await change_replay.extend_history(_HISTORY_CHANGES)
        samples = [
            await measure_restart(
                fleet, fleet.daemons[number % len(fleet.daemons)]
            )
            for number in range(_RESTARTS)
        ]
        print(
            f'restart with {_HISTORY_CHANGES} changes behind, '
            f'{_RESTARTS} restarts'
        )
        control_times, proxy_times = zip(*samples, strict=True)
        print(_format_times('control has the settings', list(control_times)))
        print(_format_times('proxy answers a read', list(proxy_times)))
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
