"""Random schedules of members that leave, crash and start again.

The control leader is the real one, with its poller, fleet state and takeover
controller, in virtual time. Calls of members reach one of three control hosts
late, twice or never; the hosts pass them on to the leader. A member may be cut
off from control, or receive nothing, and the primary may crash.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import msgspec
from anyio.abc import TaskGroup

from lavendergate.controllers.fleet_state import FleetState
from lavendergate.core.fleet_directory import (
    FleetDirectory,
    MemberAvailability,
    MemberEntry,
    departed_entry,
    departure_of,
    merge,
)
from lavendergate.core.types import Term, UpstreamId
from lavendergate.tests.takeover_fixture import TakeoverFixture, run_scenario
from properties.task_order import in_order
from standin.session_group import Member, SessionGroup

_SETTLED_S = 2.0
_STEPS = 9
_COMMIT_INTERVAL_S = 0.05
_HEARTBEAT_S = 1.2
# Until all actions of a schedule have ended, in seconds.
_ENDED_S = 26.0
_RECOVERED_S = 8.0
_PROMOTED_S = 10.0
# A partition lasts no longer than this on the sites of the users.
_DELAY_LIMIT_S = 5.5
# A start that is younger may come after the members were asked.
_YOUNG_S = 2.0
_HOSTS = 3
_NAMES = ('a', 'b', 'c', 'd')


class WatchedGroup(SessionGroup):
    """Group that checks each promotion.

    Attributes
    ----------
    problems
        What a promotion broke.
    is_commit_at_risk
        Whether a promotion lost a commit or did not ask a start.
    """

    def __init__(
        self, *, names: tuple[str, ...], synchronous_replicas: int
    ) -> None:
        super().__init__(names=names, synchronous_replicas=synchronous_replicas)
        self.problems: list[str] = []
        self.is_commit_at_risk = False
        self.promotions = 0
        self.acknowledged: set[str] = set()
        self.started_at: dict[UpstreamId, float] = {}

    def promote(self, name: str) -> None:
        """Promote a member and check what it has, and who was asked."""
        now = anyio.current_time()
        self.promotions += 1
        unasked = [
            other.entry.upstream_id
            for other in self.members.values()
            if other.entry.upstream_id != name and self._may_confirm(other, now)
        ]
        if len(unasked) >= max(1, self.synchronous_replicas):
            self.problems.append(f'{unasked} were not asked')
        present = {
            item for entry in self.member(name).log for item, _ in entry.writes
        }
        lost = len(self.acknowledged - present)
        if lost:
            self.problems.append(f'{name} lacks {lost} acknowledged commits')
        self.is_commit_at_risk = bool(self.problems)
        super().promote(name)

    def _may_confirm(self, member: Member, now: float) -> bool:
        if member.is_down or member.is_primary or member.paused_term:
            return False
        started_at = self.started_at.get(member.entry.upstream_id, 0)
        return now - started_at > _YOUNG_S


def call_with_start(known: MemberEntry, born: int) -> MemberEntry | None:
    """Return the entry for a last call that names its start."""
    return departure_of(known, born)


def call_without_start(known: MemberEntry, born: int) -> MemberEntry | None:
    """Return the entry for a last call that does not name its start."""
    return departure_of(known, None)


def call_by_id(known: MemberEntry, born: int) -> MemberEntry | None:
    """Deliberate fault: a last call removes whatever start is known."""
    return departed_entry(known)


LastCall = Callable[[MemberEntry, int], MemberEntry | None]


@dataclass(kw_only=True)
class MemberSchedule:
    """One random schedule.

    Parameters
    ----------
    last_call
        Returns the entry for a member's last call, given the known entry and
        the start that calls.
    """

    seed: int
    control: TakeoverFixture
    group: WatchedGroup
    tasks: TaskGroup
    last_call: LastCall
    steps: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start with three members that all hosts know."""
        self.generator = random.Random(self.seed)
        self.hosts = [FleetDirectory() for _ in range(_HOSTS - 1)]
        for number, directory in enumerate(self.hosts):
            self.hosts[number], _ = merge(
                directory,
                tuple(member.entry for member in self.group.members.values()),
            )

    async def run(self) -> None:
        """Play the schedule, and some time without further trouble."""
        self.tasks.start_soon(self.write)
        self.tasks.start_soon(self.beat)
        await anyio.sleep(_SETTLED_S)
        actions = (
            self.leave,
            self.leave,
            self.crash,
            self.start,
            self.start,
            self.be_deaf,
            self.be_deaf,
            self.be_cut_off,
            self.crash_primary,
            self.wait,
        )
        for _ in range(_STEPS):
            action = self.generator.choice(actions)
            member = self.generator.choice(list(self.group.members.values()))
            name = member.entry.upstream_id
            self.steps.append(
                f'{anyio.current_time():.2f} {action.__name__} {name}'
            )
            self.tasks.start_soon(action, member)
            await anyio.sleep(
                self.generator.choice((0.02, 0.3, 1.0, 1.5, 2.5, 9.0, 18.0))
            )
        await anyio.sleep(_ENDED_S)
        if not self.group.problems:
            await self.check_recovery()

    async def check_recovery(self) -> None:
        """Crash the primary once all but the departed members run again.

        If a primary left before another member had its commits, nobody can be
        promoted; an operator is told.
        """
        if any(
            member.is_primary and member.is_down and self.is_leaving(member)
            for member in self.group.members.values()
        ):
            return
        for member in self.group.members.values():
            if member.is_down and not self.is_leaving(member):
                member.is_down = False
                member.paused_term = Term(0)
                self.announce(member, is_first=True)
        await anyio.sleep(_RECOVERED_S)
        running = [
            member
            for member in self.group.members.values()
            if not member.is_down
        ]
        leading = [member for member in running if member.is_primary]
        if len(leading) != 1:
            self.group.problems.append('no primary after the recovery')
        elif len(running) > 1:
            self.end(leading[0])
            await anyio.sleep(_PROMOTED_S)
            if not any(
                member.is_primary
                for member in running
                if member is not leading[0]
            ):
                self.group.problems.append('a departed member blocks')

    async def write(self) -> None:
        """Commit on the primary, and note what it acknowledged."""
        number = 0
        while True:
            await anyio.sleep(_COMMIT_INTERVAL_S)
            leading = [
                member
                for member in self.group.members.values()
                if member.is_primary and not member.is_down
            ]
            number += 1
            item = f'x{number}'
            if leading and self.group.commit(leading[0], {item: '1'}):
                self.group.acknowledged.add(item)

    async def beat(self) -> None:
        """Send the heartbeats of all members."""
        while True:
            for member in self.group.members.values():
                if not member.is_down:
                    self.announce(member)
            await anyio.sleep(_HEARTBEAT_S)

    def announce(self, member: Member, *, is_first: bool = False) -> None:
        """Send a heartbeat; the first one of a start is not held up."""
        member.entry = msgspec.structs.replace(
            member.entry, sequence=member.entry.sequence + 1
        )
        entry = member.entry
        if is_first:
            self.control.fleet.merge((entry,))
        self.send(entry.upstream_id, lambda known: entry)

    def send(
        self,
        name: UpstreamId,
        entry_for: Callable[[MemberEntry], MemberEntry | None],
    ) -> None:
        """Let a call arrive at once, late, twice or never."""
        for delay_s in self.generator.choice(
            ((0.0,), (0.0,), (0.0,), (_DELAY_LIMIT_S, 1.0), (3.0,), ())
        ):
            self.tasks.start_soon(self.deliver, name, entry_for, delay_s)

    async def deliver(
        self,
        name: UpstreamId,
        entry_for: Callable[[MemberEntry], MemberEntry | None],
        delay_s: float,
    ) -> None:
        """Deliver a call to one host, which passes it on to the leader."""
        await anyio.sleep(delay_s)
        number = self.generator.randrange(_HOSTS)
        fleet = self.control.fleet
        is_leader = number == len(self.hosts)
        directory = fleet.directory if is_leader else self.hosts[number]
        known = directory.entries.get(name)
        entry = None if known is None else entry_for(known)
        if entry is None:
            return
        if not is_leader:
            self.hosts[number], _ = merge(directory, (entry,))
        fleet.merge((entry,))
        self.sync(fleet)

    def sync(self, fleet: FleetState) -> None:
        """Pass the leader's entries on to the other hosts, now and then."""
        entries = tuple(fleet.directory.entries.values())
        for number, directory in enumerate(self.hosts):
            if self.generator.random() < 0.8:
                self.hosts[number], _ = merge(directory, entries)

    async def wait(self, member: Member) -> None:
        """Do nothing."""

    async def leave(self, member: Member) -> None:
        """Drain, send the last call and exit, as the protocol says."""
        born = member.entry.born
        if member.is_down or self.is_leaving(member):
            return
        member.entry = msgspec.structs.replace(
            member.entry, availability=MemberAvailability.draining
        )
        self.announce(member)
        await anyio.sleep(self.generator.choice((0.5, 4.0, 7.5)))
        if member.is_down or member.entry.born != born:
            return
        name = member.entry.upstream_id
        self.steps.append(f'{anyio.current_time():.2f} last call of {name}')
        self.send(name, lambda known: self.last_call(known, born))
        await anyio.sleep(self.generator.choice((0.01, 0.2)))
        if member.entry.born == born:
            self.end(member)

    def is_leaving(self, member: Member) -> bool:
        """Return whether a member announced that it leaves."""
        return member.entry.availability == MemberAvailability.draining

    def end(self, member: Member) -> None:
        """End the process of a member."""
        name = member.entry.upstream_id
        self.steps.append(f'{anyio.current_time():.2f} end of {name}')
        member.is_down = True

    async def crash(self, member: Member) -> None:
        """End a replica without a call; mostly it comes back with its log."""
        if member.is_primary or member.is_down:
            return
        self.end(member)
        born = member.entry.born
        await anyio.sleep(self.generator.choice((0.5, 3.0, 20.0)))
        is_same = member.entry.born == born and not self.is_leaving(member)
        if is_same and member.is_down:
            member.is_down = False
            member.paused_term = Term(0)
            self.announce(member, is_first=True)

    async def start(self, member: Member) -> None:
        """Start a member that ended again under its id, without its data."""
        if not member.is_down or member.is_primary:
            return
        member.entry = msgspec.structs.replace(
            member.entry,
            availability=MemberAvailability.ready,
            is_primary=False,
            born=member.entry.born + 10,
            sequence=0,
        )
        member.log = []
        member.applied = 0
        member.paused_term = Term(0)
        member.term = Term(1)
        member.is_down = False
        self.group.started_at[member.entry.upstream_id] = anyio.current_time()
        self.announce(member, is_first=True)

    async def be_deaf(self, member: Member) -> None:
        """Receive nothing for a while."""
        member.is_replication_cut = True
        await anyio.sleep(self.generator.choice((1.0, 4.0, 6.5)))
        member.is_replication_cut = False

    async def be_cut_off(self, member: Member) -> None:
        """Be cut off from control, but not from the other members."""
        member.is_silent = True
        await anyio.sleep(self.generator.choice((1.0, 5.5)))
        member.is_silent = False

    async def crash_primary(self, member: Member) -> None:
        """Crash the primary; mostly it comes back with its log."""
        for leading in self.group.members.values():
            if leading.is_primary and not leading.is_down:
                self.end(leading)
                await anyio.sleep(self.generator.choice((2.0, 25.0)))
                leading.is_down = False
                self.announce(leading, is_first=True)
                return


def run_schedule(
    seed: int, last_call: LastCall, *, synchronous_replicas: int = 1
) -> WatchedGroup:
    """Play one schedule and return its group.

    The group has two members more than a commit needs.
    """
    groups: list[WatchedGroup] = []

    def make_group() -> WatchedGroup:
        groups.append(
            WatchedGroup(
                names=_NAMES[: synchronous_replicas + 2],
                synchronous_replicas=synchronous_replicas,
            )
        )
        return groups[0]

    async def play(control: TakeoverFixture) -> None:
        async with anyio.create_task_group() as tasks:
            schedule = MemberSchedule(
                seed=seed,
                control=control,
                group=groups[0],
                tasks=tasks,
                last_call=last_call,
            )
            await schedule.run()
            if groups[0].problems:
                groups[0].problems.extend(schedule.steps)
            tasks.cancel_scope.cancel()

    with in_order(seed):
        run_scenario(play, make_group=make_group)
    return groups[0]
