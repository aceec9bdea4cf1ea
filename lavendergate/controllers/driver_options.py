"""Limits of the replicated log's driver."""

from dataclasses import dataclass, field

from lavendergate.core.consensus.types import NodeOptions

_ENTRIES_PER_SNAPSHOT = 1000
# A follower that lags by less needs no snapshot.
_RETAINED_ENTRIES = 256


@dataclass(frozen=True, kw_only=True, slots=True)
class DriverOptions:
    """Limits of the driver.

    Parameters
    ----------
    node
        Timeouts of the replicated log.
    entries_per_snapshot
        Applied entries after which a snapshot replaces them.
    retained_entries
        Entries that are kept beside a snapshot.
    """

    node: NodeOptions = field(default_factory=NodeOptions)
    entries_per_snapshot: int = _ENTRIES_PER_SNAPSHOT
    retained_entries: int = _RETAINED_ENTRIES
