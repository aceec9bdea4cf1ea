"""Tests of the division, ownership and borrowing of limits."""

import unittest
from collections import Counter

from lavendergate.core.customers.table import CustomerName, OperationLimit
from lavendergate.core.limits.allowance import Allowance
from lavendergate.core.limits.bucket import TokenBucket
from lavendergate.core.limits.budget import OwnerLimit, Tolerance, divide
from lavendergate.core.limits.ledger import (
    Declined,
    Exhausted,
    Granted,
    HandedOver,
    NoOtherOwner,
    OwnerLedger,
    UnknownOwner,
)
from lavendergate.core.limits.owners import (
    ProxySet,
    SlotId,
    collect_proxies,
)
from lavendergate.core.limits.ownership import (
    FENCE_S,
    TAKEOVER_S,
    Leadership,
    OwnershipView,
)
from lavendergate.core.relays.homes import ProxyAddress
from lavendergate.core.types import FailureDomain

_CUSTOMER = CustomerName('rounds')
_TOLERANCE = Tolerance(window_s=5, overage=0.1, slack=20)
_LIMIT = OwnerLimit(rate_per_s=10, capacity=20, lease_s=0.2)


def proxies(*numbers: int, domains: int = 3) -> ProxySet:
    """Return a set of live proxies."""
    return collect_proxies(
        ProxyAddress(
            address=f'10.0.0.{number}:7440',
            failure_domain=FailureDomain(f'domain-{number % domains}'),
        )
        for number in numbers
    )


def slots(live: ProxySet, owner: str, fallback: str) -> SlotId:
    """Return a slot with an owner, and with another one without it."""
    for number in range(2000):
        slot = SlotId(customer=CustomerName(f'customer-{number}'), number=0)
        if (
            live.owner(slot) == owner
            and live.without(owner).owner(slot) == fallback
        ):
            return slot
    raise AssertionError('no customer has these owners')


def ledger(number: int) -> OwnerLedger:
    """Return the ledger of a proxy that has just started."""
    view = OwnershipView(own_address=f'10.0.0.{number}:7440')
    return OwnerLedger(view=view)


def show(
    one: OwnerLedger, live: ProxySet, now: float, source: str = 's'
) -> None:
    """Have the leader publish the live proxies."""
    one.view.replace(live, source=source, sent_at=now, now=now)


class DivisionTest(unittest.TestCase):
    """Division of a limit among its owners."""

    def test_owners_together_stay_within_the_tolerance(self) -> None:
        """Guards against parts and leases that add up to more than allowed."""
        for rate in (0.5, 2, 30, 400, 5000):
            for burst in (0, 1, 7, 300):
                for overage, slack in ((0, 0), (0, 6), (0.1, 20), (0.3, 2)):
                    limit = OperationLimit(rate_per_s=rate, burst=burst)
                    tolerance = Tolerance(
                        window_s=5, overage=overage, slack=slack
                    )
                    part = divide(limit, tolerance)
                    most = tolerance.owners * (
                        part.rate_per_s * (5 + part.lease_s) + part.capacity
                    )
                    allowed = max(
                        tolerance.allowed(limit), rate * 5 + max(1, burst)
                    )
                    with self.subTest(limit=limit, tolerance=tolerance):
                        self.assertLessEqual(most, allowed + 1e-6)

    def test_no_rate_and_no_burst_grant_nothing(self) -> None:
        """Guards against a first operation of a customer that has none."""
        part = divide(OperationLimit(rate_per_s=0, burst=0), _TOLERANCE)
        bucket = TokenBucket(limit=part, filled_at=0)
        self.assertEqual(bucket.take(1, 100), 0)


