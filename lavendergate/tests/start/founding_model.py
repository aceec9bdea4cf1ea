"""Exhaustive model of the founding of a control group by three seeds.

A state holds the disks and processes of the seeds. Every order of these steps
is explored: a founding record becomes durable, a host answers another one, a
host decides by the answers of its round, a host is reached by the group that
another one belongs to, a process is killed or restarted, a disk is lost. A
frozen host is one that takes no step for any time, so that its round may be
old when it decides.
"""

from collections import deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, replace
from itertools import permutations

from lavendergate.core.control_group.group_founding import (
    Founder,
    Founding,
    SeedAnswer,
)

SEEDS = ('a', 'b', 'c')
_HOSTS = (0, 1, 2)
_MAJORITY = 2

Configuration = tuple[int, ...]
Decide = Callable[[Founder, Mapping[str, SeedAnswer]], Founding]


@dataclass(frozen=True, order=True, slots=True)
class Disk:
    """Disk of a host: number of the disk, record, and group if any."""

    number: int = 0
    has_record: bool = False
    group: Configuration = ()


@dataclass(frozen=True, order=True, slots=True)
class Process:
    """Process of a host, with the answers of its present round.

    An answer is the disk of the answering host; None where it is missing.
    """

    is_running: bool = True
    is_first_start: bool = True
    round: tuple[tuple[int, bool] | None, ...] = (None, None, None)


_DOWN = Process(is_running=False, is_first_start=False)
_RESTARTED = Process(is_first_start=False)
_NO_ANSWERS = (None, None, None)


@dataclass(frozen=True, slots=True)
class State:
    """Disks, processes, and the groups that ever had a majority at once.

    Only such a group can have elected a leader and acknowledged a change.

    Parameters
    ----------
    holders
        Hosts and numbers of their disks that belonged to a group while it had
        a majority, so that they may hold what it acknowledged.
    replacement
        Group in which a further host, which is no seed, took the place of a
        silent voter; it may hold what that group acknowledged. Empty for none.
    """

    disks: tuple[Disk, ...] = (Disk(), Disk(), Disk())
    processes: tuple[Process, ...] = (Process(), Process(), Process())
    acted: frozenset[Configuration] = frozenset()
    losses: int = 0
    holders: frozenset[tuple[int, int]] = frozenset()
    replacement: Configuration = ()

    @property
    def has_group_beside_state(self) -> bool:
        """Whether a group has a majority while a host holds another's state."""
        return any(
            self.majority_of(group) and self._is_held(other)
            for group, other in permutations(self.acted, 2)
        )

    def majority_of(self, group: Configuration) -> bool:
        """Return whether a majority of the seeds belongs to a group."""
        return sum(disk.group == group for disk in self.disks) >= _MAJORITY

    def _is_held(self, group: Configuration) -> bool:
        return group == self.replacement or any(
            self.disks[host].number == number
            and self.disks[host].group == group
            for host, number in self.holders
        )


