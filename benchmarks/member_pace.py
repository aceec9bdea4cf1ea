"""Compares ways to find the pace of members that start, recover or fail.

Three equal replicas serve reads for several proxies in virtual time; no
network is used. Each proxy has estimates of its own.

Run with ``python -m benchmarks.member_pace``.
"""

import functools
import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import median

from benchmarks.pace_ways import SERVICE_S, WAYS, Link
from lavendergate.core.placement.read_order import (
    ReadCandidate,
    order_for_read,
)
from lavendergate.core.types import LogPosition, Term, UpstreamId

MEMBERS = 3
PROXIES = 8
SLOTS = 6
QUEUE = 48
LOAD = 0.6
DURATION_S = 20.0
IN_TIME_S = 0.15
ATTEMPTS = 3
SEEDS = range(3)
# The member that is disturbed, and when.
_TARGET = 0
_FROM_S, _TO_S = 5.0, 10.0
_PROBE_S = 0.25
_POSITION = LogPosition(term=Term(1), position=1)
_NAMES = tuple(UpstreamId(f'm{index}') for index in range(MEMBERS))


@dataclass(frozen=True, kw_only=True)
class Play:
    """What happens to the disturbed member, as functions of the time."""

    name: str
    is_down: Callable[[float], bool] = lambda now: False
    slowdown: Callable[[float], float] = lambda now: 1
    error_share: Callable[[float], float] = lambda now: 0
    slow_members: int = 1


def _within(now: float) -> bool:
    return _FROM_S <= now < _TO_S


def _cold(now: float, factor: float) -> float:
    return factor if _TO_S <= now < _TO_S + 3 else 1


PLAYS = (
    Play(
        name='recovered, cold x1.6 for 3 s',
        is_down=_within,
        slowdown=functools.partial(_cold, factor=1.6),
    ),
    Play(
        name='recovered, cold x6 for 3 s',
        is_down=_within,
        slowdown=functools.partial(_cold, factor=6),
    ),
    Play(name='recovered, warm', is_down=_within),
    Play(
        name='flapping each 0.7 s',
        is_down=lambda now: _within(now) and int(now / 0.7) % 2 == 0,
    ),
    Play(
        name='fails 40%, health good',
        error_share=lambda now: 0.4 * _within(now),
    ),
    Play(name='slow x5', slowdown=lambda now: 5 if _within(now) else 1),
    Play(
        name='all slow x1.5',
        slowdown=lambda now: 1.5 if _within(now) else 1,
        slow_members=MEMBERS,
    ),
)


@dataclass(kw_only=True)
class Read:
    """A read of a caller."""

    proxy: int
    arrived_at: float
    service_s: float
    tried: list[int] = field(default_factory=list)


