"""Measures a naive system, without proxies and control hosts, under faults.

The caller writes to the primary directly, which acknowledges without waiting
for a replica. No replica is promoted and the primary is not fenced.
"""

import asyncio
import shutil
import tempfile
import time
from dataclasses import replace
from pathlib import Path

from benchmarks.failover_faults import FAULTS, Fault, Target
from benchmarks.failover_trial import longest_gap_s
from benchmarks.fleet import (
    START_LIMIT_S,
    TABLE,
    administer,
    until,
    written_ids,
)
from benchmarks.steady_writer import SteadyWriter
from demo.processes import (
    MEMBER_ACCOUNT,
    MEMBER_PASSWORD,
    Fleet,
    Member,
    make_fleet,
)

_NAMES = (
    'crash',
    'pause of 5 s',
    'cut off from its group',
    'cut off from proxies',
)
_BEFORE_S = 1.0
_OBSERVED_S = 8.0
_AFTER_S = 0.5


async def run_naive(directory: Path) -> list[str]:
    """Run each fault once and return one result line for each."""
    faults = [fault for fault in FAULTS if fault.name in _NAMES]
    runs = [
        _run_fault(fault, number, Path(tempfile.mkdtemp(dir=directory)))
        for number, fault in enumerate(faults)
    ]
    return list(await asyncio.gather(*runs))


async def _run_fault(fault: Fault, number: int, directory: Path) -> str:
    fleet = make_fleet(directory)
    group = f'naive-{number}'
    fleet = replace(
        fleet,
        daemons=(),
        members=tuple(
            replace(member, group=group, upstream_id=f'{group}-{index}')
            for index, member in enumerate(fleet.members[:2])
        ),
    )
    try:
        fleet.start()
        primary, replica = fleet.members
        await until(lambda: _form_group(primary, replica), group, START_LIMIT_S)
        return await _measure_fault(fleet, fault, primary, replica)
    finally:
        await asyncio.to_thread(fleet.stop)
        shutil.rmtree(directory)


async def _measure_fault(
    fleet: Fleet, fault: Fault, primary: Member, replica: Member
) -> str:
    writer = SteadyWriter(
        ports=(primary.port,),
        user=MEMBER_ACCOUNT,
        password=MEMBER_PASSWORD,
        group=primary.group,
        name='naive',
        has_tokens=False,
    )
    writer.start()
    target = Target(
        fleet=fleet,
        group=primary.group,
        primary=primary,
        leader=None,  # type: ignore[arg-type]
    )
    await asyncio.sleep(_BEFORE_S)
    begun_at = time.monotonic()
    await asyncio.to_thread(fault.begin, target)
    ends_by_itself = fault.name == 'pause of 5 s'
    if ends_by_itself:
        await asyncio.sleep(begun_at + fault.hold_s - time.monotonic())
        await asyncio.to_thread(fault.end, target)
    await asyncio.sleep(begun_at + _OBSERVED_S - time.monotonic())
    ended_at = time.monotonic()
    last_at = max(
        (one.ended_at for one in writer.acknowledged()), default=begun_at
    )
    on_replica = await asyncio.to_thread(written_ids, replica, 'naive')
    replicated = set(on_replica)
    acknowledged = writer.acknowledged()
    unreplicated = sum(
        one.write_id not in replicated
        for one in acknowledged
        if one.ended_at < ended_at - _AFTER_S
    )
    await writer.stop()
    if ended_at - last_at > _AFTER_S:
        last_s = max(last_at - begun_at, 0)
        gap = (
            f'no write acknowledged from {last_s:.2f} s after the fault until '
            f'the end of the observation at {_OBSERVED_S:g} s; the gap does '
            'not end, as there is no promotion'
        )
    else:
        gap = f'gap {longest_gap_s(acknowledged, begun_at, ended_at):.2f} s'
    return (
        f'naive, {fault.name}: {gap}; {len(acknowledged)} acknowledged, '
        f'{unreplicated} of them on no replica {_AFTER_S:g} s later'
    )


def _form_group(primary: Member, replica: Member) -> bool:
    try:
        administer(primary, 'CALL group_fence(1)')
        administer(primary, 'CALL group_promote(1)')
        administer(primary, TABLE)
        administer(
            replica, f"CALL group_follow(1, '127.0.0.1', {primary.port})"
        )
    except Exception:
        return False
    return True
