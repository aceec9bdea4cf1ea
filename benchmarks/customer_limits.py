"""Compares ways of keeping the limits of customers over all proxies.

Run with ``python -m benchmarks.customer_limits [PROXIES ...]``. The owners are
the code of the product under a paused clock; the other ways are buckets at each
counter.
"""

import random
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from lavendergate.core.customers.table import OperationLimit
from lavendergate.core.limits.bucket import TokenBucket
from lavendergate.core.limits.budget import OwnerLimit
from lavendergate.tests.limits.limit_fixture import TOLERANCE, LimitFleet, play
from properties.limit_window import most_in_window

_SIZES = (6, 74, 191, 610)
_CUSTOMERS = 80
_OPERATIONS_PER_S = 900
_SKEW = 1.2
_HEADROOM = 1.6
_RUSH = 6
_RUSH_RANK = 3
_RUSH_S = (4, 9)
_LENGTH_S = 14
# Seconds after which traffic moves to the other half of the failure domains.
_MOVES_EVERY_S = 4
_DOMAINS = 6
_HOMES = 36
# Size of a rate or a demand of one customer in a message, in bytes.
_RATE_BYTES = 12


@dataclass(kw_only=True)
class Outcome:
    """What a way granted.

    Parameters
    ----------
    ran_at
        When the operations of each customer ran, in seconds.
    """

    ran_at: dict[int, list[float]] = field(default_factory=dict)
    messages: int = 0
    message_bytes: int = 0


Operation = tuple[float, int, int]
LIMITS = {
    rank: OperationLimit(rate_per_s=rate, burst=rate)
    for rank, rate in (
        (
            rank,
            _HEADROOM
            * _OPERATIONS_PER_S
            * rank**-_SKEW
            / sum(other**-_SKEW for other in range(1, _CUSTOMERS + 1)),
        )
        for rank in range(1, _CUSTOMERS + 1)
    )
}


def operations(proxies: int) -> list[Operation]:
    """Return the time, proxy and customer of each operation."""
    generator = random.Random(proxies)
    made = []
    for rank, limit in LIMITS.items():
        now = 0.0
        while now < _LENGTH_S:
            rushes = rank == _RUSH_RANK and _RUSH_S[0] < now < _RUSH_S[1]
            per_s = limit.rate_per_s / _HEADROOM * (_RUSH if rushes else 1)
            now += generator.expovariate(per_s)
            half = int(now / _MOVES_EVERY_S) % 2
            proxy = generator.randrange(proxies)
            while generator.random() < 0.9 and proxy % _DOMAINS % 2 != half:
                proxy = generator.randrange(proxies)
            made.append((now, proxy, rank))
    return sorted(made)


def bucket(limit: OperationLimit, parts: float) -> TokenBucket:
    """Return a full bucket for a part of a limit."""
    part = OwnerLimit(
        rate_per_s=limit.rate_per_s / parts,
        capacity=max(1, limit.burst / parts),
        lease_s=0,
    )
    return TokenBucket(limit=part, filled_at=0, tokens=part.capacity)


def count_locally(
    made: list[Operation], counters: int, count_at: Callable[[int], int]
) -> Outcome:
    """Grant from equal parts of each limit."""
    outcome = Outcome()
    buckets: dict[tuple[int, int], TokenBucket] = {}
    for now, proxy, rank in made:
        key = (rank, count_at(proxy))
        if key not in buckets:
            buckets[key] = bucket(LIMITS[rank], counters)
        if buckets[key].take(1, now):
            outcome.ran_at.setdefault(rank, []).append(now)
    return outcome


def divide_by_leader(made: list[Operation], proxies: int) -> Outcome:
    """Grant from parts that the leader divides by the demand each second."""
    outcome = Outcome()
    buckets: dict[tuple[int, int], TokenBucket] = {}
    demand: Counter[tuple[int, int]] = Counter()
    shares: dict[tuple[int, int], float] = {}
    second = 0
    for now, proxy, rank in made:
        if int(now) > second:
            second = int(now)
            totals = Counter[int]()
            for (customer, _), count in demand.items():
                totals[customer] += count
            shares = {
                key: count / totals[key[0]] for key, count in demand.items()
            }
            outcome.messages += 2 * proxies
            outcome.message_bytes += 2 * _RATE_BYTES * len(demand)
            demand.clear()
        key = (rank, proxy)
        demand[key] += 1
        # A tenth is divided equally, for proxies without demand so far.
        share = 0.9 * shares.get(key, 0) + 0.1 / proxies
        part = bucket(LIMITS[rank], 1 / share)
        kept = buckets.setdefault(key, part)
        kept.change(part.limit, now)
        if kept.take(1, now):
            outcome.ran_at.setdefault(rank, []).append(now)
    return outcome


def borrow_from_owners(made: list[Operation], proxies: int) -> Outcome:
    """Grant by the product's owners and borrowers."""
    outcome = Outcome()

    async def scenario(fleet: LimitFleet) -> None:
        fleet.limit(
            {
                str(rank): (limit.rate_per_s, limit.burst)
                for rank, limit in LIMITS.items()
            }
        )
        addresses = [*fleet.nodes]
        begun_at = anyio.current_time()
        for at, proxy, rank in made:
            await anyio.sleep_until(begun_at + at)
            fleet.tasks.start_soon(fleet.run, addresses[proxy], str(rank))
        await anyio.sleep(1)
        outcome.ran_at = {
            int(rank): times for rank, times in fleet.ran_at.items()
        }
        outcome.messages = fleet.messages
        outcome.message_bytes = fleet.message_bytes

    play(scenario, proxies=proxies)
    return outcome


def report(way: str, proxies: int, made: list[Operation], one: Outcome) -> None:
    """Print one line of the table."""
    owed = count_locally(made, 1, lambda proxy: 0)
    refused = sum(
        max(0, len(times) - len(one.ran_at.get(rank, [])))
        for rank, times in owed.ran_at.items()
    )
    total = sum(map(len, owed.ran_at.values()))
    excess = max(
        most_in_window(times, TOLERANCE.window_s)
        / TOLERANCE.allowed(LIMITS[rank])
        for rank, times in one.ran_at.items()
    )
    sys.stdout.write(
        f'| {proxies} | {way} | {refused / total:.2%} | {excess:.2f} | '
        f'{one.messages / _LENGTH_S:,.0f} | '
        f'{one.message_bytes / _LENGTH_S / 1000:.1f} |\n'
    )


def main() -> None:
    """Print the table, for all sizes or for those in the arguments."""
    homes = random.Random(0)
    for proxies in map(int, sys.argv[1:] or _SIZES):
        made = operations(proxies)
        for way, outcome in (
            ('owners lend on demand', borrow_from_owners(made, proxies)),
            ('leader divides each second', divide_by_leader(made, proxies)),
            (
                'equal parts at the proxies',
                count_locally(made, proxies, lambda proxy: proxy),
            ),
            (
                'equal parts at the homes',
                count_locally(
                    made, _HOMES, lambda proxy: homes.randrange(_HOMES)
                ),
            ),
        ):
            report(way, proxies, made, outcome)


if __name__ == '__main__':
    main()
