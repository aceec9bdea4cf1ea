"""Faults that tests inject into a member."""

from dataclasses import dataclass, field

ALL_CALLERS = 'callers'


@dataclass(kw_only=True, slots=True)
class Faults:
    """Current faults and delays of a member.

    Parameters
    ----------
    replication_delay_s
        Time between the arrival of an entry and its append to the log, in
        seconds.
    service_s
        Time that a statement occupies a slot, in seconds.
    connect_delay_s
        Time between a login and its answer, in seconds.
    is_replication_cut
        Whether replication to and from other members is interrupted.
    is_announcing_stopped
        Whether no announcements are sent.
    refused, blackholed
        Client addresses or host names whose connections are closed or get
        no answers; `ALL_CALLERS` selects all but the administrator's.
    lost_commit_mode
        ``close`` or ``silent``: what happens instead of the answer to the
        next commit; empty for no fault.
    """

    replication_delay_s: float = 0
    service_s: float = 0
    connect_delay_s: float = 0
    is_replication_cut: bool = False
    is_announcing_stopped: bool = False
    refused: set[str] = field(default_factory=set)
    blackholed: set[str] = field(default_factory=set)
    lost_commit_mode: str = ''

    def is_refused(self, *, names: set[str]) -> bool:
        """Return whether a client's connections are closed."""
        return bool(self.refused & names)

    def is_blackholed(self, *, names: set[str]) -> bool:
        """Return whether a client's connections get no answers."""
        return bool(self.blackholed & names)

    def clear(self) -> None:
        """Remove all faults; delays stay as they are."""
        self.is_replication_cut = False
        self.is_announcing_stopped = False
        self.refused.clear()
        self.blackholed.clear()
        self.lost_commit_mode = ''
