"""In-memory members with the rules of the member interface, for tests."""

from dataclasses import dataclass, field

from lavendergate.core.types import (
    LOG_START,
    NO_TERM,
    LogPosition,
    MemberRole,
    MemberStatus,
    Term,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class MemoryEntry:
    """An entry of a replication log."""

    term: Term
    content: str


@dataclass(kw_only=True, slots=True)
class MemoryMember:
    """A member that carries out calls without delay.

    Parameters
    ----------
    primary
        Primary that a replica follows.
    is_reachable
        Whether administrative calls reach the member.
    primary_contact_ms
        Reported time since the last contact with the primary, in
        milliseconds.
    connections
        Host id of the proxy by connection id.
    """

    name: str
    promised_term: Term = NO_TERM
    role: MemberRole = MemberRole.fenced
    log: list[MemoryEntry] = field(default_factory=list)
    primary: 'MemoryMember | None' = None
    is_reachable: bool = True
    primary_contact_ms: int = 0
    connections: dict[int, str] = field(default_factory=dict)

    @property
    def last_entry(self) -> LogPosition:
        """Last entry of the log."""
        if not self.log:
            return LOG_START
        return LogPosition(term=self.log[-1].term, position=len(self.log))

    def status(self) -> MemberStatus:
        """Return the status as reported by ``group_status``."""
        return MemberStatus(
            promised_term=self.promised_term,
            last_entry=self.last_entry,
            role=self.role,
            primary_contact_ms=self.primary_contact_ms,
            applied_age_ms=0,
            connections=len(self.connections),
        )

    def fence(self, term: Term) -> bool:
        """Promise a term; return False where MySQL raises error 1644."""
        if term <= self.promised_term:
            return False
        self.promised_term = term
        self.role = MemberRole.fenced
        self.primary = None
        return True

    def promote(self, term: Term) -> bool:
        """Become primary; return False where MySQL raises error 1644."""
        if term != self.promised_term:
            return False
        self.role = MemberRole.primary
        self.primary = None
        return True

    def follow(self, term: Term, primary: 'MemoryMember') -> int | None:
        """Become a replica; return the number of truncated entries.

        Returns
        -------
        int or None
            None where MySQL raises error 1644.
        """
        if self.promised_term > term:
            return None
        self.promised_term = term
        self.role = MemberRole.replica
        self.primary = primary
        common = _common_length(self.log, primary.log)
        truncated = len(self.log) - common
        del self.log[common:]
        return truncated

    def write(self, content: str) -> LogPosition | None:
        """Append an entry; return None if the member is not primary."""
        if self.role is not MemberRole.primary:
            return None
        self.log.append(MemoryEntry(term=self.promised_term, content=content))
        return self.last_entry

    def replicate(self) -> None:
        """Fetch all entries from the primary, even if it is fenced.

        Nothing is fetched from a primary that has become a replica, or whose
        log does not continue the log of this member.
        """
        if self.role is not MemberRole.replica or self.primary is None:
            return
        if self.primary.role is MemberRole.replica:
            return
        if self.log == self.primary.log[: len(self.log)]:
            self.log = list(self.primary.log)

    def holds(self, entry: LogPosition) -> bool:
        """Return whether the log contains an entry."""
        if not 0 < entry.position <= len(self.log):
            return entry == LOG_START
        return self.log[entry.position - 1].term == entry.term


def _common_length(first: list[MemoryEntry], second: list[MemoryEntry]) -> int:
    length = 0
    for one, other in zip(first, second, strict=False):
        if one != other:
            break
        length += 1
    return length
