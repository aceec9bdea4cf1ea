"""Limits of customers under random schedules, and with deliberate faults."""

import unittest
from unittest import mock

from hypothesis import example, given, settings
from hypothesis import strategies as st

from lavendergate.core.limits import ledger, ownership
from lavendergate.core.limits.bucket import TokenBucket
from lavendergate.core.limits.budget import OwnerLimit
from lavendergate.core.limits.ledger import HandedOver, Handover, OwnerLedger
from lavendergate.core.limits.owners import SlotId
from properties.limit_schedule import LENGTH_S, LIMIT, LimitSchedule
from properties.limit_window import most_in_window

_SCHEDULES_WITH_FAULT = 120
_ROUNDING = 1e-6


def worst_excess() -> float:
    """Return the largest excess of a slot in some schedules."""
    schedules = [
        LimitSchedule(seed=seed) for seed in range(_SCHEDULES_WITH_FAULT)
    ]
    for schedule in schedules:
        schedule.run()
    return max(schedule.slot_excess() for schedule in schedules)


class _FullBucket(TokenBucket):
    """Deliberate fault: a new bucket is full."""

    def __init__(
        self, *, limit: OwnerLimit, filled_at: float, tokens: float = 0
    ) -> None:
        super().__init__(
            limit=limit, filled_at=filled_at, tokens=tokens or limit.capacity
        )


class _KeepsGranting(OwnerLedger):
    """Deliberate fault: an owner grants on after it has handed over."""

    def hand_over(
        self, slot: SlotId, successor: str, limit: OwnerLimit, now: float
    ) -> Handover:
        kept = self._slots.get(slot)
        if kept is not None and self.view.is_owner(slot):
            return HandedOver(tokens=kept.bucket.tokens)
        return super().hand_over(slot, successor, limit, now)


class LimitScheduleTest(unittest.TestCase):
    """Operations of one customer over all proxies."""

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(seed=st.integers(0, 2**32 - 1))
    # An owner handed over while a witness still took it for the only one.
    @example(seed=257)
    def test_no_window_exceeds_the_limit(self, seed: int) -> None:
        """Guards against two owners of one slot, and bursts given twice."""
        schedule = LimitSchedule(seed=seed)
        schedule.run()
        self.assertLessEqual(schedule.excess(), 0)
        self.assertLessEqual(schedule.slot_excess(), _ROUNDING)

    def test_slot_is_not_granted_twice_in_found_schedules(self) -> None:
        """Guards against two owners of one slot, in schedules that had them."""
        schedules = [LimitSchedule(seed=seed) for seed in (200133, 300298)]
        for schedule in schedules:
            schedule.run()
            self.assertLessEqual(schedule.slot_excess(), _ROUNDING)

    def test_bucket_of_an_earlier_ownership_is_not_handed_over(self) -> None:
        """Guards against a bucket that is kept while another proxy owns."""
        seeds = (200133, 300375, 1000672, 2001427)
        schedules = [LimitSchedule(seed=seed) for seed in seeds]
        for schedule in schedules:
            schedule.run()
            self.assertLessEqual(schedule.excess(), 0)
            self.assertLessEqual(schedule.slot_excess(), _ROUNDING)

    def test_most_of_the_limit_is_granted(self) -> None:
        """Guards against schedules or owners that grant next to nothing."""
        schedules = [LimitSchedule(seed=seed) for seed in range(20)]
        for schedule in schedules:
            schedule.run()
        limited = LIMIT.rate_per_s * LENGTH_S * len(schedules)
        granted = sum(len(schedule.ran_at) for schedule in schedules)
        self.assertGreater(granted, limited / 3)

    def test_grants_without_contact_are_noticed(self) -> None:
        """Deliberate fault: an owner grants without contact to control."""
        with mock.patch.object(ownership, 'FENCE_S', 60):
            self.assertGreater(worst_excess(), 0)

    def test_takeover_at_once_is_noticed(self) -> None:
        """Deliberate fault: a proxy grants as soon as it is the owner."""
        with (
            mock.patch.object(ownership, 'TAKEOVER_S', 0),
            mock.patch.object(ledger, 'TAKEOVER_S', 0),
        ):
            self.assertGreater(worst_excess(), 0)

    def test_full_bucket_of_a_successor_is_noticed(self) -> None:
        """Deliberate fault: a successor or a restart has a new burst."""
        with mock.patch.object(ledger, 'TokenBucket', _FullBucket):
            self.assertGreater(worst_excess(), 0)

    def test_grants_after_a_handover_are_noticed(self) -> None:
        """Deliberate fault: two proxies grant from the same bucket."""
        with mock.patch(
            'properties.limit_schedule.OwnerLedger', _KeepsGranting
        ):
            self.assertGreater(worst_excess(), 0)


class WindowTest(unittest.TestCase):
    """The check itself."""

    def test_window_slides(self) -> None:
        """Guards against a check that counts fixed intervals only."""
        times = (0.9, 0.95, 1.05, 1.9, 3.0)
        self.assertEqual(most_in_window(times, 1.0), 4)
