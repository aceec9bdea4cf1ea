"""Random schedules of the failover of one group with in-memory members."""

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
NO_NEW_FAULTS_AFTER_S = 20.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """A write that a member accepted as primary.

    Parameters
    ----------
    was_replaced
        Whether a later term had begun when the member accepted the write.
    """

    content: str
    entry: LogPosition
    was_replaced: bool


@dataclass(kw_only=True)
class FailoverSimulation:
    """One random schedule of faults, switchovers and writes.

    A member can be down (calls, replication, announcements and writes fail) or
    cut off from the group, from control or from proxies, each for a limited
    time.

    Parameters
    ----------
    acknowledges_early
        Deliberate fault: writes are acknowledged before a replica confirms.
    ignores_fence
        Deliberate fault: a fenced member keeps its role and accepts writes.
    now
        Simulated time in seconds.
    epoch
        Number of changes of the leader of the control hosts so far.
    acknowledged
        Number of acknowledgements; a write can have several.
    promotions
        Number of promotions confirmed in the replicated log.
    problem
        Violation that ended the schedule; None without one.
    acknowledged_writes
        Log positions of the acknowledged writes, by content.
    views
        Last announcement of each member.
    promoted_members
        Member that was promoted in each term.
    unreachable_s
        Time for which the proxies have not reached the primary, in seconds.
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
    acknowledged_writes: dict[str, LogPosition] = field(default_factory=dict)
    views: dict[UpstreamId, MemberView] = field(default_factory=dict)
    promoted_members: dict[Term, UpstreamId] = field(default_factory=dict)
    unreachable_s: float = 0

    def __post_init__(self) -> None:
        """Start with three registered members."""
        self.rng = random.Random(self.seed)
        self.members = {name: MemoryMember(name=name) for name in NAMES}
        self.fault_ends = {
            kind: dict.fromkeys(NAMES, 0.0)
            for kind in ('down', 'group', 'control', 'proxies')
        }
        self.actions: list[tuple[float, int, Callable[[], None]]] = []
        self.scheduled_actions = 0
        self.proxy_record = GroupRecord(group_id=GROUP)
        for name in NAMES:
            self.commit(RegisterMember(group_id=GROUP, upstream_id=name))

    @property
    def record(self) -> GroupRecord:
        """Record of the group in the replicated log."""
        return self.log.groups[GROUP]

    def run(self) -> None:
        """Run to the end of the schedule or to the first violation."""
        for tick in range(TICKS):
            self.now += TICK_S
            self.inject_faults()
            if not tick % 5:
                self.announce()
            self.replicate()
            while self.actions and self.actions[0][0] <= self.now:
                heapq.heappop(self.actions)[2]()
            self.handle(self.observe(), self.epoch)
            self.write()
            self.check()
            if self.problem is not None:
                return
        self.check_recovery()

    def inject_faults(self) -> None:
        """Start faults, change the leader or request a switchover."""
        if self.now > NO_NEW_FAULTS_AFTER_S:
            return
        for ends in self.fault_ends.values():
            for name in NAMES:
                if self.rng.random() < 0.002:
                    ends[name] = self.now + self.rng.uniform(0.2, 4)
        chance = self.rng.random()
        if chance < 0.005:
            self.epoch += 1
            self.state = GroupFailover(group_id=GROUP)
        elif chance < 0.01:
            self.handle(SwitchoverRequested(target=None), self.epoch)

    def is_reachable(self, kind: str, name: UpstreamId) -> bool:
        """Return whether a member is up and not cut off in the given way."""
        ends = max(self.fault_ends['down'][name], self.fault_ends[kind][name])
        return self.now >= ends

    def announce(self) -> None:
        """Deliver the announcements of the members to the leader."""
        for name, member in self.members.items():
            if self.is_reachable('control', name):
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
        """Replicate entries, or count the time without a reachable primary."""
        for name, member in self.members.items():
            primary = member.primary
            has_contact = (
                primary is not None
                and self.is_reachable('group', name)
                and self.is_reachable('group', UpstreamId(primary.name))
            )
            if has_contact:
                member.primary_contact_ms = 0
                if self.rng.random() < 0.6:
                    member.replicate()
            else:
                member.primary_contact_ms += int(TICK_S * 1000)

    def observe(self) -> Observed:
        """Return the observation of the leader, sometimes a false suspicion."""
        record = self.record
        primary = record.primary
        is_lost = primary is not None and not self.is_reachable(
            'proxies', primary
        )
        self.unreachable_s = self.unreachable_s + TICK_S if is_lost else 0
        is_false_suspicion = (
            self.now < NO_NEW_FAULTS_AFTER_S and self.rng.random() < 0.002
        )
        is_reported_by_enough = self.unreachable_s > 0.75 or is_false_suspicion
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
        """Pass an event to the leader; drop events of former leaders."""
        if epoch != self.epoch:
            return
        self.state, effects = step(self.state, event, self.now)
        for effect in effects:
            self.schedule(partial(self.perform, effect, epoch))

    def schedule(self, action: Callable[[], None]) -> None:
        """Schedule an action after a random delay.

        The delays put actions into a random order.
        """
        delay_s = self.rng.uniform(0, 0.1)
        if self.now < NO_NEW_FAULTS_AFTER_S and self.rng.random() < 0.05:
            delay_s += self.rng.uniform(0, 3)
        self.scheduled_actions += 1
        heapq.heappush(
            self.actions, (self.now + delay_s, self.scheduled_actions, action)
        )

    def perform(self, effect: Effect, epoch: int) -> None:
        """Perform an effect and schedule its answer, which is lost at times.

        The leader that requested the effect may have been replaced.
        """
        answer = self.answer(effect)
        if answer is not None and self.rng.random() < 0.95:
            self.schedule(lambda: self.deliver(answer, epoch))

    def deliver(self, answer: Event, epoch: int) -> None:
        """Deliver an observation of the current record, then an answer."""
        self.handle(self.observe(), epoch)
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
        """Call a member and return its answer; None if the call fails."""
        name, term = effect.upstream_id, effect.term
        member = self.members[name]
        if not self.is_reachable('control', name):
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
                if (
                    promoted
                    and self.promoted_members.setdefault(term, name) != name
                ):
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
                can_replicate = self.is_reachable(
                    'group', name
                ) and self.is_reachable('group', effect.primary)
                source = self.members[effect.primary]
                truncated = (
                    member.follow(term, source) if can_replicate else None
                )
                return FollowAnswered(
                    upstream_id=name, term=term, truncated_entries=truncated
                )

    def fence(self, member: MemoryMember, term: Term) -> bool:
        """Fence a member; with `ignores_fence` it keeps its role."""
        role, primary = member.role, member.primary
        fenced = member.fence(term)
        if fenced and self.ignores_fence:
            member.role, member.primary = role, primary
        return fenced

    def commit(self, command: Command) -> bool:
        """Apply a command to the log; return whether the log accepted it."""
        state = apply(self.log, command)
        if state is None:
            return False
        self.log = state
        return True

    def write(self) -> None:
        """Write through a proxy whose view may be out of date."""
        if self.rng.random() < 0.2:
            self.proxy_record = self.record
        view = self.proxy_record
        if view.primary is None or self.rng.random() > 0.4:
            return
        member = self.members[view.primary]
        if not self.is_reachable('proxies', view.primary):
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
            self.schedule(lambda: self.confirm(write, name, term))

    def confirm(self, write: Write, primary: UpstreamId, term: Term) -> None:
        """Acknowledge a write if a replica has its entry in the same term."""
        for name, member in self.members.items():
            is_confirming = (
                name != primary
                and self.is_reachable('proxies', name)
                and member.holds(write.entry)
                and (member.promised_term == term or self.ignores_fence)
            )
            if is_confirming:
                self.acknowledge(write)
                return

    def acknowledge(self, write: Write) -> None:
        """Record the acknowledgement of a write to its caller."""
        self.acknowledged_writes[write.content] = write.entry
        self.acknowledged += 1
        if write.was_replaced:
            self.problem = (
                f'{write.content}: acknowledged by a replaced primary'
            )

    def check_recovery(self) -> None:
        """Check that each member follows the primary after all faults ended."""
        record = self.record
        if record.is_promoting or record.primary is None:
            self.problem = 'no confirmed primary after the end of all faults'
            return
        for name, member in self.members.items():
            is_following = member.primary is self.members[record.primary]
            has_term = member.promised_term == record.term
            if name != record.primary and not (is_following and has_term):
                self.problem = f'{name} does not follow {record.primary}'

    def check(self) -> None:
        """Check that the confirmed primary has all acknowledged writes."""
        record = self.record
        if record.is_promoting or record.primary is None:
            return
        log = self.members[record.primary].log
        present = {entry.content for entry in log}
        lost = self.acknowledged_writes.keys() - present
        if lost:
            self.problem = f'{min(lost)} is lost on {record.primary}'
