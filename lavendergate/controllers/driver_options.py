"""Options of the replicated log's driver."""

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
    """

    node: NodeOptions = field(default_factory=NodeOptions)
    entries_per_snapshot: int = _ENTRIES_PER_SNAPSHOT
    retained_entries: int = _RETAINED_ENTRIES
