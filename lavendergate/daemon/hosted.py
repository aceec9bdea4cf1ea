"""Entry point of the daemon on the hosting platform."""

import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from typing import NoReturn

import anyio

from lavendergate.core.types import HostId
from lavendergate.observability.file_log import JsonEventLog
from lavendergate.observability.log import EventLog
from lavendergate.observability.process_clock import ProcessClock
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.observability.rate_limited_log import RateLimitedEventLog
from lavendergate.observability.session_events import SessionEvent
from lavendergate.platform.settings_file import (
    HostSettings,
    SettingsFileError,
    load_settings,
)

EXIT_USAGE = 2
EXIT_START = 1

_VERSION = '0.1.0'
_SETTINGS_POLL_INTERVAL_S = 1.0
_STDOUT_FD = 1

RunRole = Callable[['HostedProcess'], Awaitable[None]]


class HostedProcess:
    """Settings, signal handling and event log of a process.

    Parameters
    ----------
    settings
        Settings at the start.
    events
        Event log.
    """

    def __init__(self, *, settings: HostSettings, events: EventLog) -> None:
        self._settings = settings
        self._events = events
        self._observers: list[Callable[[HostSettings], None]] = []
        self._stopping = anyio.Event()

    @property
    def settings(self) -> HostSettings:
        """Current settings."""
        return self._settings

    @property
    def events(self) -> EventLog:
        """Event log of the process."""
        return self._events

    def observe(self, observer: Callable[[HostSettings], None]) -> None:
        """Register a function that is called whenever the settings change."""
        self._observers.append(observer)

    async def wait_for_stop(self) -> None:
        """Wait for SIGTERM or SIGINT."""
        await self._stopping.wait()

    async def watch_signals(self) -> None:
        """Handle signals until cancelled: SIGHUP reloads, others stop."""
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as received:
            async for signal_number in received:
                if signal_number == signal.SIGHUP:
                    self.reload()
                else:
                    self._stopping.set()

    async def watch_file(self) -> None:
        """Poll the settings file for changes made without a signal."""
        while True:
            await anyio.sleep(_SETTINGS_POLL_INTERVAL_S)
            self.reload(quiet=True)

    def exit(self) -> NoReturn:
        """End the process at once.

        Running tasks are not awaited: the time allowed for stopping is over,
        and members roll back open transactions when connections close.
        """
        self._events.emit(ProcessEvent.process_stopped)
        os._exit(0)  # noqa: WPS437

    def reload(self, *, quiet: bool = False) -> None:
        """Reload the settings file; keep the settings if it is invalid.

        Parameters
        ----------
        quiet
            Whether to log nothing if the settings are unchanged.
        """
        try:
            settings = load_settings()
        except SettingsFileError as error:
            self._events.emit(
                SessionEvent.settings_reloaded, outcome=str(error)
            )
            return
        is_changed = settings != self._settings
        if is_changed or not quiet:
            outcome = 'changed' if is_changed else 'unchanged'
            self._events.emit(SessionEvent.settings_reloaded, outcome=outcome)
        if is_changed:
            self._settings = settings
            for observer in self._observers:
                observer(settings)


def boottime_s() -> float:
    """Return a monotonic time, in seconds, that includes suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def main(arguments: list[str] | None = None) -> int:
    """Run the role given as the only argument, ``proxy`` or ``control``."""
    # SIGHUP would end a process that has not installed its handler yet. A
    # reload that is ignored here is not lost, because the settings file is
    # polled every second.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
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


if __name__ == '__main__':
    sys.exit(main())
