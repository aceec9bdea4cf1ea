"""Faults around the start of one process."""

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator, Awaitable, Callable

from faults.processes import (
    Disturbance,
    DisturbedProcess,
    Fleet,
    Program,
    Record,
    accepts,
    take_port,
)
from faults.start_file_cases import DISK_CASES, FILE_CASES
from faults.stop_cases import STOP_CASES

_METRICS_PORT = 9464
_SIGNAL_DELAYS_S = (0.03, 0.06, 0.1, 0.2, 0.3, 0.5)
_HANGUPS = 100
_HANGUP_INTERVAL_S = 0.01
_SETTINGS_DELAY_S = 1.0
_PORT_DELAY_S = 2.0
_WATCH_S = 3.0
_ROLES = ('proxy', 'control')
_DESCRIPTORS = 64
_CONNECTIONS = 150

# What a case saw; an empty text if the process went on.
Finding = str
StartCase = Callable[[DisturbedProcess, Program], Awaitable[Finding]]


def _outcome(status: int | None) -> Finding:
    return '' if status is None else f'ended by itself with status {status}'


def hangup_after(delay_s: float) -> StartCase:
    """SIGHUP some time after the start."""

    async def play(process: DisturbedProcess, program: Program) -> Finding:
        process.start(Disturbance())
        await asyncio.sleep(delay_s)
        had_begun = process.has_begun
        process.send_signal(signal.SIGHUP)
        finding = _outcome(await process.wait_for_end(_WATCH_S))
        if finding and not had_begun:
            return f'{finding}, before its first line'
        return finding

    return play


async def hangups_from_begin(
    process: DisturbedProcess, program: Program
) -> Finding:
    """SIGHUP every 10 ms for 1 s, from the first line of the program on."""
    process.start(Disturbance())
    await process.wait_for_begin()
    for _ in range(_HANGUPS):
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(_HANGUP_INTERVAL_S)
    return _outcome(await process.wait_for_end(_WATCH_S)) or await _reachable(
        program
    )


def settings_written_late(cut: Callable[[str], str]) -> StartCase:
    """The settings file is completed some time after the start."""

    async def play(process: DisturbedProcess, program: Program) -> Finding:
        process.start(Disturbance(settings=cut))
        status = await process.wait_for_end(_SETTINGS_DELAY_S)
        process.write_settings()
        if status is None:
            status = await process.wait_for_end(_WATCH_S)
        return _outcome(status) or await _reachable(program)

    return play


async def metrics_port_taken(
    process: DisturbedProcess, program: Program
) -> Finding:
    """The port of the metrics is taken for a moment."""
    taken = take_port(program.ip, _METRICS_PORT)
    process.start(Disturbance())
    status = await process.wait_for_end(_PORT_DELAY_S)
    taken.close()
    if status is None:
        status = await process.wait_for_end(_WATCH_S)
    return _outcome(status) or await _reachable(program)


async def served_port_taken(
    process: DisturbedProcess, program: Program
) -> Finding:
    """The port that the role serves is taken for a moment."""
    taken = take_port(*_served(program))
    process.start(Disturbance())
    status = await process.wait_for_end(_PORT_DELAY_S)
    taken.close()
    if status is None:
        status = await process.wait_for_end(_WATCH_S)
    return _outcome(status) or await _reachable(program)


async def output_closed(process: DisturbedProcess, program: Program) -> Finding:
    """Standard output is closed."""
    process.start(Disturbance(has_output=False))
    return _outcome(await process.wait_for_end(_WATCH_S)) or await _reachable(
        program
    )


async def descriptors_used_up(
    process: DisturbedProcess, program: Program
) -> Finding:
    """More connections than descriptors, then a new one when they closed."""
    process.start(Disturbance(descriptors=_DESCRIPTORS))
    if not await accepts(_served(program)):
        return f'did not start: {_outcome(process.status)}'
    async with contextlib.AsyncExitStack() as connections:
        for _ in range(_CONNECTIONS):
            await connections.enter_async_context(_connection(program))
        status = await process.wait_for_end(_WATCH_S)
    return _outcome(status) or await _reachable(program)


@contextlib.asynccontextmanager
async def _connection(program: Program) -> AsyncIterator[None]:
    writer = None
    with contextlib.suppress(OSError, TimeoutError):
        _, writer = await asyncio.wait_for(
            asyncio.open_connection(*_served(program)), 1
        )
    yield
    if writer is not None:
        writer.close()


def _served(program: Program) -> tuple[str, int]:
    return program.front if program.role == 'proxy' else program.control


async def _reachable(program: Program) -> Finding:
    return '' if await accepts(_served(program)) else 'does not serve'


START_CASES: dict[str, StartCase] = {
    **{
        f'SIGHUP {delay_s} s after the start': hangup_after(delay_s)
        for delay_s in _SIGNAL_DELAYS_S
    },
    'SIGHUP in series from the first line on': hangups_from_begin,
    'settings file empty for 1 s': settings_written_late(lambda text: ''),
    'settings file half written for 1 s': settings_written_late(
        lambda text: text[: len(text) // 2]
    ),
    'port of the metrics taken for 2 s': metrics_port_taken,
    'port of the role taken for 2 s': served_port_taken,
    'standard output closed': output_closed,
    'more connections than descriptors': descriptors_used_up,
    **STOP_CASES,
    **FILE_CASES,
    **DISK_CASES,
}


def roles_of(name: str) -> tuple[str, ...]:
    """Return the roles that a case concerns."""
    return ('control',) if name in DISK_CASES else _ROLES


async def play_start_case(name: str, role: str, record: Record) -> Finding:
    """Play one case on a process of its own; return what was seen."""
    fleet = Fleet(record, '127.0.0.1:9', control=3, proxies=1)
    program = (fleet.proxies if role == 'proxy' else fleet.control)[0]
    process = DisturbedProcess(fleet=fleet, program=program)
    try:
        return await START_CASES[name](process, program)
    finally:
        process.end()
        await fleet.stop()
