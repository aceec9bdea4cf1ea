"""Measures the failover gap: the time without an acknowledged write.

Run with ``python -m benchmarks.failover_gap``. Three hosts with both roles
and three groups of three members run as processes on loopback. The trials
take the groups in turn, because a group has at most one automatic promotion
in 10 s, and killed processes are restarted between trials.
"""

import argparse
import asyncio
import os
import statistics
import sys
import time
from pathlib import Path

from benchmarks.failover_faults import FAULTS, SWITCHOVER, Fault
from benchmarks.failover_naive import run_naive
from benchmarks.failover_trial import Trial, run_trial
from benchmarks.fleet import MeasurementError, running_fleet
from benchmarks.steady_writer import INTERVAL_S
from demo.processes import SCHEMAS, Fleet

_TARGET_GAP_S = 3.0
_TARGET_SWITCHOVER_S = 1.0


async def measure(trials: int, chosen: str) -> bool:
    """Run all trials; return whether no violation was found."""
    faults = [one for one in (*FAULTS, SWITCHOVER) if chosen in one.name]
    results: dict[str, list[Trial]] = {fault.name: [] for fault in faults}
    directory = Path('build').absolute()
    directory.mkdir(exist_ok=True)
    async with running_fleet(frozenset(SCHEMAS)) as fleet:
        number = 0
        for fault in faults:
            for _ in range(trials):
                group = SCHEMAS[number % len(SCHEMAS)]
                trial = await _run_and_print(fleet, fault, group, number)
                results[fault.name].append(trial)
                number += 1
        is_clean = not any(
            trial.violations for done in results.values() for trial in done
        )
        print(_HEADING)
        for fault in faults:
            print(_row(fault, results[fault.name]), flush=True)
        if not is_clean:
            # The error keeps the files of the processes for the diagnosis.
            raise MeasurementError(
                f'violations were found; see {fleet.directory}'
            )
    if not chosen:
        print('\n'.join(await run_naive(directory)))
    return is_clean


async def _run_and_print(
    fleet: Fleet, fault: Fault, group: str, number: int
) -> Trial:
    name = f't{number}-{os.getpid()}'
    trial = await run_trial(fleet, fault, group, name)
    print(
        f'trial {number} at {time.strftime("%H:%M:%S")}, {fault.name}, '
        f'{group}: gap {trial.gap_s:.2f} s (before the fault '
        f'{trial.quiet_gap_s:.2f} s); {trial.acknowledged} acknowledged, '
        f'{trial.unknown} unknown, {trial.not_run} not run; {trial.lost} '
        f'lost, {trial.doubled} doubled, {trial.ran_though_refused} ran '
        f'though refused, {trial.by_replaced} by a replaced primary, '
        f'{trial.false_promotions} false and {trial.missing_promotions} '
        f'missing promotions'
        f'{", member restarted: no free connection" * trial.is_full}',
        flush=True,
    )
    return trial


_HEADING = (
    '\n| fault | trials | gap median s | p99 s | max s | target s | over '
    'target | acknowledged | lost | doubled | ran though refused | by '
    'replaced primary | false promotions | missing promotions | '
    'left without free connections |\n' + '| --- ' * 15 + '|'
)


def _row(fault: Fault, done: list[Trial]) -> str:
    gaps = sorted(trial.gap_s for trial in done)
    target = _TARGET_SWITCHOVER_S if fault is SWITCHOVER else _TARGET_GAP_S
    # With fewer than 100 trials the 99th percentile is the maximum.
    p99 = gaps[min(int(len(gaps) * 0.99), len(gaps) - 1)]
    cells = [
        fault.name,
        str(len(done)),
        f'{statistics.median(gaps):.2f}',
        f'{p99:.2f}',
        f'{gaps[-1]:.2f}',
        f'{target:g}',
        str(sum(gap > target for gap in gaps)),
        str(sum(trial.acknowledged for trial in done)),
        str(sum(trial.lost for trial in done)),
        str(sum(trial.doubled for trial in done)),
        str(sum(trial.ran_though_refused for trial in done)),
        str(sum(trial.by_replaced for trial in done)),
        str(sum(trial.false_promotions for trial in done)),
        str(sum(trial.missing_promotions for trial in done)),
        str(sum(trial.is_full for trial in done)),
    ]
    return f'| {" | ".join(cells)} |'


def main() -> int:
    """Parse the options, run the trials and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--trials', type=int, default=5)
    parser.add_argument('--fault', default='', help='part of a fault name')
    arguments = parser.parse_args()
    print(
        f'3 hosts with both roles, 3 groups of 3 members, replication delays '
        f'5, 10 and 60 ms, login 12 ms, no network latency; one write every '
        f'{INTERVAL_S * 1000:g} ms through the proxies in turn; '
        f'{os.cpu_count()} cores, load {os.getloadavg()[0]:.1f}',
        flush=True,
    )
    try:
        is_clean = asyncio.run(measure(arguments.trials, arguments.fault))
    except MeasurementError as error:
        print(f'failed: {error}')
        return 1
    return 0 if is_clean else 1


if __name__ == '__main__':
    sys.exit(main())
