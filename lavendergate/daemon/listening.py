"""Starts listeners whose address may be taken for a moment.

A process that just ended, or a connection of another program, can hold a port
at the start, and the address of a host can appear after its processes.
"""

import errno
import math
from collections.abc import Awaitable, Callable
from functools import partial

import anyio

from lavendergate.daemon.hosted_process import HostedProcess
from lavendergate.daemon.start_refusal import ExitCode, StartRefusedError
from lavendergate.observability.process_events import ProcessEvent

# Time for which a listener that the role needs is tried again, in seconds.
ADDRESS_WAIT_S = 60.0

_RETRY_INTERVAL_S = 0.1
_MS_PER_S = 1000
# Errors that pass: the address is taken, or connections that came before the
# last listener use up the descriptors.
_TEMPORARY = frozenset(
    (
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)

StartListener = Callable[[], Awaitable[object]]


async def listen(
    process: HostedProcess,
    address: str,
    start: StartListener,
    *,
    limit_s: float = ADDRESS_WAIT_S,
    wait: Callable[[HostedProcess, float], Awaitable[None]] | None = None,
) -> None:
    """Start a listener; try again while its address is taken.

    Parameters
    ----------
    address
        Address of the listener, ``ip:port``, for the log.
    start
        Starts the listener and returns once it listens.
    limit_s
        Time for which an address may be taken, in seconds.
    wait
        Pauses between two attempts; by default `pause`, so that a stop signal
        ends the process meanwhile.

    Raises
    ------
    StartRefusedError
        If the address is taken for longer, or cannot be used at all.
    """
    began_at = anyio.current_time()
    is_reported = False
    while True:
        try:
            await start()
        except (OSError, ExceptionGroup) as failure:
            error = _os_error_in(failure)
            _check_retry(
                address, error, anyio.current_time() - began_at, limit_s
            )
            if not is_reported:
                process.events.emit(
                    ProcessEvent.address_taken,
                    address=address,
                    reason=error.strerror or repr(error),
                )
            is_reported = True
        else:
            break
        await (wait or pause)(process, _RETRY_INTERVAL_S)
    if is_reported:
        waited_s = anyio.current_time() - began_at
        process.events.emit(
            ProcessEvent.address_free,
            address=address,
            duration_ms=round(waited_s * _MS_PER_S),
        )


async def serve_aside(
    process: HostedProcess,
    address: str,
    serve: Callable[..., Awaitable[object]],
) -> None:
    """Serve until cancelled; try for an address that is taken without end.

    A stop signal ends nothing here: the role drains meanwhile.

    Parameters
    ----------
    serve
        Listens and serves, and reports through `task_status` that it listens.
    """
    async with anyio.create_task_group() as tasks:
        start = partial(tasks.start, serve)
        await listen(
            process, address, start, limit_s=math.inf, wait=_pause_aside
        )


async def pause(process: HostedProcess, duration_s: float) -> None:
    """Sleep during the start; a stop signal ends the process."""
    with anyio.move_on_after(duration_s):
        await process.wait_for_stop()
        process.exit()


async def _pause_aside(process: HostedProcess, duration_s: float) -> None:
    await anyio.sleep(duration_s)


def _os_error_in(failure: Exception) -> OSError:
    """Return the error of a listener that runs in a task group of its own."""
    error = failure
    while isinstance(error, ExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    if isinstance(error, OSError):
        return error
    raise failure


def _check_retry(
    address: str, error: OSError, waited_s: float, limit_s: float
) -> None:
    if error.errno in _TEMPORARY and waited_s < limit_s:
        return
    raise StartRefusedError(
        exit_code=ExitCode.address,
        reason=(
            f'cannot listen on {address} after {waited_s:.0f} s: {error}: end '
            'the process that holds the port, or correct the address in the '
            'settings file'
        ),
    ) from error
