"""Compares orders of service for statements that wait at one member.

A simulation in virtual time of one member with slots, without a network.
Three classes of statements arrive: urgent ones, usual ones, and a burst of
the least urgent class. One of the customers of the usual class sends ten times
as much as each other. Run with ``python -m benchmarks.service_order``.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from lavendergate.core.customers.table import CustomerName
from lavendergate.core.service_order.fair_share import Ticket
from lavendergate.core.service_order.queue import ServiceQueue
from lavendergate.core.sessions.context import StatementContext

SLOTS = 6
DURATION_S = 30.0
BURST_S = (10.0, 20.0)
# Mean work in seconds, and arrivals per second before and in the burst, by
# route priority. In the burst, the load is 1.3 times what the member executes.
WORK_S = (0.0093, 0.028, 0.047)
RATES = ((60, 60), (85, 220), (20, 60))
# Time within which a statement has to be answered, in seconds.
TIME_LIMIT_S = (0.8, 1.0, 1.2)
CUSTOMERS = 9
RUSH_FACTOR = 10
RUSHING = CustomerName('c0')
SEEDS = 5


@dataclass(kw_only=True, eq=False)
class Arrival:
    """A statement; times in seconds."""

    context: StatementContext
    at: float
    work_s: float

    @property
    def deadline(self) -> float:
        """Time by which it has to be answered."""
        return self.at + TIME_LIMIT_S[self.context.route_priority]


Key = Callable[[Arrival], tuple[float, ...]]


class SortedRule:
    """Serves by a fixed key, and admits by the length of the whole queue."""

    def __init__(self, key: Key, *, admits_all: bool = False) -> None:
        self._key = key
        self._admits_all = admits_all
        self._waiting: list[tuple[tuple[float, ...], int, Arrival]] = []
        self._numbers = itertools.count()

    def admits(self, arrival: Arrival, mean_s: float, now: float) -> bool:
        """Return whether the statement may wait."""
        wait_s = (len(self._waiting) + 1) * mean_s / SLOTS
        return self._admits_all or now + wait_s < arrival.deadline

    def add(self, arrival: Arrival) -> None:
        """Add a waiting statement."""
        number = next(self._numbers)
        heapq.heappush(self._waiting, (self._key(arrival), number, arrival))

    def pop(self, now: float) -> Arrival | None:
        """Return the next statement that has time left."""
        while self._waiting:
            arrival = heapq.heappop(self._waiting)[2]
            if self._can_start(arrival, now):
                return arrival
        return None

    def end(self, now: float) -> None:
        """Do nothing at the end of a statement."""

    def _can_start(self, arrival: Arrival, now: float) -> bool:
        needed_s = arrival.work_s if self._admits_all else 0
        return now + needed_s < arrival.deadline


class WeightedRule(SortedRule):
    """Weighted fair queueing between the classes, weights 4, 2 and 1."""

    def __init__(self) -> None:
        self._tags = [0.0, 0.0, 0.0]
        self._virtual = 0.0
        super().__init__(self._tag)

    def pop(self, now: float) -> Arrival | None:
        """Return the next statement, and advance the virtual time."""
        if self._waiting:
            self._virtual = self._waiting[0][0][0]
        return super().pop(now)

    def _tag(self, arrival: Arrival) -> tuple[float, ...]:
        priority = arrival.context.route_priority
        start = max(self._virtual, self._tags[priority])
        self._tags[priority] = start + arrival.work_s * 2**priority
        return (start,)


class ProductRule:
    """The queue of the product."""

    def __init__(self) -> None:
        self._queue = ServiceQueue(limit=SLOTS)
        self._arrivals: dict[int, tuple[Ticket, Arrival]] = {}

    def admits(self, arrival: Arrival, mean_s: float, now: float) -> bool:
        """Return whether the statement may wait."""
        wait_s = self._queue.expected_wait_s(arrival.context, mean_s, now)
        return now + wait_s < arrival.deadline

    def add(self, arrival: Arrival) -> None:
        """Add a waiting statement."""
        ticket = self._queue.enqueue(
            is_new=True, deadline=arrival.deadline, context=arrival.context
        )
        self._arrivals[id(ticket)] = (ticket, arrival)

    def pop(self, now: float) -> Arrival | None:
        """Return the next statement; those whose time is over are gone."""
        for ticket, arrival in tuple(self._arrivals.values()):
            if arrival.deadline <= now:
                self._queue.cancel(ticket)
                self._arrivals.pop(id(ticket))
        taken = self._queue.take_next()
        return None if taken is None else self._arrivals.pop(id(taken))[1]

    def end(self, now: float) -> None:
        """Record the end of a statement."""
        if self._queue.running:
            self._queue.finish(now)


Rule = SortedRule | ProductRule


@dataclass(kw_only=True)
class Figures:
    """Counts by route priority, waits and gaps in seconds."""

    asked: list[int] = field(default_factory=lambda: [0, 0, 0])
    in_time: list[int] = field(default_factory=lambda: [0, 0, 0])
    refused: int = 0
    late: int = 0
    waits: list[float] = field(default_factory=list)
    served_at: float = 0
    longest_gap_s: float = 0
    by_customer: dict[CustomerName | None, list[int]] = field(
        default_factory=dict
    )

    def record(self, arrival: Arrival, started: float, ended: float) -> None:
        """Record a statement that ran."""
        priority = arrival.context.route_priority
        if ended > arrival.deadline:
            self.late += 1
            return
        self.in_time[priority] += 1
        if priority == 0:
            self.waits.append(started - arrival.at)
        if priority == 1:
            self.by_customer[arrival.context.customer][1] += 1
        if priority == 2 and BURST_S[0] < ended < BURST_S[1]:
            since = max(self.served_at, BURST_S[0])
            self.longest_gap_s = max(self.longest_gap_s, ended - since)
            self.served_at = ended


def arrivals(seed: int) -> list[Arrival]:
    """Return the statements of one run."""
    source = random.Random(seed)
    weights = [RUSH_FACTOR] + [1] * (CUSTOMERS - 1)
    result = []
    for priority, rates in enumerate(RATES):
        now = 0.0
        while now < DURATION_S:
            is_burst = BURST_S[0] <= now < BURST_S[1]
            now += source.expovariate(rates[1 if is_burst else 0])
            customer = source.choices(range(CUSTOMERS), weights)[0]
            context = StatementContext(
                customer=CustomerName(f'c{customer}'), route_priority=priority
            )
            work_s = source.expovariate(1 / WORK_S[priority])
            result.append(Arrival(context=context, at=now, work_s=work_s))
    return sorted(result, key=lambda arrival: arrival.at)


def play(rule: Rule, statements: list[Arrival], figures: Figures) -> None:
    """Play the statements with a rule, and add to the figures."""
    running: list[float] = []
    mean_s = WORK_S[1]

    def start_free(now: float) -> None:
        while len(running) < SLOTS:
            arrival = rule.pop(now)
            if arrival is None:
                return
            ended = now + arrival.work_s
            heapq.heappush(running, ended)
            figures.record(arrival, now, ended)

    for arrival in statements:
        while running and running[0] <= arrival.at:
            now = heapq.heappop(running)
            rule.end(now)
            start_free(now)
        priority = arrival.context.route_priority
        figures.asked[priority] += 1
        if priority == 1:
            figures.by_customer.setdefault(arrival.context.customer, [0, 0])
            figures.by_customer[arrival.context.customer][0] += 1
        is_free = len(running) < SLOTS
        if is_free or rule.admits(arrival, mean_s, arrival.at):
            rule.add(arrival)
            start_free(arrival.at)
        else:
            figures.refused += 1


RULES: dict[str, Callable[[], Rule]] = {
    'deadline (before)': lambda: SortedRule(lambda each: (each.deadline,)),
    'strict priority': lambda: SortedRule(
        lambda each: (each.context.route_priority, each.deadline)
    ),
    'priority ages 1 s a class': lambda: SortedRule(
        lambda each: (each.at + each.context.route_priority,)
    ),
    'weighted fair 4:2:1': WeightedRule,
    'service_order': ProductRule,
    'durations known, strict': lambda: SortedRule(
        lambda each: (each.context.route_priority, each.work_s),
        admits_all=True,
    ),
}


def main() -> None:
    """Print one row for each rule."""
    print(
        '| Rule | in time: urgent, usual, least | p99 wait urgent ms | '
        'refused | late | worst other customer of usual | longest gap least s |'
    )
    print('| --- | --- | --- | --- | --- | --- | --- |')
    for name, make in RULES.items():
        figures = Figures()
        for seed in range(SEEDS):
            figures.served_at = 0
            play(make(), arrivals(seed), figures)
        shares = ', '.join(
            f'{in_time / asked:.3f}'
            for in_time, asked in zip(
                figures.in_time, figures.asked, strict=True
            )
        )
        waits = sorted(figures.waits)
        p99_ms = 1000 * waits[int(0.99 * len(waits))]
        worst = min(
            served / asked
            for customer, (asked, served) in figures.by_customer.items()
            if customer != RUSHING
        )
        print(
            f'| {name} | {shares} | {p99_ms:.0f} | {figures.refused} | '
            f'{figures.late} | {worst:.3f} | {figures.longest_gap_s:.2f} |'
        )


if __name__ == '__main__':
    main()
