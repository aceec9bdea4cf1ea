"""Random schedules of leaders that lease primaries and order promotions.

Leaders are elected one after the other. A leader confirms that it leads only
until its successor is elected, may be frozen at any time, and does not know
when it has been replaced. Proxies send requests whose delivery and reply take
any time. The lease decisions are those of `lavendergate.core.leases`.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from lavendergate.core.leases.granting import LeaseLedger
from lavendergate.core.types import GroupId

SERVICE = GroupId('rounds')
# Age up to which a proof allows an order, and the longest time until the order
# has arrived, in seconds; see the takeover controller and the platform's calls.
PROOF_AGE_S = 0.6
DELIVERY_LIMIT_S = 0.4
_LEADERS = 4
_STEPS = 60


def _starts_when_granted(
    sent_at: float, held_s: float, received_at: float
) -> float:
    return sent_at + held_s


def _after_all_leases(ledger: LeaseLedger, now: float) -> float:
    return now + ledger.remaining_s(SERVICE, now)


@dataclass(frozen=True, kw_only=True)
class Rules:
    """Rules of the protocol; a test replaces one to inject a fault.

    Parameters
    ----------
    lease_start
        Start of a lease at the proxy, given when the request was sent, how
        long the leader held it and when the reply arrived.
    lease_s
        Duration of a lease that is granted at a time.
    first_order_at
        Earliest time at which a leader may send an order.
    may_send
        Whether an order may be sent, given the age of its proof.
    """

    lease_start: Callable[[float, float, float], float] = _starts_when_granted
    lease_s: Callable[[LeaseLedger, float], float] = LeaseLedger.lease_s
    first_order_at: Callable[[LeaseLedger, float], float] = _after_all_leases
    may_send: Callable[[float], bool] = lambda age_s: age_s <= PROOF_AGE_S


@dataclass(kw_only=True)
class Outcome:
    """What happened in a schedule.

    Parameters
    ----------
    leases
        Time of the grant and end of each lease, with the leader's number.
    orders
        Arrival of each order at the platform, with the leader's number.
    """

    leases: list[tuple[int, float, float]] = field(default_factory=list)
    orders: list[tuple[int, float]] = field(default_factory=list)

    def lease_overlaps(self) -> int:
        """Count leases that were granted before an order and outlast it.

        Leases of a later leader do not count: it sees the order in the
        replicated log and leases nothing until the order is settled.
        """
        return sum(
            granted_at < ordered_at < until and leader <= ordering
            for leader, granted_at, until in self.leases
            for ordering, ordered_at in self.orders
        )

    def overtaken_orders(self) -> int:
        """Count orders that arrived after one of a later leader."""
        return sum(
            first < second and first_at > second_at
            for first, first_at in self.orders
            for second, second_at in self.orders
        )


def run_schedule(seed: int, rules: Rules) -> Outcome:
    """Run one schedule and return what happened."""
    generator = random.Random(seed)
    outcome = Outcome()
    elected_at = 0.0
    for leader in range(_LEADERS):
        replaced_at = elected_at + generator.uniform(0.5, 4)
        _lead(generator, rules, outcome, leader, elected_at, replaced_at)
        elected_at = replaced_at
    return outcome


def _lead(
    generator: random.Random,
    rules: Rules,
    outcome: Outcome,
    leader: int,
    elected_at: float,
    replaced_at: float,
) -> None:
    ledger = LeaseLedger(leading_since=elected_at, confirmed_at=elected_at)
    ledger.grant(SERVICE)
    now = elected_at
    for _ in range(_STEPS):
        now += generator.choice((0.02, 0.1, 0.2, generator.uniform(0, 3)))
        match generator.randrange(4):
            case 0 if now < replaced_at:
                ledger.confirmed_at = now
            case 1 if ledger.is_granted(SERVICE):
                _reply(generator, rules, outcome, leader, ledger, now)
            case 2:
                ledger.withhold(SERVICE, now)
            case 3 if not ledger.is_granted(SERVICE):
                arrived_at = _order(
                    generator, rules, outcome, leader, ledger, now, replaced_at
                )
                if arrived_at is not None:
                    # The next primary is leased once it leads.
                    now = max(now, arrived_at)
                    ledger.grant(SERVICE)


def _reply(
    generator: random.Random,
    rules: Rules,
    outcome: Outcome,
    leader: int,
    ledger: LeaseLedger,
    now: float,
) -> None:
    held_s = generator.uniform(0, 0.6)
    sent_at = now - held_s - generator.uniform(0, 1)
    received_at = now + generator.uniform(0, 2)
    lease_s = rules.lease_s(ledger, now)
    if lease_s:
        start = rules.lease_start(sent_at, held_s, received_at)
        outcome.leases.append((leader, now, start + lease_s))


def _order(
    generator: random.Random,
    rules: Rules,
    outcome: Outcome,
    leader: int,
    ledger: LeaseLedger,
    now: float,
    replaced_at: float,
) -> float | None:
    """Send an order; return when it arrives, or None if it is not sent."""
    proved_at = rules.first_order_at(ledger, now)
    # The proof is a command that a majority has committed; a leader that has
    # been replaced gets none.
    if proved_at >= replaced_at:
        return None
    sent_at = proved_at + generator.choice((0.1, 0.3, 5.0))
    if not rules.may_send(sent_at - proved_at):
        return None
    arrived_at = sent_at + generator.uniform(0, DELIVERY_LIMIT_S)
    outcome.orders.append((leader, arrived_at))
    return arrived_at
