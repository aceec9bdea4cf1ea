"""Random schedules of one group's failover with in-memory members."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from lavendergate.backends.member_memory import MemoryMember
from lavendergate.controllers.log_memory import apply
from lavendergate.controllers.log_port import LogState
from lavendergate.core.commands import (
    BeginTerm,
    Command,
    ConfirmPrimary,
    RegisterMember,
)
from lavendergate.core.failover import step
from lavendergate.core.failover_types import (
    ConfirmAnswered,
    Effect,
    Event,
    FailoverSettings,
    FenceAnswered,
    FenceMember,
    FollowAnswered,
    FollowPrimary,
    GroupFailover,
    Observed,
    PromoteAnswered,
    PromoteMember,
    ProposeBeginTerm,
    ProposeConfirmPrimary,
    QueryStatus,
    StatusAnswered,
    SwitchoverRequested,
    TermAnswered,
    WaitAnswered,
    WaitMember,
)
from lavendergate.core.records import GroupRecord
from lavendergate.core.types import (
    FailureDomain,
    GroupId,
    LogPosition,
    MemberView,
    Region,
    Term,
    UpstreamId,
)
from lavendergate.core.watchers import Suspicion

GROUP = GroupId('dispatch-db-1')
NAMES = tuple(UpstreamId(name) for name in 'abc')
TICK_S = 0.05
TICKS = 560
QUIET_AFTER_S = 20.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """A write that the old or present primary accepted."""

    content: str
    entry: LogPosition
    was_replaced: bool


@dataclass(kw_only=True)
class FailoverSimulation:
    """One schedule.

    Faults of members: down (calls, replication and announcements fail) and
    cut off from the group, from control or from proxies, each for a while.
    """

    seed: int
    acknowledges_early: bool = False
    ignores_fence: bool = False
    now: float = 0
    epoch: int = 0
    acknowledged: int = 0
    promotions: int = 0
    problem: str | None = None
    log: LogState = field(default_factory=LogState)
    state: GroupFailover = field(
        default_factory=lambda: GroupFailover(group_id=GROUP)
    )
    acked: dict[str, LogPosition] = field(default_factory=dict)
    views: dict[UpstreamId, MemberView] = field(default_factory=dict)
    promoted: dict[Term, UpstreamId] = field(default_factory=dict)
    unreachable_s: float = 0

    def __post_init__(self) -> None:
        """Start with three registered members."""
        self.source = random.Random(self.seed)
        self.members = {name: MemoryMember(name=name) for name in NAMES}
        self.until = {
            kind: dict.fromkeys(NAMES, 0.0)
            for kind in ('down', 'group', 'control', 'proxies')
        }
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.known = GroupRecord(group_id=GROUP)
        for name in NAMES:
            self.commit(RegisterMember(group_id=GROUP, upstream_id=name))

    @property
    def record(self) -> GroupRecord:
        """Committed state of the group."""
        return self.log.groups[GROUP]

    def run(self) -> None:
        """Run until the end or the first violation."""
        for tick in range(TICKS):
            self.now += TICK_S
            self.disturb()
            if not tick % 5:
                self.announce()
            self.replicate()
            while self.queue and self.queue[0][0] <= self.now:
                heapq.heappop(self.queue)[2]()
            self.handle(self.observation(), self.epoch)
            self.write()
            self.check()
            if self.problem is not None:
                return
        self.check_recovery()

    def disturb(self) -> None:
        """Start faults, change the leader, order a switchover."""
        if self.now > QUIET_AFTER_S:
            return
        for ends in self.until.values():
            for name in NAMES:
                if self.source.random() < 0.002:
                    ends[name] = self.now + self.source.uniform(0.2, 4)
        chance = self.source.random()
        if chance < 0.005:
            self.epoch += 1
            self.state = GroupFailover(group_id=GROUP)
        elif chance < 0.01:
            self.handle(SwitchoverRequested(target=None), self.epoch)

    def reaches(self, kind: str, name: UpstreamId) -> bool:
        """Whether a member is up and not cut off in one way."""
        ends = max(self.until['down'][name], self.until[kind][name])
        return self.now >= ends

    def announce(self) -> None:
        """Deliver announcements to the leader."""
        for name, member in self.members.items():
            if self.reaches('control', name):
                self.views[name] = MemberView(
                    upstream_id=name,
                    group_id=GROUP,
                    region=Region('Gulf'),
                    failure_domain=FailureDomain(name),
                    host='127.0.0.1',
                    port=1,
                    connection_limit=40,
                    slots=3,
                    leaving=False,
                    status=member.status(),
                    observed_at=self.now,
                )

    def replicate(self) -> None:
        """Let replicas fetch entries, or count the time without contact."""
        for name, member in self.members.items():
            primary = member.primary
            has_contact = (
                primary is not None
                and self.reaches('group', name)
                and self.reaches('group', UpstreamId(primary.name))
            )
            if has_contact:
                member.primary_contact_ms = 0
                if self.source.random() < 0.6:
                    member.replicate()
            else:
                member.primary_contact_ms += int(TICK_S * 1000)

    def observation(self) -> Observed:
        """Return what the leader sees."""
        record = self.record
        primary = record.primary
        is_lost = primary is not None and not self.reaches('proxies', primary)
        self.unreachable_s = self.unreachable_s + TICK_S if is_lost else 0
        is_wrong = self.now < QUIET_AFTER_S and self.source.random() < 0.002
        is_reported_by_enough = self.unreachable_s > 0.75 or is_wrong
        return Observed(
            record=record,
            members={
                name: view
                for name, view in self.views.items()
                if self.now - view.observed_at < 2
            },
            suspicion=Suspicion(
                is_reported_by_enough=is_reported_by_enough,
                is_reported_by_all=is_reported_by_enough,
            ),
            settings=FailoverSettings(min_interval_s=1),
        )

    def handle(self, event: Event, epoch: int) -> None:
        """Step the leader of an epoch; answers to former ones are lost."""
        if epoch != self.epoch:
            return
        self.state, effects = step(self.state, event, self.now)
        for effect in effects:
            self.later(partial(self.perform, effect, epoch))

    def later(self, action: Callable[[], None]) -> None:
        """Schedule an action after a random delay, in random order."""
        delay_s = self.source.uniform(0, 0.1)
        if self.now < QUIET_AFTER_S and self.source.random() < 0.05:
            delay_s += self.source.uniform(0, 3)
        self.count += 1
        heapq.heappush(self.queue, (self.now + delay_s, self.count, action))

    def perform(self, effect: Effect, epoch: int) -> None:
        """Perform an effect, perhaps of a deposed leader; answer it."""
        answer = self.answer(effect)
        if answer is not None and self.source.random() < 0.95:
            self.later(lambda: self.deliver(answer, epoch))

    def deliver(self, answer: Event, epoch: int) -> None:
        """Deliver an answer on top of the present record."""
        self.handle(self.observation(), epoch)
        self.handle(answer, epoch)

    def answer(self, effect: Effect) -> Event | None:
        """Apply an effect and return its answer."""
        match effect:
            case ProposeBeginTerm():
                accepted = self.commit(
                    BeginTerm(
                        group_id=GROUP, term=effect.term, reason=effect.reason
                    )
                )
                return TermAnswered(term=effect.term, accepted=accepted)
            case ProposeConfirmPrimary():
                accepted = self.commit(
                    ConfirmPrimary(
                        group_id=GROUP,
                        term=effect.term,
                        upstream_id=effect.upstream_id,
                        first_position=effect.first_position,
                    )
                )
                self.promotions += accepted
                return ConfirmAnswered(term=effect.term, accepted=accepted)
            case (
                FenceMember()
                | QueryStatus()
                | PromoteMember()
                | FollowPrimary()
                | WaitMember()
            ):
                return self.call(effect)
        return None

    def call(
        self,
        effect: FenceMember
        | QueryStatus
        | PromoteMember
        | FollowPrimary
        | WaitMember,
    ) -> Event | None:
        """Call a member."""
        name, term = effect.upstream_id, effect.term
        member = self.members[name]
        if not self.reaches('control', name):
            return None
        match effect:
            case FenceMember():
                fenced = self.fence(member, term)
                return FenceAnswered(
                    upstream_id=name,
                    term=term,
                    status=member.status() if fenced else None,
                    refused=not fenced,
                )
            case QueryStatus():
                return StatusAnswered(
                    upstream_id=name, term=term, status=member.status()
                )
            case PromoteMember():
                promoted = member.promote(term)
                if promoted and self.promoted.setdefault(term, name) != name:
                    self.problem = f'two primaries in term {term}'
                return PromoteAnswered(
                    upstream_id=name,
                    term=term,
                    status=member.status() if promoted else None,
                )
            case WaitMember():
                return WaitAnswered(
                    upstream_id=name,
                    term=term,
                    has_entry=member.holds(effect.entry),
                )
            case FollowPrimary():
                reaches = self.reaches('group', name) and self.reaches(
                    'group', effect.primary
                )
                source = self.members[effect.primary]
                truncated = member.follow(term, source) if reaches else None
                return FollowAnswered(
                    upstream_id=name, term=term, truncated_entries=truncated
                )

    def fence(self, member: MemoryMember, term: Term) -> bool:
        """Fence a member; a deliberate fault keeps its role."""
        role, primary = member.role, member.primary
        fenced = member.fence(term)
        if fenced and self.ignores_fence:
            member.role, member.primary = role, primary
        return fenced

    def commit(self, command: Command) -> bool:
        """Apply a command to the replicated log."""
        state = apply(self.log, command)
        if state is None:
            return False
        self.log = state
        return True

    def write(self) -> None:
        """Write through a proxy whose view may be old."""
        if self.source.random() < 0.2:
            self.known = self.record
        view = self.known
        if view.primary is None or self.source.random() > 0.4:
            return
        member = self.members[view.primary]
        if not self.reaches('proxies', view.primary):
            return
        is_expected = member.promised_term == view.term or self.ignores_fence
        if not is_expected:
            return
        content = f'write {self.now:.2f}'
        entry = member.write(content)
        if entry is None:
            return
        write = Write(
            content=content,
            entry=entry,
            was_replaced=self.record.term > view.term,
        )
        name, term = view.primary, view.term
        if self.acknowledges_early:
            self.acknowledge(write)
        for _ in range(3):
            self.later(lambda: self.confirm(write, name, term))

    def confirm(self, write: Write, primary: UpstreamId, term: Term) -> None:
        """Acknowledge if a replica holds the entry in the same term."""
        for name, member in self.members.items():
            is_confirming = (
                name != primary
                and self.reaches('proxies', name)
                and member.holds(write.entry)
                and (member.promised_term == term or self.ignores_fence)
            )
            if is_confirming:
                self.acknowledge(write)
                return

    def acknowledge(self, write: Write) -> None:
        """Note that the caller got OK."""
        self.acked[write.content] = write.entry
        self.acknowledged += 1
        if write.was_replaced:
            self.problem = f'{write.content}: by a replaced primary'

    def check_recovery(self) -> None:
        """Check that without further faults the group is whole again."""
        record = self.record
        if record.is_promoting or record.primary is None:
            self.problem = 'no primary after the end of all faults'
            return
        for name, member in self.members.items():
            is_following = member.primary is self.members[record.primary]
            has_term = member.promised_term == record.term
            if name != record.primary and not (is_following and has_term):
                self.problem = f'{name} does not follow'

    def check(self) -> None:
        """Check that the confirmed primary holds what was acknowledged."""
        record = self.record
        if record.is_promoting or record.primary is None:
            return
        log = self.members[record.primary].log
        held = {entry.content for entry in log}
        lost = self.acked.keys() - held
        if lost:
            self.problem = f'{min(lost)} is lost on {record.primary}'
