"""Groups and hosts as recorded in the replicated log."""

from dataclasses import dataclass

from lavendergate.core.types import (
    NO_TERM,
    FailureDomain,
    GroupId,
    HostId,
    Region,
    Term,
    TermStart,
    UpstreamId,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupRecord:
    """Committed state of one group, as failover and membership use it.

    `lavendergate.core.control_records.GroupRecord` is the record that the
    state machine of the replicated log keeps and stores.

    Parameters
    ----------
    begun_term
        Last begun term; greater than `term` until a promotion is confirmed.
    term
        Term of the last confirmed primary.
    primary
        Primary confirmed in `term`, kept while a later term has begun.
    term_history
        First position of each recent term, oldest first.
    """

    group_id: GroupId
    member_ids: frozenset[UpstreamId] = frozenset()
    begun_term: Term = NO_TERM
    term: Term = NO_TERM
    primary: UpstreamId | None = None
    term_history: tuple[TermStart, ...] = ()

    @property
    def majority(self) -> int:
        """Number of members that form a majority."""
        return len(self.member_ids) // 2 + 1

    @property
    def is_promoting(self) -> bool:
        """Whether a term has begun whose primary is not confirmed."""
        return self.begun_term > self.term


@dataclass(frozen=True, kw_only=True, slots=True)
class HostRecord:
    """Committed registration of a proxy host."""

    host_id: HostId
    incarnation: str
    region: Region
    failure_domain: FailureDomain
    address: str
