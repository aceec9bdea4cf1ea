"""Records the operations of callers and checks them against the final data."""

import enum
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field


@enum.unique
class Outcome(enum.Enum):
    """Outcome of a write, as far as the caller knows it."""

    acknowledged = 'acknowledged'
    not_run = 'not run'
    unknown = 'unknown'


@dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """A write with a unique id and the time at which its outcome was known."""

    group: str
    write_id: str
    outcome: Outcome
    ended_at: float


@dataclass(kw_only=True, slots=True)
class History:
    """Operations of one run; times are monotonic clock readings in seconds."""

    writes: list[Write] = field(default_factory=list)
    session_reads: int = 0
    stale_reads: int = 0
    planner_reads: int = 0
    failed_reads: Counter[str] = field(default_factory=Counter)
    failed_writes: Counter[str] = field(default_factory=Counter)

    def count(self, outcome: Outcome) -> int:
        """Return the number of writes with an outcome."""
        return sum(write.outcome is outcome for write in self.writes)


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Violations found in a history, as ids of writes."""

    lost: tuple[str, ...]
    doubled: tuple[str, ...]
    ran_though_refused: tuple[str, ...]
    stale_reads: int

    @property
    def is_clean(self) -> bool:
        """Whether no violation was found."""
        violations = (*self.lost, *self.doubled, *self.ran_though_refused)
        return not violations and not self.stale_reads


def check(history: History, rows: Mapping[str, Iterable[str]]) -> Verdict:
    """Compare the history with the write ids in each group's final primary.

    A write of unknown outcome may be stored once or not at all.
    """
    counts = Counter(
        (group, write_id) for group, ids in rows.items() for write_id in ids
    )
    lost, refused = [], []
    for write in history.writes:
        present = counts[write.group, write.write_id]
        if write.outcome is Outcome.acknowledged and not present:
            lost.append(write.write_id)
        if write.outcome is Outcome.not_run and present:
            refused.append(write.write_id)
    doubled = [key[1] for key, count in counts.items() if count > 1]
    return Verdict(
        lost=tuple(lost),
        doubled=tuple(doubled),
        ran_though_refused=tuple(refused),
        stale_reads=history.stale_reads,
    )


def failover_gap_s(
    history: History, group: str, killed_at: float, ended_at: float
) -> float:
    """Return the longest time without an acknowledged write after a kill."""
    times = sorted(
        write.ended_at
        for write in history.writes
        if write.group == group and write.outcome is Outcome.acknowledged
    )
    before = [moment for moment in times if moment <= killed_at]
    after = [moment for moment in times if moment > killed_at]
    moments = [*before[-1:], *after, ended_at]
    pairs = zip(moments, moments[1:], strict=False)
    return max((later - earlier for earlier, later in pairs), default=0)
