"""Opens the storage of a control host at its start.

The former process may hold the lock for a moment, and a disk may be full or
read-only for a time. A host that ended for these reasons would only start
again and meet them again.
"""

import errno
from functools import partial
from pathlib import Path

import anyio
from anyio.to_thread import run_sync as run_in_thread

from lavendergate.core.types import HostId
from lavendergate.daemon.hosted_process import HostedProcess
from lavendergate.daemon.listening import pause
from lavendergate.daemon.start_refusal import ExitCode, StartRefusedError
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.platform.settings_file import HostSettings
from lavendergate.storage.base import (
    LogStorage,
    StorageError,
    UnreadableRecordError,
)
from lavendergate.storage.recovery import open_or_reset

# Time for which a storage that is in use, or a directory that cannot be used,
# is tried again, in seconds.
STORAGE_WAIT_S = 60.0

_RETRY_INTERVAL_S = 0.2
# Interval at which a disk that still refuses is logged again.
_REPORT_INTERVAL_S = 60.0
# Errors of a disk that may take writes again; they are tried without an end.
_DISK_ERRORS = frozenset(
    (
        errno.ENOSPC,
        errno.EDQUOT,
        errno.EFBIG,
        errno.EIO,
        errno.EROFS,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOMEM,
        errno.EAGAIN,
    )
)


def log_directory_of(settings: HostSettings) -> Path:
    """Return the directory of the replicated log.

    Raises
    ------
    StartRefusedError
        If the settings name no data directory. A log elsewhere would not
        outlive the process, and the host would forget what it promised.
    """
    if not settings.data_dir:
        raise StartRefusedError(
            exit_code=ExitCode.storage,
            reason=(
                'dataDir is missing in the settings file: a control host '
                'needs a directory that outlives its process'
            ),
        )
    return Path(settings.data_dir) / 'log'


async def open_storage(
    process: HostedProcess,
) -> tuple[LogStorage, str | None]:
    """Open the storage; try again while it cannot be opened.

    A stop signal ends the process meanwhile.

    Returns
    -------
    The storage, not yet loaded, and why it was reset; None if it was not.

    Raises
    ------
    StartRefusedError
        If the storage is in use, belongs to another host, or its directory
        cannot be used, for `STORAGE_WAIT_S`; at once if this build cannot
        read a record.
    """
    settings = process.settings
    open_log = partial(
        open_or_reset,
        log_directory_of(settings),
        HostId(settings.node_name),
    )
    began_at = anyio.current_time()
    report_at = began_at
    while True:
        try:
            return await run_in_thread(open_log)
        except UnreadableRecordError as error:
            raise StartRefusedError(
                exit_code=ExitCode.storage, reason=str(error)
            ) from error
        except (OSError, StorageError) as error:
            now = anyio.current_time()
            _check_retry(settings, error, now - began_at)
            if now >= report_at:
                process.events.emit(
                    ProcessEvent.disk_refused, reason=str(error)
                )
                report_at = now + _REPORT_INTERVAL_S
        await pause(process, _RETRY_INTERVAL_S)


def _check_retry(
    settings: HostSettings, error: OSError | StorageError, waited_s: float
) -> None:
    if isinstance(error, OSError) and error.errno in _DISK_ERRORS:
        return
    if waited_s < STORAGE_WAIT_S:
        return
    raise StartRefusedError(
        exit_code=ExitCode.storage,
        reason=(
            f'the data directory {settings.data_dir} cannot be used after '
            f'{waited_s:.0f} s: {error}: correct dataDir, its owner or its '
            'rights'
        ),
    ) from error
