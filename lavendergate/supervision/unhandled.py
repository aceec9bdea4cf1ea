"""Errors that no activity of the process handles, and warnings of libraries.

By default Python writes them to standard error, where nobody counts them and
a reader that stalls could block the process.
"""

import asyncio
import logging
import sys
import threading
import time
from collections.abc import Callable
from typing import Any

from lavendergate.observability.line_budget import LineBudget
from lavendergate.observability.log import EventLog
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.supervision.boundary import Boundary

_WARNINGS_PER_S = 5
_MAX_TEXT_CHARACTERS = 500


class UnhandledErrors:
    """Passes unhandled errors to the boundary, and warnings to the log.

    Parameters
    ----------
    boundary
        Logs and counts the errors.
    events
        Receives the warnings of libraries.
    """

    def __init__(self, *, boundary: Boundary, events: EventLog) -> None:
        self._boundary = boundary
        self._events = events
        self._budget = LineBudget(
            clock=time.monotonic, lines_per_s=_WARNINGS_PER_S
        )
        self._loop: asyncio.AbstractEventLoop | None = None

    def install(self) -> None:
        """Handle the errors of this process; needs a running event loop."""
        self._loop = asyncio.get_running_loop()
        self._loop.set_exception_handler(self._handle_loop_error)
        sys.unraisablehook = self._handle_unraisable
        threading.excepthook = self._handle_thread_error
        logging.raiseExceptions = False
        logging.captureWarnings(True)
        logging.getLogger().addHandler(_Forwarder(self._handle_warning))

    def _handle_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        error = context.get('exception')
        if error is None:
            self._report_warning('asyncio', str(context.get('message')))
        else:
            self._boundary.report('event loop', error)

    def _handle_unraisable(self, unraisable: Any) -> None:
        if unraisable.exc_value is not None:
            self._call_in_loop(
                self._boundary.report, 'finalizer', unraisable.exc_value
            )

    def _handle_thread_error(self, thread_error: Any) -> None:
        if isinstance(thread_error.exc_value, Exception):
            self._call_in_loop(
                self._boundary.report, 'thread', thread_error.exc_value
            )

    def _handle_warning(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        if isinstance(error, Exception):
            self._call_in_loop(self._boundary.report, record.name, error)
        else:
            self._call_in_loop(
                self._report_warning, record.name, record.getMessage()
            )

    def _report_warning(self, library: str, text: str) -> None:
        if self._budget.take():
            self._events.emit(
                ProcessEvent.library_warning,
                library=library,
                reason=text[:_MAX_TEXT_CHARACTERS],
                suppressed=self._budget.reset(),
            )

    def _call_in_loop(
        self, function: Callable[..., object], *arguments: object
    ) -> None:
        # Hooks run in any thread, and in the midst of other activities.
        if self._loop is not None and not self._loop.is_closed():
            self._loop.call_soon_threadsafe(function, *arguments)


class _Forwarder(logging.Handler):
    """Passes warnings and errors of Python's `logging` on."""

    def __init__(self, receive: Callable[[logging.LogRecord], None]) -> None:
        super().__init__(logging.WARNING)
        self._receive = receive

    def emit(self, record: logging.LogRecord) -> None:
        try:
            self._receive(record)
        except Exception:
            # The arguments of a faulty call of a library don't fit its text.
            self.handleError(record)
