"""One trial: a steady writer, a fault, and what the data says afterwards."""

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
_WRITES_BEFORE = 20
_QUIET_S = 0.5
_AFTER_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Trial:
    """Figures of one trial.

    Parameters
    ----------
    quiet_gap_s
        Longest time without an acknowledged write before the fault.
    by_replaced
        Writes that began after one of a later term was acknowledged and
        that were acknowledged in an earlier term.
    false_promotions
        Changes of primary beyond those that the fault calls for, in all
        groups.
    missing_promotions
        Changes of primary that the fault calls for and that did not happen.
    is_full
        Whether the former primary's connections were used up after the
        trial, by connections that went silent and that nobody closed.
    """

    gap_s: float
    quiet_gap_s: float
    acknowledged: int
    unknown: int
    not_run: int
    lost: int
    doubled: int
    ran_though_refused: int
    by_replaced: int
    false_promotions: int
    missing_promotions: int
    is_full: bool

    @property
    def violations(self) -> int:
        """Number of writes and promotions that must not be."""
        return (
            self.lost
            + self.doubled
            + self.ran_though_refused
            + self.by_replaced
            + self.false_promotions
        )


async def run_trial(fleet: Fleet, fault: Fault, group: str, name: str) -> Trial:
    """Run one trial on a healthy fleet."""
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
        await asyncio.sleep(_AFTER_S)
        ended_at = time.monotonic()
    finally:
        await writer.stop()
    after = await healthy_status(fleet, RECOVERY_LIMIT_S)
    rows = await asyncio.to_thread(
        written_ids, primary_of(fleet, after, group), name
    )
    own, others = term_changes(before, after, group)
    verdict = check(_history(writer, group), {group: rows})
    _print_lost(writer.acknowledged(), frozenset(verdict.lost), begun_at)
    is_full = await _restart_if_full(target)
    return Trial(
        gap_s=longest_gap_s(writer.acknowledged(), begun_at, ended_at),
        quiet_gap_s=_quiet_gap_s(writer.acknowledged(), begun_at),
        acknowledged=len(writer.acknowledged()),
        unknown=_count(writer, Outcome.unknown),
        not_run=_count(writer, Outcome.not_run),
        lost=len(verdict.lost),
        doubled=len(verdict.doubled),
        ran_though_refused=len(verdict.ran_though_refused),
        by_replaced=count_by_replaced(writer.acknowledged()),
        false_promotions=max(own - fault.promotions, 0) + others,
        missing_promotions=max(fault.promotions - own, 0),
        is_full=is_full,
    )


async def _restart_if_full(target: Target) -> bool:
    """Restart a member without free connections for the next trials."""
    row = await asyncio.to_thread(
        administer, target.primary, 'CALL group_status()'
    )
    # The administrator's own connection is beyond the limit.
    if int(row[0][-1]) <= CONNECTION_LIMIT:
        return False
    await asyncio.to_thread(target.fleet.kill, target.primary.upstream_id)
    target.fleet.start_member(target.primary)
    return True


def longest_gap_s(
    acknowledged: Sequence[SteadyWrite], begun_at: float, ended_at: float
) -> float:
    """Return the longest time without an acknowledgement after a fault."""
    times = [one.ended_at for one in acknowledged]
    before = [moment for moment in times if moment <= begun_at]
    after = [moment for moment in times if begun_at < moment <= ended_at]
    return _longest([*before[-1:], *after, ended_at])


def count_by_replaced(acknowledged: Sequence[SteadyWrite]) -> int:
    """Count acknowledgements of a term that began after a later term's."""
    first_at: dict[int, float] = {}
    for one in acknowledged:
        if one.term is not None:
            first_at.setdefault(one.term, one.ended_at)
    return sum(
        any(
            term > one.term and moment < one.begun_at
            for term, moment in first_at.items()
        )
        for one in acknowledged
        if one.term is not None
    )


def _quiet_gap_s(acknowledged: Sequence[SteadyWrite], begun_at: float) -> float:
    times = [one.ended_at for one in acknowledged if one.ended_at <= begun_at]
    return _longest(times)


def _longest(moments: Sequence[float]) -> float:
    pairs = zip(moments, moments[1:], strict=False)
    return max((later - earlier for earlier, later in pairs), default=0)


async def _wait_for_writes(writer: SteadyWriter) -> None:
    ends_at = time.monotonic() + RECOVERY_LIMIT_S
    while len(writer.acknowledged()) < _WRITES_BEFORE:
        if time.monotonic() > ends_at:
            raise MeasurementError(
                f'{writer.group}: no writes before the fault'
            )
        await asyncio.sleep(_QUIET_S / 10)
    await asyncio.sleep(_QUIET_S)


async def _wait_for_promotion(
    writer: SteadyWriter, fault: Fault, begun_at: float, term: int
) -> None:
    """Wait for a write in a later term, so that the gap is not cut short."""
    ends_at = time.monotonic() + RECOVERY_LIMIT_S
    while fault.promotions and time.monotonic() < ends_at:
        if writer.has_written_since(begun_at, term):
            return
        await asyncio.sleep(_QUIET_S / 10)


def _print_lost(
    acknowledged: Sequence[SteadyWrite], lost: frozenset[str], fault_at: float
) -> None:
    for one in acknowledged:
        if one.write_id in lost:
            print(
                f'lost: {one.write_id}, acknowledged in term {one.term}, '
                f'begun {one.begun_at - fault_at:.3f} s and acknowledged '
                f'{one.ended_at - fault_at:.3f} s after the fault',
                flush=True,
            )


def _history(writer: SteadyWriter, group: str) -> History:
    return History(
        writes=[
            Write(
                group=group,
                write_id=one.write_id,
                outcome=one.outcome,
                ended_at=one.ended_at,
            )
            for one in writer.writes
        ]
    )


def _count(writer: SteadyWriter, outcome: Outcome) -> int:
    return sum(one.outcome is outcome for one in writer.writes)
