"""Model of one database group and its control, without a clock or network.

Members, proxies and control are on one of two sides of a partition and reach
each other only on the same side. Control is on side 0.
"""

from dataclasses import dataclass, field

from lavendergate.core.types import (
    LOG_START,
    FailureDomain,
    GroupId,
    GroupView,
    LogPosition,
    MemberRole,
    MemberStatus,
    MemberView,
    Region,
    Term,
    TermStart,
    UpstreamId,
)

GROUP = GroupId('glasdaten-1')
REGION = Region('franken')
MEMBERS = tuple(UpstreamId(name) for name in ('a', 'b', 'c'))
MAJORITY = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """An entry of a member's log.

    Parameters
    ----------
    write_id
        Write that the entry contains; None for an entry without a write.
    request_id
        Idempotent request of the write.
    """

    term: int
    write_id: int | None
    request_id: int | None = None


@dataclass(kw_only=True, slots=True)
class Member:
    """A member with the procedures that it offers to proxies and control."""

    upstream_id: UpstreamId
    log: list[Entry] = field(default_factory=list)
    promised_term: int = 1
    role: MemberRole = MemberRole.replica
    follows: UpstreamId | None = None
    caught_up_at: float = 0
    partition_side: int = 0

    @property
    def last_entry(self) -> LogPosition:
        """Position of the last entry of the log."""
        if not self.log:
            return LOG_START
        return LogPosition(term=Term(self.log[-1].term), position=len(self.log))

    def holds(self, position: LogPosition) -> bool:
        """Return whether the log contains an entry, as `group_wait` does."""
        index = position.position
        if index == 0:
            return True
        return index <= len(self.log) and (
            self.log[index - 1].term == position.term
        )

    def write_ids(self) -> set[int]:
        """Return the writes that a read on this member sees."""
        return {
            entry.write_id for entry in self.log if entry.write_id is not None
        }

    def status(self, now: float) -> MemberStatus:
        """Return the status as `group_status` reports it."""
        is_primary = self.role is MemberRole.primary
        age_s = 0 if is_primary else now - self.caught_up_at
        return MemberStatus(
            promised_term=Term(self.promised_term),
            last_entry=self.last_entry,
            role=self.role,
            primary_contact_ms=0,
            applied_age_ms=int(age_s * 1000),
            connections=0,
        )

    def fence(self, term: int) -> None:
        """Promise a term and refuse writes of lower terms."""
        self.promised_term = term
        self.role = MemberRole.fenced
        self.follows = None

    def follow(self, term: int, primary: 'Member') -> None:
        """Follow a primary; truncate the log where it differs from its log."""
        common = 0
        for own, other in zip(self.log, primary.log, strict=False):
            if own != other:
                break
            common += 1
        del self.log[common:]
        self.promised_term = term
        self.role = MemberRole.replica
        self.follows = primary.upstream_id

    def copy_entries(self, source: 'Member', count: int, now: float) -> None:
        """Copy at most `count` entries from the member that this one follows.

        No effect unless the log is a prefix of the log of `source`.
        """
        size = len(self.log)
        if size <= len(source.log) and self.log == source.log[:size]:
            self.log.extend(source.log[size : size + count])
            if len(self.log) == len(source.log):
                self.caught_up_at = now


@dataclass(kw_only=True)
class Group:
    """Members and control of the group.

    Parameters
    ----------
    fences
        Whether control fences a majority before it promotes.
    term
        Last term with a confirmed primary.
    primary
        Primary of `term`; None during a promotion.
    begun_term
        Last term that control has begun.
    fenced
        Members that have promised the begun term.
    announced
        Last announced status of each member, and its time in seconds.
    """

    fences: bool = True
    members: dict[UpstreamId, Member] = field(default_factory=dict)
    term: int = 1
    primary: UpstreamId | None = MEMBERS[0]
    term_history: tuple[TermStart, ...] = (
        TermStart(term=Term(1), first_position=1),
    )
    begun_term: int = 1
    fenced: set[UpstreamId] = field(default_factory=set)
    announced: dict[UpstreamId, tuple[MemberStatus, float]] = field(
        default_factory=dict,
    )

    def __post_init__(self) -> None:
        """Create three members, the first one as primary."""
        for name in MEMBERS:
            self.members[name] = Member(upstream_id=name, follows=MEMBERS[0])
            self.announced[name] = (self.members[name].status(0), 0)
        self.members[MEMBERS[0]].role = MemberRole.primary
        self.members[MEMBERS[0]].follows = None

    def replicate(self, name: UpstreamId, count: int, now: float) -> None:
        """Copy entries to one member from the member that it follows."""
        member = self.members[name]
        source = self.members.get(member.follows or name)
        if (
            source
            and source is not member
            and source.partition_side == member.partition_side
        ):
            member.copy_entries(source, count, now)

    def deliver_announcement(self, name: UpstreamId, now: float) -> None:
        """Deliver the announcement of one member to control."""
        if self.members[name].partition_side == 0:
            self.announced[name] = (self.members[name].status(now), now)

    def begin_term(self) -> None:
        """Begin a new term, also if the last one got no primary."""
        self.begun_term += 1
        self.primary = None
        self.fenced.clear()

    def run_control_step(self, name: UpstreamId) -> None:
        """Perform the next step of control on one member.

        During a promotion the member is fenced, and the most advanced fenced
        member is promoted once a majority is fenced. Otherwise a member that
        is fenced or promised a lower term follows the primary.
        """
        member = self.members[name]
        if member.partition_side != 0:
            return
        if self.primary is not None:
            primary = self.members[self.primary]
            needs_follow = member.promised_term < self.term or (
                member.role is MemberRole.fenced
            )
            if (
                member is not primary
                and needs_follow
                and primary.partition_side == 0
            ):
                member.follow(self.term, primary)
            return
        if not self.fences:
            self._promote(name)
        elif member.promised_term < self.begun_term:
            member.fence(self.begun_term)
            self.fenced.add(name)
            if len(self.fenced) >= MAJORITY:
                best = max(
                    sorted(self.fenced),
                    key=lambda candidate: self.members[candidate].last_entry,
                )
                self._promote(best)

    def view(self) -> GroupView:
        """Return the group report that control sends to a proxy."""
        return GroupView(
            group_id=GROUP,
            term=Term(self.term),
            primary=self.primary,
            member_ids=frozenset(MEMBERS),
            members=tuple(self._member_view(name) for name in MEMBERS),
            term_history=self.term_history,
        )

    def _promote(self, name: UpstreamId) -> None:
        member = self.members[name]
        if member.partition_side != 0:
            return
        member.role = MemberRole.primary
        member.promised_term = self.begun_term
        member.follows = None
        start = TermStart(
            term=Term(self.begun_term),
            first_position=len(member.log) + 1,
        )
        self.term_history = (*self.term_history, start)
        self.term = self.begun_term
        self.primary = name

    def _member_view(self, name: UpstreamId) -> MemberView:
        status, observed_at = self.announced[name]
        return MemberView(
            upstream_id=name,
            group_id=GROUP,
            region=REGION,
            failure_domain=FailureDomain(name),
            host='127.0.0.1',
            port=3306,
            connection_limit=16,
            slots=2,
            leaving=False,
            status=status,
            observed_at=observed_at,
        )
