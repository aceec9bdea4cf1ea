"""What both roles of one process share."""

from dataclasses import dataclass

from lavendergate.core.failover_types import Report
from lavendergate.core.types import GroupId
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

    def report_failover(self, group_id: GroupId, report: Report) -> None:
        """Write a report of the failover core as an event."""
