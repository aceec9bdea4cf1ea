"""Compares the rules that divide a member's connections between proxies.

A queueing model in virtual time, without a network. Statements arrive at the
proxies as Poisson streams whose rates change every 5 s. A statement needs a
connection from its proxy's share and then a slot of the member, and occupies
the connection until the caller's think time is over. The connections are
divided again every 500 ms.
"""

import heapq
import random
import statistics
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from lavendergate.core.share_division import (
    Capacity,
    Demand,
    DivisionRule,
    divide_by_demand,
    divide_equally,
    divide_kalai_smorodinsky,
)
from lavendergate.core.types import HostId

PROXIES = 6
CONNECTIONS = 15
SLOTS = 2
SERVICE_S = 0.004
THINK_S = 0.02
LOAD = 0.85
DEADLINE_S = 2.0
DURATION_S = 60.0
PHASE_S = 5.0
DIVISION_S = 0.5
SEEDS = range(7)

RULES: dict[str, DivisionRule] = {
    'equal split': divide_equally,
    'by demand': divide_by_demand,
    'Kalai-Smorodinsky': divide_kalai_smorodinsky,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Figures:
    """Result of one run.

    Parameters
    ----------
    median_ms, p99_ms
        Time from arrival to start of execution, in milliseconds.
    served
        Fraction of the statements that started before their deadline.
    fairness
        Jain's index of the served fractions of the proxies; 1 is even.
    """

    median_ms: float
    p99_ms: float
    served: float
    fairness: float


@dataclass(kw_only=True, slots=True)
class Proxy:
    """Queue and connections of one proxy.

    Parameters
    ----------
    think_s
        Time that a connection stays in use after a statement, in seconds.
    share
        Number of connections that the proxy may use.
    queue
        Arrival time and execution time of each waiting statement, in seconds.
    recent_arrivals
        Statements that arrived since the last division.
    """

    name: HostId
    think_s: float
    share: int = 0
    used_connections: int = 0
    random_source: random.Random
    queue: deque[tuple[float, float]] = field(default_factory=deque)
    arrived: int = 0
    served: int = 0
    recent_arrivals: int = 0


class Model:
    """Simulation of one run with one division rule."""

    def __init__(self, rule: DivisionRule, seed: int) -> None:
        self.rule = rule
        self.random_source = random.Random(f'{seed} rates')
        self.proxies = [
            Proxy(
                name=HostId(f'proxy-{index}'),
                think_s=THINK_S * (index % 3),
                random_source=random.Random(f'{seed} proxy {index}'),
            )
            for index in range(PROXIES)
        ]
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.scheduled_count = 0
        self.free_slots = SLOTS
        self.waiting_for_slot: deque[Callable[[], None]] = deque()
        self.waits: list[float] = []
        self.rates: list[float] = []

    def run(self) -> Figures:
        """Simulate the whole duration and return its figures."""
        self.change_rates()
        self.divide()
        for proxy in self.proxies:
            self.schedule_arrival(proxy)
        while self.events and self.events[0][0] < DURATION_S:
            self.now, _, action = heapq.heappop(self.events)
            action()
        served_fractions = [
            proxy.served / proxy.arrived
            for proxy in self.proxies
            if proxy.arrived
        ]
        percentiles = statistics.quantiles(self.waits, n=100)
        arrived = sum(proxy.arrived for proxy in self.proxies)
        return Figures(
            median_ms=percentiles[49] * 1000,
            p99_ms=percentiles[98] * 1000,
            served=sum(proxy.served for proxy in self.proxies) / arrived,
            fairness=sum(served_fractions) ** 2
            / (
                len(served_fractions)
                * sum(fraction**2 for fraction in served_fractions)
            ),
        )

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        self.scheduled_count += 1
        heapq.heappush(
            self.events, (self.now + delay_s, self.scheduled_count, action)
        )

    def change_rates(self) -> None:
        """Draw new arrival rates of the proxies; their sum stays the same."""
        weights = [self.random_source.paretovariate(1.2) for _ in self.proxies]
        total = LOAD * SLOTS / SERVICE_S
        self.rates = [total * weight / sum(weights) for weight in weights]
        self.schedule(PHASE_S, self.change_rates)

    def schedule_arrival(self, proxy: Proxy) -> None:
        """Schedule the arrival of the next statement at a proxy."""
        rate = self.rates[self.proxies.index(proxy)]
        self.schedule(
            proxy.random_source.expovariate(rate), lambda: self.arrive(proxy)
        )

    def arrive(self, proxy: Proxy) -> None:
        """Queue a statement."""
        proxy.arrived += 1
        proxy.recent_arrivals += 1
        service_s = proxy.random_source.expovariate(1 / SERVICE_S)
        proxy.queue.append((self.now, service_s))
        self.start_queued(proxy)
        self.schedule_arrival(proxy)

    def start_queued(self, proxy: Proxy) -> None:
        """Start queued statements on free connections; drop expired ones."""
        while proxy.queue and proxy.used_connections < proxy.share:
            arrived_at, service_s = proxy.queue.popleft()
            if self.now - arrived_at > DEADLINE_S:
                continue
            proxy.used_connections += 1
            self.execute(proxy, arrived_at, service_s)

    def execute(
        self, proxy: Proxy, arrived_at: float, service_s: float
    ) -> None:
        """Execute a statement once a slot is free."""
        if not self.free_slots:
            self.waiting_for_slot.append(
                lambda: self.execute(proxy, arrived_at, service_s)
            )
            return
        self.free_slots -= 1
        self.waits.append(self.now - arrived_at)
        if self.now - arrived_at <= DEADLINE_S:
            proxy.served += 1
        self.schedule(service_s, lambda: self.end_execution(proxy))

    def end_execution(self, proxy: Proxy) -> None:
        """Free the slot; the connection stays in use for the think time."""
        self.free_slots += 1
        if self.waiting_for_slot:
            self.waiting_for_slot.popleft()()
        self.schedule(proxy.think_s, lambda: self.release_connection(proxy))

    def release_connection(self, proxy: Proxy) -> None:
        """Free the connection and start the next queued statement."""
        proxy.used_connections -= 1
        self.start_queued(proxy)

    def divide(self) -> None:
        """Divide the connections by the demand since the last division."""
        demands = {}
        for proxy in self.proxies:
            rate = proxy.recent_arrivals / DIVISION_S
            backlog = len(proxy.queue)
            slots = rate * SERVICE_S + backlog * SERVICE_S / DIVISION_S
            connections = rate * (SERVICE_S + proxy.think_s) + backlog
            demands[proxy.name] = Demand(connections=connections, slots=slots)
            proxy.recent_arrivals = 0
        capacity = Capacity(connections=CONNECTIONS - PROXIES, slots=SLOTS)
        shares = self.rule(capacity, demands)
        for proxy in self.proxies:
            proxy.share = 1 + shares[proxy.name]
            self.start_queued(proxy)
        self.schedule(DIVISION_S, self.divide)


def main() -> None:
    """Print the figures of each rule."""
    print(
        f'{PROXIES} proxies, {CONNECTIONS} connections, {SLOTS} slots, load '
        f'{LOAD:.0%}, {DURATION_S:g} s of virtual time, {len(SEEDS)} seeds; '
        f'median (lowest to highest) over the seeds'
    )
    for name, rule in RULES.items():
        runs = [Model(rule, seed).run() for seed in SEEDS]
        print(
            f'{name:18} '
            f'wait median {_spread([run.median_ms for run in runs])} ms, '
            f'p99 {_spread([run.p99_ms for run in runs])} ms, '
            f'served {_spread([run.served * 100 for run in runs])} %, '
            f'Jain {_spread([run.fairness for run in runs], 3)}'
        )


def _spread(values: list[float], digits: int = 1) -> str:
    middle = statistics.median(values)
    low, high = min(values), max(values)
    return f'{middle:.{digits}f} ({low:.{digits}f} to {high:.{digits}f})'


if __name__ == '__main__':
    main()
