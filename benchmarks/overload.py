"""Measures goodput under overload with and without admission control.

The load is simulated in virtual time.

Run with ``python -m benchmarks.overload``.
"""

from statistics import median

from benchmarks.statement_model import GroupRun
from benchmarks.statement_policies import NaivePolicy, Policy
from benchmarks.statement_setup import (
    GLASREINIGUNG,
    PALMETTO,
    Deployment,
    Result,
    Setup,
)
from lavendergate.core.admission import QueueClass

SEEDS = range(5)
DURATION_S = 6.0
LOADS = (1.0, 2.0, 5.0)
LAGS_S = (0.005, 0.05)
VERSIONS: tuple[tuple[str, type[Policy], bool], ...] = (
    ('admission', Policy, True),
    ('no admission', Policy, False),
    ('naive', NaivePolicy, False),
)


def _run(
    deployment: Deployment,
    load: float,
    policy: type[Policy],
    admits: bool,
    seed: int,
) -> Result:
    setup = Setup(
        deployment=deployment,
        load=load,
        lags=LAGS_S,
        duration_s=DURATION_S,
        admits=admits,
    )
    return GroupRun(setup, policy(), seed).run()


def _answered_by_class(results: list[Result]) -> str:
    cells = []
    for kind in QueueClass:
        offered = sum(one.offered.get(kind, 0) for one in results)
        done = sum(one.done.get(kind, 0) for one in results)
        if offered:
            cells.append(f'{kind.name} {100 * done / offered:.0f}')
    return ', '.join(cells)


def main() -> None:
    """Print one row for each deployment, version and load."""
    print(
        f'median (range) of {len(SEEDS)} seeds, {DURATION_S} s, lags '
        f'{LAGS_S} s, goodput in statements/s answered within 2 s'
    )
    print(
        '| deployment | version | load | goodput | of its peak % '
        '| answered % by class |\n' + '| --- ' * 6 + '|'
    )
    for deployment in (GLASREINIGUNG, PALMETTO):
        for name, policy, admits in VERSIONS:
            rows = []
            for load in LOADS:
                results = [
                    _run(deployment, load, policy, admits, seed)
                    for seed in SEEDS
                ]
                rows.append((load, results))
            medians = [
                median(one.goodput for one in results) for _, results in rows
            ]
            for (load, results), middle in zip(rows, medians, strict=True):
                values = [one.goodput for one in results]
                print(
                    f'| {deployment.name} | {name} | {load:g}x '
                    f'| {middle:.0f} ({min(values):.0f}-{max(values):.0f}) '
                    f'| {100 * middle / max(medians):.0f} '
                    f'| {_answered_by_class(results)} |',
                    flush=True,
                )


if __name__ == '__main__':
    main()