class OwnerTest(unittest.TestCase):
    """Choice of the owners."""

    def test_owners_of_a_customer_are_in_different_domains(self) -> None:
        """Guards against a lost domain that takes a whole limit along."""
        live = proxies(*range(1, 31))
        owners = {
            live.owner(SlotId(customer=_CUSTOMER, number=number))
            for number in range(3)
        }
        numbers = {int(str(one).split('.')[3].split(':')[0]) for one in owners}
        self.assertEqual(len({number % 3 for number in numbers}), 3)

    def test_a_lost_proxy_moves_only_its_own_slots(self) -> None:
        """Guards against a change that moves the slots of all customers."""
        live = proxies(*range(1, 31))
        changed = live.without('10.0.0.5:7440')
        moved = Counter(
            live.owner(slot)
            for slot in (
                SlotId(customer=CustomerName(f'c{customer}'), number=number)
                for customer in range(300)
                for number in range(3)
            )
            if live.owner(slot) != changed.owner(slot)
        )
        self.assertEqual(set(moved), {'10.0.0.5:7440'})


class BucketTest(unittest.TestCase):
    """Buckets of owners."""

    def test_alternating_limits_give_no_burst(self) -> None:
        """Guards against a limit that goes down and up for a new burst."""
        bucket = TokenBucket(limit=_LIMIT, filled_at=0, tokens=20)
        low = OwnerLimit(rate_per_s=1, capacity=2, lease_s=0.2)
        self.assertEqual(bucket.take(100, 0), 20)
        for _ in range(10):
            bucket.change(low, 0)
            bucket.change(_LIMIT, 0)
        self.assertEqual(bucket.take(100, 0), 0)

    def test_far_lower_limit_takes_effect_at_once(self) -> None:
        """Guards against a full bucket that outlives its limit."""
        bucket = TokenBucket(limit=_LIMIT, filled_at=0, tokens=20)
        bucket.change(OwnerLimit(rate_per_s=1, capacity=2, lease_s=0.2), 0)
        self.assertEqual(bucket.take(100, 0), 2)
        self.assertEqual(bucket.take(100, 5), 2)

    def test_raised_limit_fills_at_its_rate(self) -> None:
        """Guards against a raised limit that keeps the former rate."""
        bucket = TokenBucket(limit=_LIMIT, filled_at=0)
        bucket.change(OwnerLimit(rate_per_s=100, capacity=500, lease_s=0.2), 0)
        self.assertEqual(bucket.take(1000, 1), 100)


