"""What both roles of one process share."""

from dataclasses import dataclass

from lavendergate.daemon.options import DaemonOptions
from lavendergate.observability.log import EventLog
from lavendergate.observability.process_clock import ProcessClock


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessContext:
    """Options, identity and observability of a process.

    Parameters
    ----------
    incarnation
        Random identity of this start of the process.
    """

    options: DaemonOptions
    incarnation: str
    clock: ProcessClock
    events: EventLog
