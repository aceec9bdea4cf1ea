"""Settings, signals and event log of a process on the hosting platform."""

import os
import signal
import time
from collections.abc import Callable
from typing import NoReturn

import anyio

from lavendergate.observability.log import EventLog
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.observability.session_events import SessionEvent
from lavendergate.platform.settings_file import (
    HostSettings,
    SettingsFileError,
    load_settings,
)
from lavendergate.supervision.boundary import Boundary

_SETTINGS_POLL_INTERVAL_S = 1.0


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
        self._boundary = Boundary(events=events)
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

    @property
    def boundary(self) -> Boundary:
        """Contains the unexpected errors of all activities of the process."""
        return self._boundary

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
            settings = load_settings(self._settings)
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
