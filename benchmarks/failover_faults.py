"""Faults of a primary: how to inject and how to end each one."""

import signal
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.fleet import (
    MeasurementError,
    group_of,
    leader_of,
    primary_of,
    set_fault,
)
from demo.processes import Daemon, Fleet, Member
from lavendergate.rpc.messages import StatusReply


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """Group, processes and primary that a fault affects."""

    fleet: Fleet
    group: str
    primary: Member
    leader: Daemon


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """One kind of fault.

    Parameters
    ----------
    hold_s
        Time between begin and end, in seconds.
    promotions
        Changes of the primary that the fault is expected to cause.
    """

    name: str
    begin: Callable[[Target], None]
    end: Callable[[Target], None]
    hold_s: float
    promotions: int = 1


def find_target(fleet: Fleet, status: StatusReply, group: str) -> Target:
    """Return the processes that a fault of a group affects."""
    return Target(
        fleet=fleet,
        group=group,
        primary=primary_of(fleet, status, group),
        leader=leader_of(fleet, status),
    )


def _crash(target: Target) -> None:
    target.fleet.kill(target.primary.upstream_id)


def _restart(target: Target) -> None:
    target.fleet.start_member(target.primary)


def _crash_with_control_host(target: Target) -> None:
    target.fleet.processes[target.leader.host_id].kill()
    _crash(target)
    target.fleet.processes[target.leader.host_id].wait()


def _restart_with_control_host(target: Target) -> None:
    target.fleet.start_daemon(target.leader)
    _restart(target)


def _signal_primary(number: signal.Signals) -> Callable[[Target], None]:
    def send(target: Target) -> None:
        name = target.primary.upstream_id
        target.fleet.processes[name].send_signal(number)

    return send


def _set_primary_fault(name: str, value: object) -> Callable[[Target], None]:
    def set_primary_fault(target: Target) -> None:
        set_fault(target.primary, name, value)

    return set_primary_fault


def _switch_over(target: Target) -> None:
    command = [sys.executable, '-m', 'lavendergate.cli.main', 'switchover']
    command += [target.group, '--control', target.fleet.control_hosts]
    done = subprocess.run(
        command, capture_output=True, text=True, timeout=20, check=False
    )
    if done.returncode:
        raise MeasurementError(
            f'switchover of {target.group}: {done.stdout}{done.stderr}'
        )


def _do_nothing(target: Target) -> None:
    """End a fault that needs no action to end."""


_CLEAR = _set_primary_fault('clear', '')

SWITCHOVER = Fault(
    name='planned switchover',
    begin=_switch_over,
    end=_do_nothing,
    hold_s=1,
)
FAULTS = (
    Fault(name='crash', begin=_crash, end=_restart, hold_s=3),
    Fault(
        name='pause of 5 s',
        begin=_signal_primary(signal.SIGSTOP),
        end=_signal_primary(signal.SIGCONT),
        hold_s=5,
    ),
    Fault(
        name='cut off from its group',
        begin=_set_primary_fault('cut_replication', 1),
        end=_CLEAR,
        hold_s=4,
    ),
    Fault(
        name='cut off from control',
        begin=_set_primary_fault('stop_announcing', 1),
        end=_CLEAR,
        hold_s=5,
        promotions=0,
    ),
    Fault(
        name='cut off from proxies',
        begin=_set_primary_fault('blackhole', 'callers'),
        end=_CLEAR,
        hold_s=4,
    ),
    Fault(
        name='crash with control leader',
        begin=_crash_with_control_host,
        end=_restart_with_control_host,
        hold_s=4,
    ),
)


def term_changes(
    before: StatusReply, after: StatusReply, group: str
) -> tuple[int, int]:
    """Count the changes of primary in a group and in all other groups."""
    own, others = 0, 0
    for report in after.groups:
        old_term = group_of(before, report.group_id).term
        changes = sum(start.term > old_term for start in report.term_history)
        if report.group_id == group:
            own += changes
        else:
            others += changes
    return own, others
