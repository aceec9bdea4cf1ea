"""Runs a role of the daemon on the hosting platform."""

import os
import sys
import time
from collections.abc import Awaitable, Callable
from functools import partial

import anyio

from lavendergate.core.types import HostId
from lavendergate.daemon.hosted.own_settings import (
    OwnSettings,
    read_own_settings,
)
from lavendergate.daemon.hosted.settings_wait import (
    WaitedSettings,
    wait_for_settings,
    write_error,
)
from lavendergate.daemon.hosted_process import HostedProcess
from lavendergate.daemon.start_refusal import ExitCode, StartRefusedError
from lavendergate.observability.file_log import JsonEventLog
from lavendergate.observability.log import EventLog
from lavendergate.observability.process_clock import ProcessClock
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.observability.rate_limited_log import RateLimitedEventLog
from lavendergate.observability.standard_output import (
    STANDARD_OUTPUT,
    LineStream,
)
from lavendergate.platform.settings_file import (
    HostSettings,
    SettingsFileError,
)

_VERSION = '0.1.0'
_MS_PER_S = 1000

RunRole = Callable[[HostedProcess], Awaitable[None]]


def main(arguments: list[str] | None = None) -> int:
    """Run the role given as the only argument, ``proxy`` or ``control``."""
    words = sys.argv[1:] if arguments is None else arguments
    role = words[0] if len(words) == 1 else ''
    if role not in {'proxy', 'control'}:
        write_error(f'unknown role {role!r}: expected "proxy" or "control"')
        return ExitCode.usage
    try:
        own_settings = read_own_settings(os.environ)
        waited = wait_for_settings(role)
    except SettingsFileError as error:
        write_error(
            f'the process ends with status {ExitCode.settings}: {error}'
        )
        return ExitCode.settings
    run_role = partial(_run_or_refuse, _load_role(role), waited)
    anyio.run(_run, run_role, waited.settings, own_settings, role)
    return ExitCode.stopped


async def _run_or_refuse(
    run_role: RunRole, waited: WaitedSettings, process: HostedProcess
) -> None:
    """Run a role; end the process if the role cannot be served."""
    if waited.reason:
        process.events.emit(
            ProcessEvent.settings_late,
            duration_ms=round(waited.waited_s * _MS_PER_S),
            reason=waited.reason,
        )
    try:
        await run_role(process)
    except* StartRefusedError as refused:
        refusal = _first_refusal(refused)
        process.events.emit(
            ProcessEvent.start_refused,
            status=refusal.exit_code,
            reason=str(refusal),
        )
        process.end.save(status=refusal.exit_code, reason=str(refusal))
        write_error(str(refusal))
        os._exit(refusal.exit_code)  # noqa: WPS437


def _first_refusal(
    error: BaseExceptionGroup[StartRefusedError] | StartRefusedError,
) -> StartRefusedError:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


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


async def _run(
    run_role: RunRole,
    settings: HostSettings,
    own_settings: OwnSettings,
    role: str,
) -> None:
    events = _open_log(settings)
    process = HostedProcess(
        settings=settings, events=events, own_settings=own_settings
    )
    process.end.report_previous()
    events.emit(
        ProcessEvent.process_started,
        software_version=_VERSION,
        roles=role,
        region=settings.region,
        failure_domain=settings.zone,
        address=settings.internal_address,
    )
    await process.run(run_role)


def _open_log(settings: HostSettings) -> EventLog:
    target = JsonEventLog(
        host=HostId(settings.node_name),
        clock=ProcessClock(),
        stream=LineStream(STANDARD_OUTPUT),
    )
    return RateLimitedEventLog(target=target, clock=time.monotonic)
