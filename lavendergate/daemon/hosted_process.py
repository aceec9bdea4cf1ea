"""Settings, signals, end and event log of a process on the platform."""

import os
import signal
import time
from collections.abc import Awaitable, Callable
from typing import NoReturn

import anyio

from lavendergate.daemon.hosted.own_settings import OwnSettings
from lavendergate.daemon.process_end import ProcessEnd
from lavendergate.observability.log import EventLog
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.observability.session_events import SessionEvent
from lavendergate.platform.settings_file import (
    SETTLE_S,
    HostSettings,
    IncompleteSettingsError,
    SettingsFileError,
    load_settings,
)
from lavendergate.supervision.boundary import Boundary
from lavendergate.supervision.error_text import (
    place_of,
    reason_of,
    traceback_of,
)
from lavendergate.supervision.unhandled import UnhandledErrors

# Status of a process that an unexpected error ended.
EXIT_FAILED = 3

_SETTINGS_POLL_INTERVAL_S = 1.0
# Interval at which a settings file that stays invalid is logged again.
_INVALID_REPORT_INTERVAL_S = 60.0


class HostedProcess:
    """Settings, signal handling, end and event log of a process.

    Parameters
    ----------
    settings
        Settings at the start.
    events
        Event log.
    own_settings
        Settings that the settings file does not hold.
    """

    def __init__(
        self,
        *,
        settings: HostSettings,
        events: EventLog,
        own_settings: OwnSettings | None = None,
    ) -> None:
        self._settings = settings
        self._own_settings = own_settings or OwnSettings()
        self._events = events
        self._boundary = Boundary(events=events)
        self._end = ProcessEnd(data_dir=settings.data_dir, events=events)
        self._observers: list[Callable[[HostSettings], None]] = []
        self._stopping = anyio.Event()
        self._stop_reason = ''
        # Why the settings file is invalid now, and when to log it again.
        self._problem = ''
        self._next_report = float('-inf')
        self._incomplete: HostSettings | None = None
        self._incomplete_since = float('-inf')

    @property
    def settings(self) -> HostSettings:
        """Current settings."""
        return self._settings

    @property
    def own_settings(self) -> OwnSettings:
        """Settings that the settings file does not hold."""
        return self._own_settings

    @property
    def events(self) -> EventLog:
        """Event log of the process."""
        return self._events

    @property
    def boundary(self) -> Boundary:
        """Contains the unexpected errors of all activities of the process."""
        return self._boundary

    @property
    def end(self) -> ProcessEnd:
        """How the previous process ended, and the record of this one."""
        return self._end

    def observe(self, observer: Callable[[HostSettings], None]) -> None:
        """Register a function that is called whenever the settings change."""
        self._observers.append(observer)

    async def run(
        self, run_role: Callable[['HostedProcess'], Awaitable[None]]
    ) -> None:
        """Run a role, with the watchers of signals and settings beside it.

        An error of the role ends the process with status `EXIT_FAILED`.
        """
        UnhandledErrors(boundary=self._boundary, events=self._events).install()
        try:
            async with anyio.create_task_group() as tasks:
                for name, watch in (
                    ('signals', self.watch_signals),
                    ('settings file', self.watch_file),
                ):
                    tasks.start_soon(self._boundary.keep_running, name, watch)
                await run_role(self)
        except Exception as error:
            self._fail(error)

    async def wait_for_stop(self) -> None:
        """Wait for SIGTERM or SIGINT."""
        await self._stopping.wait()

    async def watch_signals(self) -> None:
        """Handle signals until cancelled: SIGHUP reloads, others stop."""
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as received:
            async for signal_number in received:
                # The receiver stays open: without it a signal would end the
                # process.
                with self._boundary.contain('signal'):
                    self._handle_signal(signal_number)

    async def watch_file(self) -> None:
        """Poll the settings file for changes made without a signal."""
        while True:
            await anyio.sleep(_SETTINGS_POLL_INTERVAL_S)
            self.reload(quiet=True)

    def exit(self) -> NoReturn:
        """End the process at once, with status 0.

        Running tasks are not awaited: the time allowed for stopping is over,
        and members roll back open transactions when connections close.
        """
        self._events.emit(
            ProcessEvent.process_stopped, reason=self._stop_reason
        )
        self._end.save(status=0, reason=self._stop_reason)
        os._exit(0)  # noqa: WPS437

    def reload(self, *, quiet: bool = False) -> None:
        """Reload the settings file; keep the settings if it is invalid.

        Parameters
        ----------
        quiet
            Whether to log nothing if the settings are unchanged.
        """
        try:
            settings = load_settings(self._settings)
        except IncompleteSettingsError as error:
            self._report_invalid(str(error), quiet=quiet)
            if not self._has_settled(error.settings):
                return
            settings = error.settings
        except SettingsFileError as error:
            self._report_invalid(str(error), quiet=quiet)
            return
        was_invalid, self._problem = bool(self._problem), ''
        is_changed = settings != self._settings
        if is_changed or was_invalid or not quiet:
            outcome = 'changed' if is_changed else 'unchanged'
            self._events.emit(SessionEvent.settings_reloaded, outcome=outcome)
        if is_changed:
            self._settings = settings
            for observer in self._observers:
                with self._boundary.contain('settings observer'):
                    observer(settings)

    def _has_settled(self, incomplete: HostSettings) -> bool:
        """Return whether a file without some former keys stays as it is."""
        now = anyio.current_time()
        if incomplete != self._incomplete:
            self._incomplete = incomplete
            self._incomplete_since = now
        return now - self._incomplete_since >= SETTLE_S

    def _handle_signal(self, signal_number: signal.Signals) -> None:
        if signal_number == signal.SIGHUP:
            self.reload()
        else:
            self._stop_reason = self._stop_reason or signal_number.name
            self._stopping.set()

    def _report_invalid(self, problem: str, *, quiet: bool) -> None:
        now = anyio.current_time()
        if quiet and problem == self._problem and now < self._next_report:
            return
        self._problem = problem
        self._next_report = now + _INVALID_REPORT_INTERVAL_S
        self._events.emit(SessionEvent.settings_reloaded, outcome=problem)

    def _fail(self, error: Exception) -> NoReturn:
        reason, place = reason_of(error), place_of(error)
        self._events.emit(
            ProcessEvent.process_failed,
            status=EXIT_FAILED,
            reason=reason,
            place=place,
            traceback=traceback_of(error),
        )
        self._end.save(status=EXIT_FAILED, reason=reason, place=place)
        os._exit(EXIT_FAILED)  # noqa: WPS437


def boottime_s() -> float:
    """Return a monotonic time, in seconds, that includes suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
