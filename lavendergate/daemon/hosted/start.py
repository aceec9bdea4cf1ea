"""Runs a role of the daemon on the hosting platform."""

import os
import sys
import time
from collections.abc import Awaitable, Callable

import anyio

from lavendergate.core.types import HostId
from lavendergate.daemon.hosted_process import HostedProcess
from lavendergate.observability.file_log import JsonEventLog
from lavendergate.observability.log import EventLog
from lavendergate.observability.process_clock import ProcessClock
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.observability.rate_limited_log import RateLimitedEventLog
from lavendergate.platform.settings_file import (
    HostSettings,
    SettingsFileError,
    load_settings,
)

EXIT_USAGE = 2
EXIT_START = 1

_VERSION = '0.1.0'
_STDOUT_FD = 1

RunRole = Callable[[HostedProcess], Awaitable[None]]


def main(arguments: list[str] | None = None) -> int:
    """Run the role given as the only argument, ``proxy`` or ``control``."""
    words = sys.argv[1:] if arguments is None else arguments
    role = words[0] if len(words) == 1 else ''
    if role not in {'proxy', 'control'}:
        sys.stderr.write(
            f'unknown role {role!r}: expected "proxy" or "control"\n'
        )
        return EXIT_USAGE
    try:
        settings = load_settings()
    except SettingsFileError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_START
    anyio.run(_run, _load_role(role), settings, role)
    return 0


def _load_role(role: str) -> RunRole:
    # Importing only the chosen role saves memory and start time.
    if role == 'proxy':
        from lavendergate.daemon.hosted_proxy import (  # noqa: WPS433
            run_proxy,
        )

        return run_proxy
    from lavendergate.daemon.hosted_control import (  # noqa: WPS433
        run_control,
    )

    return run_control


async def _run(run_role: RunRole, settings: HostSettings, role: str) -> None:
    events = _open_log(settings)
    process = HostedProcess(settings=settings, events=events)
    events.emit(
        ProcessEvent.process_started,
        software_version=_VERSION,
        roles=role,
        region=settings.region,
        failure_domain=settings.zone,
        address=settings.internal_address,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(process.watch_signals)
        tasks.start_soon(process.watch_file)
        await run_role(process)


def _open_log(settings: HostSettings) -> EventLog:
    # A stalled reader of stdout must not block the process: lines that do
    # not fit into the pipe are dropped and counted.
    os.set_blocking(_STDOUT_FD, False)
    stream = os.fdopen(_STDOUT_FD, 'wb', buffering=0, closefd=False)
    target = JsonEventLog(
        host=HostId(settings.node_name), clock=ProcessClock(), stream=stream
    )
    return RateLimitedEventLog(target=target, clock=time.monotonic)
