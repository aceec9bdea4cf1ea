"""Ways to reach few member connections from many proxies, in a simulation.

One service of three members serves reads that any member may run, and
statements that only the primary runs. A member has slots and a queue, rejects
what exceeds both, limits its connections, and spends slot time on each new
connection. The ways compared:

direct
    Each proxy opens a connection when it needs one and closes it soon after.
subset
    The same, but a proxy reads from one replica only, chosen by hashing.
home
    One home proxy for each member holds warm connections and one queue, sorted
    by deadline; other proxies pass statements on to it.

Times are virtual, in seconds, and all randomness is seeded.
"""

import heapq
import itertools
import random
import statistics
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

_SLOTS = 2
_QUEUE = 16
_CONNECTION_LIMIT = 53
_HANDSHAKE_S = 0.012
_IDLE_S = 0.1
_RECONNECT_S = 0.25
_HOP_S = 0.001
_DEADLINE_S = 4.0
_TARGET_S = 1.0
_PRIMARY_SHARE = 0.35
_WORK_S = 0.014
_LENGTH_S = 20.0
_FIRST_RETRY_S = 0.02
_LONGEST_RETRY_S = 0.16
_PROXIES = (6, 63, 191, 610)
_RATES = (95.0, 190.0, 285.0)
_FREEZE_AT_S = 8.0
_FREEZE_S = 3.0
# Time until a sender notices that a home proxy is frozen, in seconds.
_NOTICE_S = 0.5


class Simulator:
    """Runs callbacks in the order of their virtual times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay."""
        item = (self.now + delay_s, next(self._order), callback)
        heapq.heappush(self._events, item)

    def run(self) -> None:
        """Run until no event is left."""
        while self._events:
            self.now, _, callback = heapq.heappop(self._events)
            callback()


@dataclass(kw_only=True, eq=False)
class Member:
    """A member with its connections, slots and queue."""

    simulator: Simulator
    connections: int = 0
    busy: int = 0
    handshakes: int = 0
    rejected: int = 0
    queue: list[tuple[float, Callable[[], None]]] = field(default_factory=list)

    def submit(self, work_s: float, done: Callable[[], None]) -> bool:
        """Run work in a slot; return False if the queue is full."""
        if self.busy < _SLOTS:
            self._start(work_s, done)
            return True
        if len(self.queue) >= _QUEUE:
            self.rejected += 1
            return False
        self.queue.append((work_s, done))
        return True

    def _start(self, work_s: float, done: Callable[[], None]) -> None:
        self.busy += 1
        self.simulator.after(work_s, lambda: self._finish(done))

    def _finish(self, done: Callable[[], None]) -> None:
        self.busy -= 1
        if self.queue:
            self._start(*self.queue.pop(0))
        done()


@dataclass(kw_only=True, eq=False)
class Statement:
    """A statement of a caller."""

    arrived_at: float
    work_s: float
    proxy: int
    needs_primary: bool
    retry_s: float = _FIRST_RETRY_S
    ended_at: float | None = None

    @property
    def deadline(self) -> float:
        """Time by which the caller needs the answer."""
        return self.arrived_at + _DEADLINE_S


class Direct:
    """Proxies that open their own connections."""

    def __init__(
        self, simulator: Simulator, members: list[Member], *, subset: bool
    ) -> None:
        self.simulator = simulator
        self.members = members
        self.subset = subset
        self.frozen: int | None = None
        self._idle: dict[tuple[int, int], set[float]] = {}
        self._generator = random.Random(7)

    def send(self, statement: Statement) -> None:
        """Run a statement, or retry it later."""
        if self.simulator.now >= statement.deadline:
            return
        if statement.proxy == self.frozen:
            return
        number = self._choose(statement)
        member = self.members[number]
        key = (statement.proxy, number)
        if idle := self._idle.get(key):
            idle.pop()
            self._submit(statement, key)
        elif member.connections >= _CONNECTION_LIMIT:
            self.simulator.after(_RECONNECT_S, lambda: self.send(statement))
        else:
            member.connections += 1
            member.handshakes += 1
            if not member.submit(
                _HANDSHAKE_S, lambda: self._submit(statement, key)
            ):
                member.connections -= 1
                self._retry(statement)

    def _choose(self, statement: Statement) -> int:
        if statement.needs_primary:
            return 0
        if self.subset:
            return 1 + statement.proxy % (len(self.members) - 1)
        return self._generator.randrange(len(self.members))

    def _submit(self, statement: Statement, key: tuple[int, int]) -> None:
        member = self.members[key[1]]
        if not member.submit(
            statement.work_s, lambda: self._answer(statement, key)
        ):
            self._keep(key)
            self._retry(statement)

    def _answer(self, statement: Statement, key: tuple[int, int]) -> None:
        statement.ended_at = self.simulator.now
        self._keep(key)

    def _keep(self, key: tuple[int, int]) -> None:
        until = self.simulator.now + _IDLE_S
        self._idle.setdefault(key, set()).add(until)
        self.simulator.after(_IDLE_S, lambda: self._close(key, until))

    def _close(self, key: tuple[int, int], until: float) -> None:
        idle = self._idle[key]
        if until in idle:
            idle.discard(until)
            self.members[key[1]].connections -= 1

    def _retry(self, statement: Statement) -> None:
        pause_s = statement.retry_s
        statement.retry_s = min(2 * pause_s, _LONGEST_RETRY_S)
        self.simulator.after(pause_s, lambda: self.send(statement))


