"""Measures replica share and latency of routing policies in virtual time.

Run with ``python -m benchmarks.replica_share``.
"""

from statistics import median, quantiles

from benchmarks.statement_model import GroupRun
from benchmarks.statement_policies import (
    NaivePolicy,
    Policy,
    RoundRobinPolicy,
    SessionPrimaryPolicy,
)
from benchmarks.statement_setup import (
    GLASREINIGUNG,
    PALMETTO,
    PROXIES,
    SERVICE_S,
    SESSIONS,
    Result,
    Setup,
)

SEEDS = range(5)
DURATION_S = 2.0
LOADS = (0.5, 0.9, 1.5)
LAGS_S = (
    (0.005, 0.05),
    (0.05, 0.05),
    (0.005, 1),
    (1, 1),
    (0.005, 30),
    (30, 30),
)
POLICIES = (Policy, NaivePolicy, SessionPrimaryPolicy, RoundRobinPolicy)


def figures(result: Result) -> tuple[float, ...]:
    """Return replica share, p50, p99, answers in time and stale answers."""
    offered = sum(result.offered.values())
    percentiles = quantiles(result.latencies_ms, n=100)
    return (
        100 * result.replica_reads / max(result.reads, 1),
        percentiles[49],
        percentiles[98],
        100 * sum(result.done.values()) / offered,
        100 * result.stale_answers / offered,
    )


def _format_samples(samples: list[float]) -> str:
    return f'{median(samples):.1f} ({min(samples):.1f}-{max(samples):.1f})'


def main() -> None:
    """Print one row for each setting and policy."""
    print(
        f'{PROXIES} proxies, {SESSIONS} sessions, mean service '
        f'{SERVICE_S * 1000:.0f} ms, {DURATION_S} s, median (range) of '
        f'{len(SEEDS)} seeds'
    )
    print(
        '| deployment | load | lags s | policy | replica share % | p50 ms '
        '| p99 ms | in time % | stale % |\n' + '| --- ' * 9 + '|'
    )
    for deployment in (GLASREINIGUNG, PALMETTO):
        for load in LOADS:
            for lags in LAGS_S:
                setup = Setup(
                    deployment=deployment,
                    load=load,
                    lags=lags,
                    duration_s=DURATION_S,
                )
                for kind in POLICIES:
                    runs = [
                        figures(GroupRun(setup, kind(), seed).run())
                        for seed in SEEDS
                    ]
                    cells = [
                        _format_samples(list(column))
                        for column in zip(*runs, strict=True)
                    ]
                    head = [
                        deployment.name,
                        f'{load:.0%}',
                        f'{lags[0]:g}, {lags[1]:g}',
                        kind.name,
                    ]
                    print(f'| {" | ".join(head + cells)} |', flush=True)


if __name__ == '__main__':
    main()
