"""Reads the settings file at the start until it holds.

The platform may still be writing the file, or replace it while it is read.
"""

import os
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from lavendergate.platform.settings_file import (
    SETTLE_S,
    HostSettings,
    IncompleteSettingsError,
    SettingsFileError,
    SettingsVariableError,
    load_settings,
)

# Time for which an unusable settings file is read again, in seconds.
SETTINGS_WAIT_S = 60.0

_READ_INTERVAL_S = 0.05
_STDERR_FD = 2
_NEEDED_ADDRESSES = {
    'proxy': ('front', 'readiness'),
    'control': ('control',),
}


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitedSettings:
    """Settings, and why they were late.

    Parameters
    ----------
    waited_s
        Time until the file held, in seconds.
    reason
        Last problem of the file; empty if the first reading held.
    """

    settings: HostSettings
    waited_s: float = 0
    reason: str = ''


def write_error(text: str) -> None:
    """Write a line to standard error, if it is open and read."""
    with suppress(OSError):
        os.set_blocking(_STDERR_FD, False)
        os.write(_STDERR_FD, f'{text}\n'.encode('utf-8', 'replace'))


def wait_for_settings(
    role: str,
    *,
    clock: Callable[[], float] = time.monotonic,
    sleep: Callable[[float], None] = time.sleep,
    warn: Callable[[str], None] = write_error,
) -> WaitedSettings:
    """Return the settings of a role once the settings file holds.

    Parameters
    ----------
    role
        ``proxy`` or ``control``, which need different addresses.
    clock, sleep
        Monotonic time in seconds, and the pause between two readings.
    warn
        Receives the first problem; by default standard error.

    Raises
    ------
    SettingsFileError
        If the file does not hold within `SETTINGS_WAIT_S`.
    """
    began_at = clock()
    first_problem = True
    reason = ''
    incomplete: HostSettings | None = None
    unchanged_since_s: float = 0
    while True:
        found = _read(role)
        waited_s = clock() - began_at
        if isinstance(found, HostSettings):
            return WaitedSettings(
                settings=found, waited_s=waited_s, reason=reason
            )
        reason = str(found)
        previous, incomplete = incomplete, _incomplete_settings(found)
        if incomplete != previous:
            unchanged_since_s = waited_s
        if incomplete and waited_s - unchanged_since_s >= SETTLE_S:
            return WaitedSettings(
                settings=incomplete, waited_s=waited_s, reason=reason
            )
        if waited_s >= SETTINGS_WAIT_S or not _may_change(found):
            raise found
        if first_problem:
            warn(f'{found}; it is read again')
        first_problem = False
        sleep(_READ_INTERVAL_S)


def _read(role: str) -> HostSettings | SettingsFileError:
    try:
        settings = load_settings()
    except IncompleteSettingsError as error:
        return _missing_address(role, error.settings) or error
    except SettingsFileError as error:
        return error
    return _missing_address(role, settings) or settings


def _incomplete_settings(problem: SettingsFileError) -> HostSettings | None:
    if isinstance(problem, IncompleteSettingsError):
        return problem.settings
    return None


def _may_change(problem: SettingsFileError) -> bool:
    return not isinstance(problem, SettingsVariableError)


def _missing_address(
    role: str, settings: HostSettings
) -> SettingsFileError | None:
    for name in _NEEDED_ADDRESSES[role]:
        if not getattr(settings.bind_addrs, name):
            return SettingsFileError(
                f'bindAddrs.{name} is missing in the settings file: the role '
                f'{role} needs this address to listen on'
            )
    return None