class Home:
    """One home proxy for each member, with a queue sorted by deadline."""

    def __init__(self, simulator: Simulator, members: list[Member]) -> None:
        self.simulator = simulator
        self.members = members
        self.frozen: int | None = None
        self._queues: list[list[tuple[float, int, Statement]]] = [
            [] for _ in members
        ]
        self._order = itertools.count()
        self._in_flight = [0] * len(members)

    def send(self, statement: Statement) -> None:
        """Pass a statement on to the home of a member."""
        if statement.proxy == self.frozen:
            return
        number = self._choose(statement)
        self.simulator.after(_HOP_S, lambda: self._receive(statement, number))

    def _choose(self, statement: Statement) -> int:
        if statement.needs_primary:
            return 0
        return min(
            (1, 2, 0),
            key=lambda number: (
                number == self.frozen and self._is_noticed(),
                len(self._queues[number]) + self._in_flight[number],
            ),
        )

    def _is_noticed(self) -> bool:
        return self.simulator.now > _FREEZE_AT_S + _NOTICE_S

    def _receive(self, statement: Statement, number: int) -> None:
        if number == self.frozen:
            self.simulator.after(_NOTICE_S, lambda: self.send(statement))
            return
        item = (statement.deadline, next(self._order), statement)
        heapq.heappush(self._queues[number], item)
        self._start(number)

    def _start(self, number: int) -> None:
        queue = self._queues[number]
        if number == self.frozen:
            return
        while queue and self._in_flight[number] < _SLOTS:
            deadline, _, statement = heapq.heappop(queue)
            if deadline <= self.simulator.now:
                continue
            self._in_flight[number] += 1
            self._run(statement, number)

    def _run(self, statement: Statement, number: int) -> None:
        self.members[number].submit(
            statement.work_s, lambda: self._finish(statement, number)
        )

    def _finish(self, statement: Statement, number: int) -> None:
        self._in_flight[number] -= 1
        statement.ended_at = self.simulator.now + _HOP_S
        self._start(number)


def simulate(way: str, proxies: int, rate: float, *, freeze: bool) -> str:
    """Return one row of the table."""
    simulator = Simulator()
    members = [Member(simulator=simulator) for _ in range(3)]
    policy: Direct | Home
    if way == 'home':
        policy = Home(simulator, members)
    else:
        policy = Direct(simulator, members, subset=way == 'subset')
    generator = random.Random(proxies)
    statements = []
    arrived_at = 0.0
    while arrived_at < _LENGTH_S:
        arrived_at += generator.expovariate(rate)
        statement = Statement(
            arrived_at=arrived_at,
            work_s=generator.expovariate(1 / _WORK_S),
            proxy=generator.randrange(proxies),
            needs_primary=generator.random() < _PRIMARY_SHARE,
        )
        statements.append(statement)
        simulator.after(arrived_at, partial(policy.send, statement))
    if freeze:
        simulator.after(_FREEZE_AT_S, lambda: _freeze(policy, 1))
        simulator.after(_FREEZE_AT_S + _FREEZE_S, lambda: _freeze(policy, None))
    simulator.run()
    return _row(way, proxies, rate, freeze, statements, members)


def _freeze(policy: Direct | Home, number: int | None) -> None:
    policy.frozen = number


def _row(
    way: str,
    proxies: int,
    rate: float,
    freeze: bool,
    statements: list[Statement],
    members: list[Member],
) -> str:
    taken = sorted(
        statement.ended_at - statement.arrived_at
        for statement in statements
        if statement.ended_at is not None
    )
    in_time = sum(duration <= _TARGET_S for duration in taken)
    count = len(statements)
    handshakes = sum(member.handshakes for member in members)
    rejected = sum(member.rejected for member in members)
    return (
        f'{way:7} {proxies:5} {rate:6.0f} {"yes" if freeze else "no":>6}'
        f' {in_time / count:8.4f}'
        f' {statistics.median(taken) * 1000:8.1f}'
        f' {taken[int(len(taken) * 0.99)] * 1000:8.1f}'
        f' {handshakes / count:10.3f} {rejected / count:9.3f}'
    )


def main() -> int:
    """Print the table of all ways, sizes and rates."""
    print(
        'way     proxies   rate frozen in target  p50 ms   p99 ms'
        ' handshakes  rejected'
    )
    for freeze in (False, True):
        for rate in _RATES:
            for proxies in _PROXIES:
                for way in ('direct', 'subset', 'home'):
                    print(simulate(way, proxies, rate, freeze=freeze))
    print(
        'handshakes and rejected arrivals are given for each statement; in '
        'the rows with "yes", proxy 1, which is the home of a replica, is '
        f'frozen for {_FREEZE_S:.0f} s'
    )
    return 0


if __name__ == '__main__':
    raise SystemExit(main())
