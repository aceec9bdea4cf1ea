"""Keeps the tasks of a process running."""

import traceback
from collections.abc import Awaitable, Callable

import anyio

from lavendergate.observability.log import EventLog
from lavendergate.observability.process_events import ProcessEvent

_RESTART_S = 0.2


async def keep_running(
    name: str, run: Callable[[], Awaitable[None]], events: EventLog
) -> None:
    """Run a task, and again after a failure, until cancelled.

    Parameters
    ----------
    name
        Name of the task in the log.
    run
        Starts the task.
    """
    while True:
        try:
            await run()
        except Exception as error:
            # One failed task must not end all callers' sessions.
            report_failure(name, error, events)
        await anyio.sleep(_RESTART_S)


def report_failure(name: str, error: Exception, events: EventLog) -> None:
    """Write a failure with its place."""
    events.emit(
        ProcessEvent.task_failed,
        task=name,
        reason=repr(error),
        traceback=''.join(traceback.format_exception(error)[-4:])[-1500:],
    )
