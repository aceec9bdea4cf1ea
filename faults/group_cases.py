"""Faults while the control group forms for the first time."""

import asyncio
import signal
from dataclasses import dataclass

from kit.clients import configuration, publish

from faults.processes import Fleet, Program, Record

_KILL_DELAYS_S = (0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.7)
_RECORD_DELAYS_S = (0, 0.05, 0.1, 0.2, 0.3, 0.5)
_SERIES = 4
_WATCH_S = 14.0
_DOWN_S = 0.5
_RECORD_WAIT_S = 10.0
_POLL_S = 0.002


@dataclass(frozen=True, kw_only=True)
class GroupCase:
    """When the control hosts are killed.

    Parameters
    ----------
    delay_s
        Time in seconds after the start, or after all founding records.
    waits_for_records
        Whether the delay begins when all founding records are there.
    kills
        Number of times that the hosts are killed.
    is_one_at_a_time
        Whether each kill concerns one host, in turn.
    """

    delay_s: float
    waits_for_records: bool = False
    kills: int = 1
    is_one_at_a_time: bool = False


GROUP_CASES: dict[str, GroupCase] = {
    **{
        f'all control hosts killed {delay_s} s after their first start': (
            GroupCase(delay_s=delay_s)
        )
        for delay_s in _KILL_DELAYS_S
    },
    **{
        f'all control hosts killed {delay_s} s after their founding records': (
            GroupCase(delay_s=delay_s, waits_for_records=True)
        )
        for delay_s in _RECORD_DELAYS_S
    },
    'all control hosts killed again and again after their first start': (
        GroupCase(delay_s=0.2, waits_for_records=True, kills=_SERIES)
    ),
    'control hosts killed one after another after their first start': (
        GroupCase(
            delay_s=0.1,
            waits_for_records=True,
            kills=_SERIES,
            is_one_at_a_time=True,
        )
    ),
}


async def play_group_case(name: str, record: Record) -> str:
    """Kill the control hosts; return what was seen."""
    case = GROUP_CASES[name]
    fleet = Fleet(record, '127.0.0.1:9', control=3, proxies=0)
    try:
        fleet.start()
        if case.waits_for_records:
            await _wait_for_records(fleet)
        await asyncio.sleep(case.delay_s)
        records = _records(fleet)
        for number in range(case.kills):
            victim = fleet.control[number % len(fleet.control)]
            await _kill([victim] if case.is_one_at_a_time else fleet.control)
        try:
            await asyncio.wait_for(
                publish(fleet, configuration(1, [])), _WATCH_S
            )
        except (TimeoutError, Exception) as error:  # noqa: BLE001
            return (
                f'no change is acknowledged in {_WATCH_S:g} s: {error!r}; '
                f'{records} of 3 founding records were there'
            )
        return ''
    finally:
        await fleet.stop()


async def _wait_for_records(fleet: Fleet) -> None:
    async with asyncio.timeout(_RECORD_WAIT_S):
        while _records(fleet) < len(fleet.control):
            await asyncio.sleep(_POLL_S)


def _records(fleet: Fleet) -> int:
    return sum(
        (fleet.folder / host.name / 'data' / 'log' / 'founding').exists()
        for host in fleet.control
    )


async def _kill(hosts: list[Program]) -> None:
    for host in hosts:
        if host.is_running:
            host.send_signal(signal.SIGKILL)
    await asyncio.sleep(_DOWN_S)