@dataclass(frozen=True, kw_only=True)
class Model:
    """What may happen.

    Parameters
    ----------
    decide
        Rule of the founders.
    max_losses
        Number of disks that may be lost.
    has_first_starts
        Whether processes of the first start are present; otherwise all hosts
        were restarted with `bootstrap` false.
    keeps_record
        Whether a lost log leaves the founding record, a deliberate fault.
    has_long_rounds
        Whether a round of a first start may last longer than a restart, a
        deliberate fault.
    empty_may_found
        Whether each host may found, also one without a record, a rule that
        was weighed. Its rounds are as short as those of a first start.
    has_replacement
        Whether a further host may take the place of a silent voter. It takes
        no step then, as if it were cut off.
    """

    decide: Decide = Founder.decide
    max_losses: int = 1
    has_first_starts: bool = True
    keeps_record: bool = False
    has_long_rounds: bool = False
    empty_may_found: bool = False
    has_replacement: bool = False

    def groups_with_majority(self) -> tuple[int, int]:
        """Return the most groups that had a majority, and the states seen."""
        most = states = 0
        for state in self._reachable():
            states += 1
            most = max(most, len(state.acted))
            if most > 1:
                break
        return most, states

    def has_group_beside_state(self) -> tuple[bool, int]:
        """Return whether two histories can exist at once, and the states seen.

        See `State.has_group_beside_state`.
        """
        states = 0
        for state in self._reachable():
            states += 1
            if state.has_group_beside_state:
                return True, states
        return False, states

    def _reachable(self) -> Iterator[State]:
        """Yield all states in the order of their distance from the start."""
        start = State()
        if not self.has_first_starts:
            start = State(
                disks=(Disk(has_record=True),) * 3,
                processes=(_RESTARTED,) * 3,
            )
        seen = {_canonical(start)}
        waiting = deque((start,))
        yield start
        while waiting:
            for following in self._following(waiting.popleft()):
                key = _canonical(following)
                if key not in seen:
                    seen.add(key)
                    waiting.append(following)
                    yield following

    def _following(self, state: State) -> Iterator[State]:
        if self.has_replacement and not state.replacement:
            for group in state.acted:
                if state.majority_of(group):
                    yield replace(state, replacement=group)
        for host in _HOSTS:
            disk, process = state.disks[host], state.processes[host]
            if state.losses < self.max_losses:
                yield self._lose(state, host)
            if not process.is_running:
                yield _with_process(state, host, _RESTARTED)
                continue
            yield _with_process(state, host, _DOWN)
            if process.is_first_start and not disk.has_record:
                recorded = replace(disk, has_record=True)
                yield _with_disk(state, host, recorded)
            if disk.group:
                yield from _contact_others(state, host)
            else:
                yield from _collect(state, host)
                yield from self._decide(state, host)

    def _lose(self, state: State, host: int) -> State:
        disk = state.disks[host]
        empty = Disk(
            number=disk.number + 1,
            has_record=self.keeps_record and disk.has_record,
        )
        processes = state.processes
        if not self.has_long_rounds:
            # A round is shorter than a restart: one that has begun before
            # the loss gets no answer from the new disk.
            processes = tuple(
                replace(process, round=_NO_ANSWERS)
                if (process.is_first_start or self.empty_may_found)
                and process.round[host] is None
                else process
                for process in processes
            )
        state = replace(state, processes=processes, losses=state.losses + 1)
        return _with_disk(_with_process(state, host, _DOWN), host, empty)

    def _decide(self, state: State, host: int) -> Iterator[State]:
        process, disk = state.processes[host], state.disks[host]
        disks = [*process.round]
        disks[host] = (disk.number, disk.has_record)
        answers = {
            SEEDS[other]: SeedAnswer(
                is_initialised=False,
                founding_seeds=SEEDS if found[1] else (),
            )
            for other, found in enumerate(disks)
            if found is not None
        }
        is_founder = (
            process.is_first_start or disk.has_record or self.empty_may_found
        )
        founder = Founder(
            seeds=SEEDS if is_founder else (),
            is_first_start=process.is_first_start,
        )
        if self.decide(founder, answers) is Founding.found:
            group = tuple(found[0] for found in disks if found is not None)
            yield _joined(state, host, group)
        elif process.round != _NO_ANSWERS:
            cleared = replace(process, round=_NO_ANSWERS)
            yield _with_process(state, host, cleared)


def _collect(state: State, host: int) -> Iterator[State]:
    """Yield the answers of running hosts without a group.

    The answer of a host with a group ends the round, as if it were cleared.
    """
    process = state.processes[host]
    for other in _HOSTS:
        disk = state.disks[other]
        if other == host or disk.group:
            continue
        if not state.processes[other].is_running or process.round[other]:
            continue
        answers = list(process.round)
        answers[other] = (disk.number, disk.has_record)
        yield _with_process(state, host, replace(process, round=tuple(answers)))


def _contact_others(state: State, host: int) -> Iterator[State]:
    """Yield the hosts that follow a member of their group."""
    group = state.disks[host].group
    for other in _HOSTS:
        disk = state.disks[other]
        if disk.group or not state.processes[other].is_running:
            continue
        if group[other] == disk.number:
            yield _joined(state, other, group)


def _joined(state: State, host: int, group: Configuration) -> State:
    disk = replace(state.disks[host], group=group)
    joined = _with_disk(state, host, disk)
    process = replace(state.processes[host], round=_NO_ANSWERS)
    joined = _with_process(joined, host, process)
    if not joined.majority_of(group):
        return joined
    holders = {
        (number, held.number)
        for number, held in enumerate(joined.disks)
        if held.group == group
    }
    return replace(
        joined, acted=state.acted | {group}, holders=state.holders | holders
    )


def _with_disk(state: State, host: int, disk: Disk) -> State:
    disks = list(state.disks)
    disks[host] = disk
    return replace(state, disks=tuple(disks))


def _with_process(state: State, host: int, process: Process) -> State:
    processes = list(state.processes)
    processes[host] = process
    return replace(state, processes=tuple(processes))


def _canonical(state: State) -> object:
    """Return a key that is the same for states that differ in names only."""
    return min(_renamed(state, order) for order in permutations(_HOSTS))


def _renamed(state: State, order: tuple[int, ...]) -> tuple[object, ...]:
    def renamed(found: tuple) -> tuple:
        return tuple(found[host] for host in order) if found else ()

    disks = tuple(
        (disk.number, disk.has_record, renamed(disk.group))
        for disk in renamed(state.disks)
    )
    processes = tuple(
        (
            process.is_running,
            process.is_first_start,
            tuple(answer or () for answer in renamed(process.round)),
        )
        for process in renamed(state.processes)
    )
    acted = tuple(sorted(renamed(group) for group in state.acted))
    holders = tuple(
        sorted((order.index(host), number) for host, number in state.holders)
    )
    return (
        disks,
        processes,
        acted,
        state.losses,
        holders,
        renamed(state.replacement),
    )
