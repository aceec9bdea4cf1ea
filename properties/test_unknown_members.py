"""Promotions of a member that a proxy without control has not heard of."""

import unittest
from unittest import mock

from lavendergate.core.leases.running_span import RunningSpan
from properties.unknown_member_schedule import run_schedule

_SCHEDULES = 10


class UnknownMemberTest(unittest.TestCase):
    """Acknowledged writes survive the promotion of an unknown member."""

    def test_no_write_is_lost_to_a_member_that_the_proxy_never_heard_of(
        self,
    ) -> None:
        """Guards against a list of members that a proxy takes for complete."""
        promoted = acknowledged = 0
        for seed in range(_SCHEDULES):
            group = run_schedule(seed).group
            self.assertFalse(group.problems, f'seed {seed}')
            promoted += group.promotions
            acknowledged += len(group.acknowledged)
        self.assertGreaterEqual(promoted, _SCHEDULES)
        self.assertGreater(acknowledged, 200 * _SCHEDULES)

    def test_restarted_replicas_that_prove_a_commit_are_found(self) -> None:
        """Guards against schedules in which no replica returns in time."""
        with mock.patch.object(
            RunningSpan, 'since_at', lambda *_: float('-inf')
        ):
            found = any(
                run_schedule(seed).group.problems for seed in range(_SCHEDULES)
            )
        self.assertTrue(found)


if __name__ == '__main__':
    unittest.main()