class OwnershipTest(unittest.TestCase):
    """When a proxy may grant."""

    def test_a_started_proxy_waits_and_starts_empty(self) -> None:
        """Guards against a start beside an owner by an older view."""
        one = ledger(1)
        show(one, proxies(1, 2, 4), 0)
        slot = slots(one.proxies, '10.0.0.1:7440', '10.0.0.4:7440')
        self.assertEqual(
            one.ask(slot, 1, _LIMIT, 0.1),
            Declined(predecessor='10.0.0.4:7440'),
        )
        one.view.confirm(3, 3)
        one.view.confirm(TAKEOVER_S, TAKEOVER_S)
        self.assertIsInstance(one.ask(slot, 1, _LIMIT, TAKEOVER_S), Exhausted)
        one.view.confirm(TAKEOVER_S + 1, TAKEOVER_S + 1)
        self.assertEqual(
            one.ask(slot, 100, _LIMIT, TAKEOVER_S + 1), Granted(operations=10)
        )

    def test_two_views_have_one_owner(self) -> None:
        """Guards against two owners while one holds an older view."""
        old, new = ledger(1), ledger(4)
        before, after = proxies(1, 2), proxies(1, 2, 4)
        slot = slots(after, '10.0.0.4:7440', '10.0.0.1:7440')
        show(old, before, 0)
        now = 10.0
        for time in range(1, 11):
            old.view.confirm(time, time)
        self.assertEqual(old.ask(slot, 1, _LIMIT, now), Granted(operations=1))
        show(new, after, now)
        # The old owner is cut off from control and from the new one.
        while now < 20:
            now += 0.1
            new.view.confirm(now, now)
            granting = [
                isinstance(one.ask(slot, 1, _LIMIT, now), Granted)
                for one in (old, new)
            ]
            self.assertLess(sum(granting), 2)
        self.assertEqual(granting, [False, True])

    def test_handover_ends_the_grants_of_the_former_owner(self) -> None:
        """Guards against operations that two proxies grant."""
        old, new = ledger(1), ledger(4)
        before, after = proxies(1, 2), proxies(1, 2, 4)
        slot = slots(after, '10.0.0.4:7440', '10.0.0.1:7440')
        show(old, before, 0)
        for time in range(1, 11):
            old.view.confirm(time, time)
        old.ask(slot, 5, _LIMIT, 10)
        show(new, after, 10)
        self.assertEqual(
            old.hand_over(slot, '10.0.0.4:7440', _LIMIT, 10), UnknownOwner()
        )
        show(old, after, 10)
        handover = old.hand_over(slot, '10.0.0.4:7440', _LIMIT, 10)
        self.assertEqual(handover, HandedOver(tokens=15))
        self.assertIsInstance(old.ask(slot, 1, _LIMIT, 10.1), Declined)
        new.take_over(slot, handover, _LIMIT, asked_at=10, now=10)
        self.assertEqual(new.ask(slot, 100, _LIMIT, 10), Granted(operations=15))

    def test_the_successor_of_a_dropped_owner_starts_empty(self) -> None:
        """Guards against a burst that the dropped owner has granted."""
        one = ledger(4)
        before, after = proxies(1, 2, 4), proxies(2, 4)
        slot = slots(before, '10.0.0.1:7440', '10.0.0.4:7440')
        show(one, before, 0)
        for time in range(1, 11):
            one.view.confirm(time, time)
        show(one, after, 10)
        self.assertIsInstance(one.ask(slot, 1, _LIMIT, 10), Exhausted)
        self.assertEqual(one.ask(slot, 9, _LIMIT, 10.3), Granted(operations=3))

    def test_a_new_leader_drops_nobody_at_once(self) -> None:
        """Guards against an owner that a new leader has not heard yet."""
        one = ledger(4)
        before, after = proxies(1, 2, 4), proxies(2, 4)
        slot = slots(before, '10.0.0.1:7440', '10.0.0.4:7440')
        show(one, before, 0)
        for time in range(1, 11):
            one.view.confirm(time, time)
        show(one, after, 10, source='another leader')
        self.assertIsInstance(one.ask(slot, 1, _LIMIT, 10), Declined)

    def test_an_owner_that_missed_a_leader_waits(self) -> None:
        """Guards against another owner of the leader in between."""
        for missed, wanted in ((False, Granted), (True, Declined)):
            one = ledger(1)
            live = proxies(1, 2, 4)
            slot = slots(live, '10.0.0.1:7440', '10.0.0.4:7440')
            first = Leadership(term=3, previous_term=2)
            for time in range(0, 11):
                one.view.replace(
                    live, source='s', sent_at=time, now=time, leadership=first
                )
            self.assertIsInstance(one.ask(slot, 1, _LIMIT, 10), Granted)
            # Term 4 had no leader that published anything, or one had.
            later = Leadership(term=5, previous_term=4 if missed else 3)
            one.view.confirm(12, 12, later)
            one.view.replace(
                live, source='t', sent_at=12, now=12, leadership=later
            )
            with self.subTest(missed=missed):
                self.assertIsInstance(one.ask(slot, 1, _LIMIT, 12), wanted)
            # The late answer of a leader that was replaced counts no more.
            one.view.confirm(15, 15, first)
            self.assertIsInstance(one.ask(slot, 1, _LIMIT, 15.6), Declined)

    def test_a_frozen_owner_grants_nothing_from_the_past(self) -> None:
        """Guards against questions that are answered after a suspension."""
        one = ledger(1)
        show(one, proxies(1, 2, 4), 0)
        slot = slots(one.proxies, '10.0.0.1:7440', '10.0.0.4:7440')
        for time in range(1, 11):
            one.view.confirm(time, time)
        self.assertIsInstance(one.ask(slot, 1, _LIMIT, 10), Granted)
        self.assertIsInstance(one.ask(slot, 1, _LIMIT, 18), Declined)
        one.view.confirm(18.1, 18.2)
        # Another proxy may have become the owner and grant still.
        self.assertIsInstance(one.ask(slot, 1, _LIMIT, 18.2), Declined)

    def test_an_owner_cut_off_from_control_stops(self) -> None:
        """Guards against grants after the leader has dropped the owner."""
        one = ledger(1)
        show(one, proxies(1, 2, 4), 0)
        slot = slots(one.proxies, '10.0.0.1:7440', '10.0.0.4:7440')
        for time in range(1, 11):
            one.view.confirm(time, time)
        before, after = 10 + FENCE_S - 0.1, 10 + FENCE_S
        self.assertIsInstance(one.ask(slot, 1, _LIMIT, before), Granted)
        self.assertIsInstance(one.ask(slot, 1, _LIMIT, after), Declined)

    def test_restarts_refill_nothing(self) -> None:
        """Guards against a burst for each of 100 restarts."""
        live = proxies(1, 2, 4)
        slot = slots(live, '10.0.0.1:7440', '10.0.0.4:7440')
        witness = ledger(4)
        show(witness, live, 0)
        now = 10.0
        granted = 0
        for _ in range(100):
            now += 0.1
            witness.view.confirm(now - 5, now - 5)
            witness.view.confirm(now, now)
            one = ledger(1)
            show(one, live, now)
            answer = witness.hand_over(slot, '10.0.0.1:7440', _LIMIT, now)
            one.take_over(slot, answer, _LIMIT, asked_at=now, now=now)
            match one.ask(slot, 100, _LIMIT, now + 0.09):
                case Granted(operations=operations):
                    granted += operations
        self.assertLessEqual(granted, 10 * _LIMIT.rate_per_s)

    def test_a_restarted_owner_need_not_wait_for_a_witness(self) -> None:
        """Guards against seconds without an owner after each restart."""
        live = proxies(1, 2, 4)
        slot = slots(live, '10.0.0.1:7440', '10.0.0.4:7440')
        witness, one = ledger(4), ledger(1)
        show(witness, live, 0)
        self.assertEqual(
            witness.hand_over(slot, '10.0.0.1:7440', _LIMIT, 1), UnknownOwner()
        )
        for time in range(1, 11):
            witness.view.confirm(time, time)
        show(one, live, 10)
        answer = witness.hand_over(slot, '10.0.0.1:7440', _LIMIT, 10)
        self.assertEqual(answer, NoOtherOwner())
        one.take_over(slot, answer, _LIMIT, asked_at=10, now=10)
        self.assertEqual(one.ask(slot, 9, _LIMIT, 10.5), Granted(operations=5))

    def test_a_stopping_owner_hands_over(self) -> None:
        """Guards against a burst that is lost with each planned stop."""
        one = ledger(1)
        show(one, proxies(1, 2, 4), 0)
        slot = slots(one.proxies, '10.0.0.1:7440', '10.0.0.4:7440')
        for time in range(1, 11):
            one.view.confirm(time, time)
        self.assertIsInstance(one.ask(slot, 5, _LIMIT, 10), Granted)
        one.is_stopping = True
        self.assertEqual(one.ask(slot, 1, _LIMIT, 10), Declined())
        self.assertEqual(
            one.hand_over(slot, '10.0.0.4:7440', _LIMIT, 10),
            HandedOver(tokens=15),
        )


class AllowanceTest(unittest.TestCase):
    """What a proxy borrows ahead."""

    def test_rare_operations_are_borrowed_one_by_one(self) -> None:
        """Guards against operations that a small customer loses unused."""
        allowance = Allowance()
        for number in range(10):
            allowance.count(number)
            self.assertEqual(allowance.wanted(1, 0.4, number), 1)

    def test_frequent_operations_are_borrowed_ahead(self) -> None:
        """Guards against a question for each operation of a large customer."""
        allowance = Allowance()
        for number in range(200):
            allowance.count(number / 100)
        self.assertGreater(allowance.wanted(1, 0.2, 2), 5)
        self.assertLess(allowance.wanted(1, 0.2, 2), 15)

    def test_unused_operations_expire(self) -> None:
        """Guards against operations of the past that are used at once."""
        allowance = Allowance()
        allowance.add(3, expires_at=1)
        self.assertTrue(allowance.use(0.9))
        self.assertFalse(allowance.use(1))
