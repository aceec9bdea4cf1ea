"""Settings file and data directory that cannot be used for a moment."""

import fcntl
import shutil
from collections.abc import Awaitable, Callable

from faults.processes import (
    Disturbance,
    DisturbedProcess,
    Program,
    accepts,
    outcome,
    reachable,
    served,
)

_DELAY_S = 1.0
_WATCH_S = 3.0
_NO_LIMIT = -1

FileCase = Callable[[DisturbedProcess, Program], Awaitable[str]]


def cut_before(table: str) -> FileCase:
    """The settings file ends before a table for 1 s."""

    async def play(process: DisturbedProcess, program: Program) -> str:
        process.start(
            Disturbance(settings=lambda text: text[: text.index(f'[{table}]')])
        )
        status = await process.wait_for_end(_DELAY_S)
        process.write_settings()
        return await _goes_on(process, program, status)

    return play


async def settings_missing(process: DisturbedProcess, program: Program) -> str:
    """There is no settings file for 1 s."""
    process.start(Disturbance())
    process.settings_path.unlink()
    status = await process.wait_for_end(_DELAY_S)
    process.write_settings()
    return await _goes_on(process, program, status)


async def settings_unreadable(
    process: DisturbedProcess, program: Program
) -> str:
    """A directory is in the place of the settings file for 1 s."""
    process.start(Disturbance())
    process.settings_path.unlink()
    process.settings_path.mkdir()
    status = await process.wait_for_end(_DELAY_S)
    process.settings_path.rmdir()
    process.write_settings()
    return await _goes_on(process, program, status)


async def settings_cut_later(
    process: DisturbedProcess, program: Program
) -> str:
    """The settings file of a running process is empty, cut, and gone."""
    process.start(Disturbance())
    if not await accepts(served(program)):
        return 'did not start'
    whole = process.settings_path.read_text()
    for part in ('', whole[: whole.index('[bounds]')], whole[:-3]):
        process.write_settings(part)
        status = await process.wait_for_end(_DELAY_S + 0.2)
        if status is not None:
            return outcome(status)
    process.settings_path.unlink()
    status = await process.wait_for_end(_DELAY_S + 0.2)
    process.write_settings()
    return await _goes_on(process, program, status)


async def data_directory_is_a_file(
    process: DisturbedProcess, program: Program
) -> str:
    """The data directory is a file for 1 s."""
    process.data_directory.write_text('not a directory')
    process.start(Disturbance())
    status = await process.wait_for_end(_DELAY_S)
    process.data_directory.unlink()
    return await _goes_on(process, program, status)


async def lock_is_held(process: DisturbedProcess, program: Program) -> str:
    """Another process holds the lock of the storage for 1 s."""
    folder = process.data_directory / 'log'
    folder.mkdir(parents=True)
    with (folder / 'lock').open('w') as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        process.start(Disturbance())
        status = await process.wait_for_end(_DELAY_S)
    return await _goes_on(process, program, status)


async def disk_refuses_at_start(
    process: DisturbedProcess, program: Program
) -> str:
    """No byte can be written for 1 s."""
    process.start(Disturbance(max_file_bytes=0))
    status = await process.wait_for_end(_DELAY_S)
    process.limit_file_size(_NO_LIMIT)
    return await _goes_on(process, program, status)


async def disk_refuses_later(
    process: DisturbedProcess, program: Program
) -> str:
    """No byte can be written for 3 s, some time after the start."""
    process.start(Disturbance())
    if not await accepts(served(program)):
        return 'did not start'
    process.limit_file_size(0)
    status = await process.wait_for_end(_WATCH_S)
    process.limit_file_size(_NO_LIMIT)
    return await _goes_on(process, program, status)


async def torn_files(process: DisturbedProcess, program: Program) -> str:
    """Each file of the log is cut in half, or empty, before a start."""
    process.start(Disturbance())
    if not await accepts(served(program)):
        return 'did not start'
    process.end()
    folder = process.data_directory / 'log'
    for name in ('identity', 'log', 'founding'):
        for part in (0, 2):
            path = folder / name
            whole = path.read_bytes() if path.exists() else b''
            path.write_bytes(whole[: len(whole) // 2] if part else b'')
            process.start(Disturbance(is_first_start=False))
            if not await accepts(served(program)):
                return f'does not start with a part of {name}'
            process.end()
    shutil.rmtree(folder)
    process.start(Disturbance(is_first_start=False))
    return await reachable(program)


async def _goes_on(
    process: DisturbedProcess, program: Program, status: int | None
) -> str:
    if status is None:
        status = await process.wait_for_end(_WATCH_S)
    return outcome(status) or await reachable(program)


# Cases of both roles, and those of control hosts, which have a disk.
FILE_CASES: dict[str, FileCase] = {
    **{
        f'settings file cut before [{table}] for 1 s': cut_before(table)
        for table in ('bindAddrs', 'bounds', 'cloudApi')
    },
    'settings file missing for 1 s': settings_missing,
    'settings file unreadable for 1 s': settings_unreadable,
    'settings file cut while the process runs': settings_cut_later,
}
DISK_CASES: dict[str, FileCase] = {
    'data directory is a file for 1 s': data_directory_is_a_file,
    'lock of the storage held for 1 s': lock_is_held,
    'disk refuses writes for 1 s at the start': disk_refuses_at_start,
    'disk refuses writes for 3 s later': disk_refuses_later,
    'torn files of the storage': torn_files,
}
