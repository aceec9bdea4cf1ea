"""Compares the rules that divide a member's connections between proxies.

A queueing model in virtual time, without network: statements arrive at the
proxies as Poisson streams whose rates change every few seconds, need a
connection of their proxy's share and then a slot of the member, and keep the
connection while the caller thinks. Shares are divided anew every 500 ms.
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
    """Result of one run; waiting times in milliseconds."""

    median_ms: float
    p99_ms: float
    served: float
    fairness: float


@dataclass(kw_only=True, slots=True)
class Proxy:
    """Queue and connections of one proxy."""

    name: HostId
    think_s: float
    share: int = 0
    busy: int = 0
    source: random.Random
    queue: deque[tuple[float, float]] = field(default_factory=deque)
    arrived: int = 0
    served: int = 0
    recent: int = 0


class Model:
    """One run of the queueing model."""

    def __init__(self, rule: DivisionRule, seed: int) -> None:
        self.rule = rule
        self.source = random.Random(f'{seed} rates')
        self.proxies = [
            Proxy(
                name=HostId(f'proxy-{index}'),
                think_s=THINK_S * (index % 3),
                source=random.Random(f'{seed} proxy {index}'),
            )
            for index in range(PROXIES)
        ]
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.free_slots = SLOTS
        self.waiting_for_slot: deque[Callable[[], None]] = deque()
        self.waits: list[float] = []
        self.rates: list[float] = []

    def run(self) -> Figures:
        """Run the model to its end."""
        self.change_rates()
        self.divide()
        for proxy in self.proxies:
            self.schedule_arrival(proxy)
        while self.events and self.events[0][0] < DURATION_S:
            self.now, _, action = heapq.heappop(self.events)
            action()
        parts = [
            proxy.served / proxy.arrived
            for proxy in self.proxies
            if proxy.arrived
        ]
        cuts = statistics.quantiles(self.waits, n=100)
        arrived = sum(proxy.arrived for proxy in self.proxies)
        return Figures(
            median_ms=cuts[49] * 1000,
            p99_ms=cuts[98] * 1000,
            served=sum(proxy.served for proxy in self.proxies) / arrived,
            fairness=sum(parts) ** 2
            / (len(parts) * sum(part**2 for part in parts)),
        )

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self.count += 1
        heapq.heappush(self.events, (self.now + delay_s, self.count, action))

    def change_rates(self) -> None:
        """Draw new arrival rates of the same sum."""
        weights = [self.source.paretovariate(1.2) for _ in self.proxies]
        total = LOAD * SLOTS / SERVICE_S
        self.rates = [total * one / sum(weights) for one in weights]
        self.after(PHASE_S, self.change_rates)

    def schedule_arrival(self, proxy: Proxy) -> None:
        """Schedule the next statement of a proxy."""
        rate = self.rates[self.proxies.index(proxy)]
        self.after(proxy.source.expovariate(rate), lambda: self.arrive(proxy))

    def arrive(self, proxy: Proxy) -> None:
        """Queue a statement."""
        proxy.arrived += 1
        proxy.recent += 1
        service_s = proxy.source.expovariate(1 / SERVICE_S)
        proxy.queue.append((self.now, service_s))
        self.start(proxy)
        self.schedule_arrival(proxy)

    def start(self, proxy: Proxy) -> None:
        """Start queued statements on free connections."""
        while proxy.queue and proxy.busy < proxy.share:
            arrived_at, service_s = proxy.queue.popleft()
            if self.now - arrived_at > DEADLINE_S:
                continue
            proxy.busy += 1
            self.take_slot(proxy, arrived_at, service_s)

    def take_slot(
        self, proxy: Proxy, arrived_at: float, service_s: float
    ) -> None:
        """Execute a statement once a slot is free."""
        if not self.free_slots:
            self.waiting_for_slot.append(
                lambda: self.take_slot(proxy, arrived_at, service_s)
            )
            return
        self.free_slots -= 1
        self.waits.append(self.now - arrived_at)
        if self.now - arrived_at <= DEADLINE_S:
            proxy.served += 1
        self.after(service_s, lambda: self.end_service(proxy))

    def end_service(self, proxy: Proxy) -> None:
        """Free the slot; the connection is kept for a while."""
        self.free_slots += 1
        if self.waiting_for_slot:
            self.waiting_for_slot.popleft()()
        self.after(proxy.think_s, lambda: self.release(proxy))

    def release(self, proxy: Proxy) -> None:
        """Free the connection."""
        proxy.busy -= 1
        self.start(proxy)

    def divide(self) -> None:
        """Divide the connections by the demand since the last time."""
        claims = {}
        for proxy in self.proxies:
            rate = proxy.recent / DIVISION_S
            backlog = len(proxy.queue)
            slots = rate * SERVICE_S + backlog * SERVICE_S / DIVISION_S
            held = rate * (SERVICE_S + proxy.think_s) + backlog
            claims[proxy.name] = Demand(connections=held, slots=slots)
            proxy.recent = 0
        supply = Capacity(connections=CONNECTIONS - PROXIES, slots=SLOTS)
        shares = self.rule(supply, claims)
        for proxy in self.proxies:
            proxy.share = 1 + shares[proxy.name]
            self.start(proxy)
        self.after(DIVISION_S, self.divide)


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
            f'wait median {_spread([one.median_ms for one in runs])} ms, '
            f'p99 {_spread([one.p99_ms for one in runs])} ms, '
            f'served {_spread([one.served * 100 for one in runs])} %, '
            f'Jain {_spread([one.fairness for one in runs], 3)}'
        )


def _spread(figures: list[float], digits: int = 1) -> str:
    middle = statistics.median(figures)
    low, high = min(figures), max(figures)
    return f'{middle:.{digits}f} ({low:.{digits}f} to {high:.{digits}f})'


if __name__ == '__main__':
    main()
