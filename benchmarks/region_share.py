"""Measures reads of proxies in several regions, in virtual time.

Run with ``python -m benchmarks.region_share``. Each region has one member and
two proxies, so that a proxy has to choose between the member near it, which
may be busy, and those at the end of a longer way.
"""

from statistics import median

from benchmarks.replica_share import figures
from benchmarks.statement_model import GroupRun
from benchmarks.statement_policies import Policy
from benchmarks.statement_setup import GLASREINIGUNG, PROXIES, Setup

SEEDS = range(5)
DURATION_S = 10.0
LAGS_S = (0.005, 0.005)
LOADS = (0.3, 0.6)
REGION_MS = (0.0, 2.0, 5.0, 20.0)
# The primary is the member of the first region. Proxies with an equal
# remainder by the number of regions are in the same region.
ENTRIES = {
    'everywhere': tuple(range(PROXIES)),
    'near the primary': tuple(range(0, PROXIES, 3)),
    'near a replica': tuple(range(1, PROXIES, 3)),
}


def main() -> None:
    """Print one row for each place of the callers, load and latency."""
    print(
        f'{GLASREINIGUNG.name}, {DURATION_S} s, median of {len(SEEDS)} seeds\n'
        '| callers | load | one way between regions ms | replica share % '
        '| p50 ms | p99 ms | in time % |\n' + '| --- ' * 7 + '|'
    )
    for place, proxies in ENTRIES.items():
        for load in LOADS:
            for region_ms in REGION_MS:
                setup = Setup(
                    deployment=GLASREINIGUNG,
                    load=load,
                    lags=LAGS_S,
                    region_ms=region_ms,
                    entry_proxies=proxies,
                    duration_s=DURATION_S,
                )
                print(
                    f'| {place} | {load:.0%} | {region_ms:g} '
                    f'| {_measure(setup)} |',
                    flush=True,
                )


def _measure(setup: Setup) -> str:
    runs = [figures(GroupRun(setup, Policy(), seed).run()) for seed in SEEDS]
    medians = [median(column) for column in zip(*runs, strict=True)]
    return ' | '.join(f'{value:.1f}' for value in medians[:4])


if __name__ == '__main__':
    main()