class Run:
    """One run of the event model."""

    def __init__(self, play: Play, way: type[Link], seed: int) -> None:
        """Create the members, the proxies and the reads."""
        self._play = play
        self._random = random.Random(seed)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._links = [[way() for _ in range(MEMBERS)] for _ in range(PROXIES)]
        self._free = [SLOTS] * MEMBERS
        self._queues: list[deque[Callable[[], None]]] = [
            deque() for _ in range(MEMBERS)
        ]
        self._now = 0.0
        self.offered = self.good = self.late = self.refused = 0
        self.failed_attempts = 0
        self.served_at: list[list[float]] = [[] for _ in range(MEMBERS)]

    def run(self) -> 'Run':
        """Run to the end."""
        rate = LOAD * MEMBERS * SLOTS / SERVICE_S
        now = 0.0
        while now < DURATION_S:
            now += self._random.expovariate(rate)
            read = Read(
                proxy=self._random.randrange(PROXIES),
                arrived_at=now,
                service_s=SERVICE_S * self._random.lognormvariate(-0.245, 0.7),
            )
            self.offered += 1
            self._at(now, functools.partial(self._send, read))
        for proxy in range(PROXIES):
            for tick in range(int(DURATION_S / _PROBE_S)):
                at = (tick + proxy / PROXIES) * _PROBE_S
                self._at(at, functools.partial(self._probe, proxy))
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self

    def time_to_full_use(self) -> float:
        """Return when the member serves 80% of its peers after `_TO_S`."""
        for tick in range(100):
            start = _TO_S + tick / 10
            counts = [
                sum(start <= at < start + 0.5 for at in served)
                for served in self.served_at
            ]
            if counts[_TARGET] >= 0.8 * sum(counts[1:]) / (MEMBERS - 1):
                return tick / 10
        return float('inf')

    def _at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._order), action))

    def _is_down(self, member: int) -> bool:
        return member == _TARGET and self._play.is_down(self._now)

    def _probe(self, proxy: int) -> None:
        link = self._links[proxy][_TARGET]
        if link.is_suspect and not self._is_down(_TARGET):
            link.is_suspect = False
            link.recovered(self._now)

    def _send(self, read: Read) -> None:
        links = self._links[read.proxy]
        for link in links:
            link.compare(
                [peer for peer in links if peer is not link], self._now
            )
        candidates = tuple(
            ReadCandidate(
                upstream_id=_NAMES[member],
                is_primary=False,
                latency_s=link.latency_s,
                in_flight=link.in_flight,
                slots=SLOTS,
                applied=None,
                applied_age_s=0,
                is_suspect=link.is_suspect,
                pace=link.pace(self._now),
                error_share=link.error_share(self._now),
                is_withheld=not link.may_take(self._now),
            )
            for member, link in enumerate(links)
            if member not in read.tried
        )
        if not candidates or len(read.tried) == ATTEMPTS:
            self.refused += 1
            return
        member = _NAMES.index(order_for_read(candidates, _POSITION)[0])
        read.tried.append(member)
        links[member].in_flight += 1
        sent_at = self._now
        if self._is_down(member):
            self._at(
                sent_at + 0.005,
                functools.partial(self._end, read, member, sent_at, 'lost'),
            )
        elif self._free[member]:
            self._free[member] -= 1
            self._start(read, member, sent_at)
        elif len(self._queues[member]) < QUEUE:
            self._queues[member].append(
                functools.partial(self._start, read, member, sent_at)
            )
        else:
            self._end(read, member, sent_at, 'busy')

    def _start(self, read: Read, member: int, sent_at: float) -> None:
        factor = 1.0
        if member < self._play.slow_members:
            factor = self._play.slowdown(self._now)
        self._at(
            self._now + read.service_s * factor,
            functools.partial(self._served, read, member, sent_at),
        )

    def _served(self, read: Read, member: int, sent_at: float) -> None:
        if self._queues[member]:
            self._queues[member].popleft()()
        else:
            self._free[member] += 1
        outcome = 'ok'
        if member == _TARGET:
            error_share = self._play.error_share(self._now)
            if self._is_down(member):
                outcome = 'lost'
            elif error_share and self._random.random() < error_share:
                outcome = 'failed'
        self._end(read, member, sent_at, outcome)

    def _end(
        self, read: Read, member: int, sent_at: float, outcome: str
    ) -> None:
        link = self._links[read.proxy][member]
        link.in_flight -= 1
        if outcome == 'lost':
            link.is_suspect = True
        else:
            if link.is_suspect:
                link.is_suspect = False
                link.recovered(self._now)
            latency_s = self._now - sent_at
            link.answered(self._now, latency_s, ok=outcome == 'ok')
        if outcome != 'ok':
            self.failed_attempts += 1
            self._send(read)
            return
        self.served_at[member].append(self._now)
        if self._now - read.arrived_at <= IN_TIME_S:
            self.good += 1
        else:
            self.late += 1


def main() -> None:
    """Print one row for each play and way."""
    print(
        f'{MEMBERS} replicas, {SLOTS} slots, {PROXIES} proxies, {LOAD:.0%} '
        f'load, {SERVICE_S * 1000:.0f} ms a read, disturbed {_FROM_S:.0f} to '
        f'{_TO_S:.0f} s of {DURATION_S:.0f} s; median of {len(SEEDS)} seeds\n'
    )
    print(
        f'| play | way | in {IN_TIME_S} s % | late | refused '
        '| failed attempts | s to full use |\n' + '| --- ' * 7 + '|'
    )
    for play in PLAYS:
        for name, way in WAYS:
            runs = [Run(play, way, seed).run() for seed in SEEDS]
            good = median(100 * run.good / run.offered for run in runs)
            cells = (
                play.name,
                name,
                f'{good:.2f}',
                f'{median(run.late for run in runs):.0f}',
                f'{median(run.refused for run in runs):.0f}',
                f'{median(run.failed_attempts for run in runs):.0f}',
                f'{median(run.time_to_full_use() for run in runs):.1f}',
            )
            print('| ' + ' | '.join(cells) + ' |')


if __name__ == '__main__':
    main()
