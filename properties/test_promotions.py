"""Random schedules of promotions while replicas are away and return."""

import unittest
from unittest import mock

from lavendergate.core.leases.evidence import (
    CommitProof,
    PrimaryCommit,
    PrimaryEvidence,
)
from properties.late_order_schedule import LateOrderSchedule
from properties.lost_primary_schedule import LostPrimarySchedule
from properties.promotion_schedule import PromotionSchedule, run_schedule

_SCHEDULES = 20
_LATE_SCHEDULES = 10
_LOST_PRIMARY_SEEDS = range(1000, 1016)
# Schedules among which one shows the deliberate fault.
_FAULT_SEEDS = range(78, 98)


def confirmed_by_one_replica(
    evidence: PrimaryEvidence, commit: PrimaryCommit
) -> CommitProof:
    """Deliberate fault: the confirmation of a replica is proof enough."""
    return CommitProof.lease


class PromotionScheduleTest(unittest.TestCase):
    """Acknowledged writes survive each promotion."""

    def test_no_acknowledged_write_is_lost(self) -> None:
        """Guards against a replica that returns between order and effect."""
        promotions = acknowledged = 0
        for seed in range(_SCHEDULES):
            schedule = run_schedule(seed, PromotionSchedule)
            group = schedule.group
            self.assertFalse(group.problems, f'seed {seed}: {schedule.steps}')
            promotions += group.promotions
            acknowledged += len(group.acknowledged)
        self.assertGreater(promotions, _SCHEDULES / 2)
        self.assertGreater(acknowledged, 300 * _SCHEDULES)

    def test_no_write_is_lost_to_an_order_that_is_carried_out_late(
        self,
    ) -> None:
        """Guards against a proof that has ended before the order runs."""
        promotions = 0
        for seed in range(_LATE_SCHEDULES):
            schedule = run_schedule(seed, LateOrderSchedule)
            group = schedule.group
            self.assertFalse(group.problems, f'seed {seed}: {schedule.steps}')
            promotions += group.promotions
        self.assertGreater(promotions, _LATE_SCHEDULES / 2)

    def test_no_write_is_lost_with_the_promoted_member(self) -> None:
        """Guards against a second promotion that lacks writes of the first."""
        lost = replaced = 0
        for seed in _LOST_PRIMARY_SEEDS:
            schedule = run_schedule(seed, LostPrimarySchedule)
            group = schedule.group
            self.assertFalse(group.problems, f'seed {seed}: {schedule.steps}')
            lost += schedule.lost
            replaced += schedule.replaced
        self.assertGreater(lost, len(_LOST_PRIMARY_SEEDS) / 2)
        self.assertGreater(replaced, lost / 4)

    def test_write_that_only_a_returned_replica_has_is_found(self) -> None:
        """Guards against schedules in which no replica returns in time."""
        with (
            mock.patch.object(
                PrimaryEvidence, 'proof_of', confirmed_by_one_replica
            ),
            mock.patch.object(
                PrimaryEvidence, 'may_prove_commits', lambda *_: True
            ),
        ):
            found = any(
                run_schedule(seed, PromotionSchedule).group.problems
                for seed in _FAULT_SEEDS
            )
        self.assertTrue(found)


if __name__ == '__main__':
    unittest.main()
