"""One failover trial: steady writes, a fault, and a check of the data."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.failover_faults import (
    Fault,
    Target,
    find_target,
    term_changes,
)
from benchmarks.fleet import (
    CONNECTION_LIMIT,
    MeasurementError,
    administer,
    group_of,
    healthy_status,
    primary_of,
    written_ids,
)
from benchmarks.steady_writer import SteadyWrite, SteadyWriter
from demo.history import History, Outcome, Write, check
from demo.processes import CALLER_PASSWORD, Fleet

RECOVERY_LIMIT_S = 30.0
_WRITES_BEFORE_FAULT = 20
_BEFORE_FAULT_S = 0.5
_AFTER_RECOVERY_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Trial:
    """Figures of one trial.

    Parameters
    ----------
    gap_before_fault_s
        Longest time between acknowledged writes before the fault, in seconds.
    by_replaced_primary
        Writes that a replaced primary acknowledged: they began after a
        write of a later term had been acknowledged.
    false_promotions
        Changes of primary beyond those that the fault calls for, in all
        groups.
    missing_promotions
        Changes of primary that the fault calls for and that did not happen.
    lacks_connections
        Whether the former primary had no free connection after the trial,
        because connections had gone silent and nobody closed them.
    """

    gap_s: float
    gap_before_fault_s: float
    acknowledged: int
    unknown: int
    not_run: int
    lost: int
    doubled: int
    ran_though_refused: int
    by_replaced_primary: int
    false_promotions: int
    missing_promotions: int
    lacks_connections: bool

    @property
    def violations(self) -> int:
        """Number of writes and promotions that violate a guarantee."""
        return (
            self.lost
            + self.doubled
            + self.ran_though_refused
            + self.by_replaced_primary
            + self.false_promotions
        )


async def run_trial(fleet: Fleet, fault: Fault, group: str, name: str) -> Trial:
    """Run one trial on a fleet that is healthy at its beginning and end."""
    before = await healthy_status(fleet, RECOVERY_LIMIT_S)
    target = find_target(fleet, before, group)
    writer = SteadyWriter(
        ports=tuple(daemon.port for daemon in fleet.daemons),
        user='tablet',
        password=CALLER_PASSWORD,
        group=group,
        name=name,
    )
    writer.start()
    try:
        await _wait_for_writes(writer)
        begun_at = time.monotonic()
        await asyncio.to_thread(fault.begin, target)
        await asyncio.sleep(begun_at + fault.hold_s - time.monotonic())
        await asyncio.to_thread(fault.end, target)
        await _wait_for_promotion(
            writer, fault, begun_at, group_of(before, group).term
        )
        await asyncio.sleep(_AFTER_RECOVERY_S)
        ended_at = time.monotonic()
    finally:
        await writer.stop()
    after = await healthy_status(fleet, RECOVERY_LIMIT_S)
    stored_ids = await asyncio.to_thread(
        written_ids, primary_of(fleet, after, group), name
    )
    group_changes, other_changes = term_changes(before, after, group)
    violations = check(_history_of(writer, group), {group: stored_ids})
    _print_lost(writer.acknowledged(), frozenset(violations.lost), begun_at)
    lacks_connections = await _restart_if_exhausted(target)
    return Trial(
        gap_s=longest_gap_s(writer.acknowledged(), begun_at, ended_at),
        gap_before_fault_s=_gap_before_fault_s(writer.acknowledged(), begun_at),
        acknowledged=len(writer.acknowledged()),
        unknown=_count_outcome(writer, Outcome.unknown),
        not_run=_count_outcome(writer, Outcome.not_run),
        lost=len(violations.lost),
        doubled=len(violations.doubled),
        ran_though_refused=len(violations.ran_though_refused),
        by_replaced_primary=count_by_replaced_primary(writer.acknowledged()),
        false_promotions=max(group_changes - fault.promotions, 0)
        + other_changes,
        missing_promotions=max(fault.promotions - group_changes, 0),
        lacks_connections=lacks_connections,
    )


async def _restart_if_exhausted(target: Target) -> bool:
    """Restart a member without free connections, for the next trials.

    Returns
    -------
    bool
        Whether the member had no free connection and was restarted.
    """
    status_rows = await asyncio.to_thread(
        administer, target.primary, 'CALL group_status()'
    )
    # The status counts the administrator's own connection as well, which does
    # not fall under the limit.
    if int(status_rows[0][-1]) <= CONNECTION_LIMIT:
        return False
    await asyncio.to_thread(target.fleet.kill, target.primary.upstream_id)
    target.fleet.start_member(target.primary)
    return True


def longest_gap_s(
    acknowledged: Sequence[SteadyWrite], begun_at: float, ended_at: float
) -> float:
    """Return the longest time without an acknowledged write after a fault.

    The time is in seconds and ends with the trial at the latest.
    """
    ack_times = [write.ended_at for write in acknowledged]
    before = [time_s for time_s in ack_times if time_s <= begun_at]
    after = [time_s for time_s in ack_times if begun_at < time_s <= ended_at]
    return _longest_interval_s([*before[-1:], *after, ended_at])


def count_by_replaced_primary(acknowledged: Sequence[SteadyWrite]) -> int:
    """Count the writes that a replaced primary acknowledged.

    Such a write began after a write of a later term had been acknowledged.
    """
    first_acknowledged_at: dict[int, float] = {}
    for write in acknowledged:
        if write.term is not None:
            first_acknowledged_at.setdefault(write.term, write.ended_at)
    return sum(
        any(
            term > write.term and time_s < write.begun_at
            for term, time_s in first_acknowledged_at.items()
        )
        for write in acknowledged
        if write.term is not None
    )


def _gap_before_fault_s(
    acknowledged: Sequence[SteadyWrite], begun_at: float
) -> float:
    times = [
        write.ended_at for write in acknowledged if write.ended_at <= begun_at
    ]
    return _longest_interval_s(times)


def _longest_interval_s(times: Sequence[float]) -> float:
    pairs = zip(times, times[1:], strict=False)
    return max((later - earlier for earlier, later in pairs), default=0)


async def _wait_for_writes(writer: SteadyWriter) -> None:
    ends_at = time.monotonic() + RECOVERY_LIMIT_S
    while len(writer.acknowledged()) < _WRITES_BEFORE_FAULT:
        if time.monotonic() > ends_at:
            raise MeasurementError(
                f'{writer.group}: no writes before the fault'
            )
        await asyncio.sleep(_BEFORE_FAULT_S / 10)
    await asyncio.sleep(_BEFORE_FAULT_S)


async def _wait_for_promotion(
    writer: SteadyWriter, fault: Fault, begun_at: float, term: int
) -> None:
    """Wait for a write in a later term, so that the gap is not cut short."""
    ends_at = time.monotonic() + RECOVERY_LIMIT_S
    while fault.promotions and time.monotonic() < ends_at:
        if writer.has_written_since(begun_at, term):
            return
        await asyncio.sleep(_BEFORE_FAULT_S / 10)


def _print_lost(
    acknowledged: Sequence[SteadyWrite], lost: frozenset[str], fault_at: float
) -> None:
    for write in acknowledged:
        if write.write_id in lost:
            print(
                f'lost: {write.write_id}, acknowledged in term {write.term}, '
                f'begun {write.begun_at - fault_at:.3f} s and acknowledged '
                f'{write.ended_at - fault_at:.3f} s after the fault',
                flush=True,
            )


def _history_of(writer: SteadyWriter, group: str) -> History:
    return History(
        writes=[
            Write(
                group=group,
                write_id=write.write_id,
                outcome=write.outcome,
                ended_at=write.ended_at,
            )
            for write in writer.writes
        ]
    )


def _count_outcome(writer: SteadyWriter, outcome: Outcome) -> int:
    return sum(write.outcome is outcome for write in writer.writes)
