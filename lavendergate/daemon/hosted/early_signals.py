"""Signals that arrive before the event loop handles them.

The imports of a role take some tenths of a second. By default SIGHUP and
SIGTERM end the process with a signal status meanwhile, and SIGINT with a
traceback.
"""

import os
import signal
from types import FrameType

_STOPPED = 0


def handle_early_signals() -> None:
    """Ignore SIGHUP, and end the process at once on a stop signal.

    A reload that is ignored is not lost, because the settings file is polled
    every second. Before the event loop runs there is nothing to drain, and
    the files of the storage are valid after an end at any moment.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for stop_signal in (signal.SIGTERM, signal.SIGINT):
        signal.signal(stop_signal, _stop)


def _stop(signal_number: int, frame: FrameType | None) -> None:
    os._exit(_STOPPED)  # noqa: WPS437
