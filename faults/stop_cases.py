"""A stop, alone or beside other signals, while a process starts."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from faults.processes import (
    Disturbance,
    DisturbedProcess,
    Program,
    reachable,
)

_DELAYS_S = (0.03, 0.1, 0.2, 0.3, 0.5)
_BEGIN_DELAYS_S = (0.002, 0.01, 0.03, 0.1, 0.2, 0.4)
_END_WAIT_S = 10.0
_STOPPED = 0
_SERIES = 20
_SERIES_INTERVAL_S = 0.03

StopCase = Callable[[DisturbedProcess, Program], Awaitable[str]]


def stopped_by(*numbers: signal.Signals, delay_s: float) -> StopCase:
    """Signals some time after the start, then a second start."""

    async def play(process: DisturbedProcess, program: Program) -> str:
        process.start(Disturbance())
        await asyncio.sleep(delay_s)
        had_begun = process.has_begun
        for number in numbers:
            process.send_signal(number)
        finding = await _ended_as_asked(process, program, numbers)
        if finding and not had_begun:
            return f'{finding}, before its first line'
        return finding

    return play


def stopped_after_begin(number: signal.Signals, delay_s: float) -> StopCase:
    """Signal some time after the first line of the program."""

    async def play(process: DisturbedProcess, program: Program) -> str:
        process.start(Disturbance())
        await process.wait_for_begin()
        await asyncio.sleep(delay_s)
        process.send_signal(number)
        return await _ended_as_asked(process, program, ())

    return play


async def hangups_then_stop(process: DisturbedProcess, program: Program) -> str:
    """SIGHUP in series from 0.2 s on, SIGTERM in between."""
    process.start(Disturbance())
    await asyncio.sleep(0.2)
    for number in range(_SERIES):
        process.send_signal(signal.SIGHUP)
        if number == _SERIES // 2:
            process.send_signal(signal.SIGTERM)
        await asyncio.sleep(_SERIES_INTERVAL_S)
    return await _ended_as_asked(process, program, (signal.SIGTERM,))


async def _ended_as_asked(
    process: DisturbedProcess,
    program: Program,
    numbers: tuple[signal.Signals, ...],
) -> str:
    status = await process.wait_for_end(_END_WAIT_S)
    if status is None:
        return f'still runs {_END_WAIT_S:g} s after the stop'
    # Before the first line of the program, a signal has its default action.
    if status not in {_STOPPED, *(-number for number in numbers)}:
        return f'ended with status {status}'
    if 'Traceback' in process.output:
        return 'ended with a traceback'
    process.start(Disturbance(is_first_start=False))
    return await reachable(program)


STOP_CASES: dict[str, StopCase] = {
    **{
        f'{number.name} {delay_s} s after the start': stopped_by(
            number, delay_s=delay_s
        )
        for number in (signal.SIGTERM, signal.SIGINT)
        for delay_s in _DELAYS_S
    },
    **{
        f'{number.name} {delay_s} s after the first line': stopped_after_begin(
            number, delay_s
        )
        for number in (signal.SIGTERM, signal.SIGINT)
        for delay_s in _BEGIN_DELAYS_S
    },
    'SIGHUP and SIGTERM 0.2 s after the start': stopped_by(
        signal.SIGHUP, signal.SIGTERM, delay_s=0.2
    ),
    'SIGTERM and SIGHUP 0.2 s after the start': stopped_by(
        signal.SIGTERM, signal.SIGHUP, delay_s=0.2
    ),
    'SIGHUP in series, SIGTERM in between': hangups_then_stop,
}
