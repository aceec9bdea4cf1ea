"""Restarts failed tasks of a process."""

import traceback
from collections.abc import Awaitable, Callable

import anyio

from lavendergate.observability.log import EventLog
from lavendergate.observability.process_events import ProcessEvent

_RESTART_DELAY_S = 0.2


async def keep_running(
    name: str, run: Callable[[], Awaitable[None]], events: EventLog
) -> None:
    """Run a task until cancelled; restart it when it ends or fails.

    Parameters
    ----------
    name
        Name of the task in the log.
    run
        Function that runs the task.
    """
    while True:
        try:
            await run()
        except Exception as error:
            # A failed task must not end the process and all its sessions.
            report_failure(name, error, events)
        await anyio.sleep(_RESTART_DELAY_S)


def report_failure(name: str, error: Exception, events: EventLog) -> None:
    """Log an unexpected error with the end of its traceback.

    Parameters
    ----------
    name
        Name of the failed activity in the log, field `task`.
    """
    events.emit(
        ProcessEvent.task_failed,
        task=name,
        reason=repr(error),
        traceback=''.join(traceback.format_exception(error)[-4:])[-1500:],
    )
