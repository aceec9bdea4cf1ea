"""Faults while the control group forms for the first time."""

import asyncio
import signal

from kit.clients import configuration, publish

from faults.processes import Fleet, Program, Record

_KILL_DELAYS_S = (0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.7)
_WATCH_S = 14.0
_DOWN_S = 0.5

GROUP_CASES: dict[str, float] = {
    f'all control hosts killed {delay_s} s after their first start': delay_s
    for delay_s in _KILL_DELAYS_S
}


async def play_group_case(name: str, record: Record) -> str:
    """Kill all control hosts once; return what was seen."""
    fleet = Fleet(record, '127.0.0.1:9', control=3, proxies=0)
    try:
        fleet.start()
        await asyncio.sleep(GROUP_CASES[name])
        await _kill(fleet.control)
        try:
            await asyncio.wait_for(
                publish(fleet, configuration(1, [])), _WATCH_S
            )
        except (TimeoutError, Exception) as error:  # noqa: BLE001
            return f'no change is acknowledged in {_WATCH_S:g} s: {error!r}'
        return ''
    finally:
        await fleet.stop()


async def _kill(hosts: list[Program]) -> None:
    for host in hosts:
        host.send_signal(signal.SIGKILL)
    await asyncio.sleep(_DOWN_S)
