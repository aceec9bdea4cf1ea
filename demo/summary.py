"""Prints the result of the demo."""

from dataclasses import dataclass

from demo.history import History, Outcome, Verdict

_PERCENT = 100
_SHOWN_FAILURES = 5
_SHOWN_IDS = 5


@dataclass(frozen=True, kw_only=True, slots=True)
class Summary:
    """Results of one run."""

    history: History
    verdict: Verdict
    failover_gap_s: float
    primary_reads: int
    replica_reads: int

    @property
    def replica_share(self) -> float:
        """Share of reads that replicas served, in percent."""
        reads = self.primary_reads + self.replica_reads
        return _PERCENT * self.replica_reads / reads if reads else 0


def print_failures(history: History) -> None:
    """Print the most frequent errors that callers saw."""
    for name, failures in (
        ('writes', history.failed_writes),
        ('reads', history.failed_reads),
    ):
        for text, count in failures.most_common(_SHOWN_FAILURES):
            print(f'  {count} {name} failed: {text}')


def print_summary(summary: Summary) -> None:
    """Print example ids of violations, then all figures."""
    history, verdict = summary.history, summary.verdict
    for name, ids in (
        ('lost', verdict.lost),
        ('doubled', verdict.doubled),
        ('ran though refused', verdict.ran_though_refused),
    ):
        if ids:
            print(f'  {name}: {", ".join(ids[:_SHOWN_IDS])}')
    lines = (
        ('session reads', str(history.session_reads)),
        ('planner reads', str(history.planner_reads)),
        ('writes of unknown outcome', str(history.count(Outcome.unknown))),
        ('writes refused as not run', str(history.count(Outcome.not_run))),
        ('refused, but ran', str(len(verdict.ran_though_refused))),
        ('replica share', f'{summary.replica_share:.1f} %'),
        ('failover gap', f'{summary.failover_gap_s:.2f} s'),
        ('acknowledged writes', str(history.count(Outcome.acknowledged))),
        ('lost', str(len(verdict.lost))),
        ('doubled', str(len(verdict.doubled))),
        ('stale session reads', str(verdict.stale_reads)),
    )
    print()
    for name, text in lines:
        print(f'{name:<28}{text:>10}')
