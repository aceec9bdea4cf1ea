"""Options of the replicated log's driver."""

from collections.abc import Callable
from dataclasses import dataclass, field

from lavendergate.core.consensus.types import NodeOptions

_ENTRIES_PER_SNAPSHOT = 1000
# A follower that lacks fewer entries than this needs no snapshot.
_RETAINED_ENTRIES = 256


@dataclass(frozen=True, kw_only=True, slots=True)
class DriverOptions:
    """Timeouts and limits of the driver.

    Parameters
    ----------
    node
        Timeouts of the replicated log.
    entries_per_snapshot
        Number of applied entries after which a snapshot is taken.
    retained_entries
        Number of entries before a snapshot that stay in the log, for
        followers that lag.
    storage_retry_s
        Time after a failed write until the storage is read again, in seconds,
        and between further attempts. At least an election timeout, so that
        the host cannot vote for another leader while it may count as a
        follower of the present one. None: a failed write ends the node.
    report_storage_failure
        Receives the reason of a failed write.
    """

    node: NodeOptions = field(default_factory=NodeOptions)
    entries_per_snapshot: int = _ENTRIES_PER_SNAPSHOT
    retained_entries: int = _RETAINED_ENTRIES
    storage_retry_s: float | None = None
    report_storage_failure: Callable[[str], object] = str
