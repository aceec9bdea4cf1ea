"""Tests of the pace that a member is given from its answers."""

import random
import unittest

from lavendergate.core.pace.member_pace import (
    COMPARISON_VALIDITY_S,
    MIN_PACE,
    START_PACE,
    MemberPace,
    PaceReason,
)
from lavendergate.core.pace.service_speed import ServiceSpeed

SLOTS = 6
# Time until full pace after a first recovery, without any traffic.
_FULL_PACE_S = 0.5
# The same from the least pace after nothing but failures: the error share falls
# below a sixth in 5.2 s, and four doublings follow.
_FULL_PACE_AFTER_ERRORS_S = 7.2


def speed_of(read_s: float, *, now: float = 0, seed: int = 1) -> ServiceSpeed:
    """Return the speed after 100 reads of a mean service time."""
    source = random.Random(seed)
    speed = ServiceSpeed()
    for index in range(100):
        latency_s = 0.02 + read_s * source.lognormvariate(-0.25, 0.7)
        speed.record(latency_s, now + index / 1000)
    return speed


class RecoveryTest(unittest.TestCase):
    """Pace of a member that has started, recovered or been promoted."""

    def test_recovered_member_starts_low_and_is_full_soon(self) -> None:
        """Guards against a recovered member that is flooded or left idle."""
        pace = MemberPace()
        pace.restart(PaceReason.recovered, 10)
        self.assertEqual(pace.pace_at(10), START_PACE)
        self.assertEqual(pace.limit(SLOTS, 10, is_primary=False), 3)
        self.assertLess(pace.pace_at(10.4), 1)
        self.assertEqual(pace.pace_at(10 + _FULL_PACE_S), 1)
        self.assertIsNone(pace.limit(SLOTS, 11, is_primary=False))

    def test_good_answers_end_the_start_sooner(self) -> None:
        """Guards against an idle member under load that answers well."""
        pace = MemberPace()
        pace.restart(PaceReason.started, 10)
        for tick in range(10):
            pace.record_answer(10 + tick / 100, has_failed=False)
        self.assertEqual(pace.pace_at(10.1), 1)

    def test_flapping_member_never_exceeds_its_pace(self) -> None:
        """Guards against a flapping member that is flooded at each return.

        Each return begins at the start pace or below, however often the
        member was up; after the last one it reaches full pace.
        """
        pace = MemberPace()
        for turn in range(5):
            now = 10 + turn * 0.7
            pace.restart(PaceReason.recovered, now)
            self.assertLessEqual(pace.pace_at(now), START_PACE)
            self.assertIn(pace.limit(SLOTS, now, is_primary=False), (1, 2, 3))
            pace.record_answer(now + 0.1, has_failed=True)
            self.assertLess(pace.pace_at(now + 0.1), START_PACE)
        self.assertEqual(pace.pace_at(12.9 + _FULL_PACE_AFTER_ERRORS_S), 1)

    def test_promoted_primary_keeps_half_of_its_slots(self) -> None:
        """Guards against a primary without room for the waiting writes."""
        pace = MemberPace()
        pace.restart(PaceReason.promoted, 10)
        self.assertEqual(pace.limit(SLOTS, 10, is_primary=True), SLOTS // 2)

    def test_reads_follow_the_pace(self) -> None:
        """Guards against more reads than the pace of a starting member."""
        pace = MemberPace()
        pace.restart(PaceReason.started, 10)
        taken = sum(pace.may_take_read(10) for _ in range(100))
        self.assertEqual(taken, 100 * START_PACE)


class FailureTest(unittest.TestCase):
    """Pace of a member that fails statements."""

    def _pace_after(self, error_share: float) -> float:
        source = random.Random(7)
        pace = MemberPace()
        now = 10.0
        paces = []
        for _ in range(400):
            now += 0.02
            has_failed = source.random() < error_share
            pace.record_answer(now, has_failed=has_failed)
            paces.append(pace.pace_at(now))
        return sum(paces[200:]) / 200

    def test_failing_member_with_good_health_is_given_little(self) -> None:
        """Guards against a member that fails 40% and keeps its share."""
        self.assertLess(self._pace_after(0.4), 0.3)

    def test_few_failures_cost_little(self) -> None:
        """Guards against a member that loses its share by single errors."""
        self.assertGreater(self._pace_after(0.02), 0.9)

    def test_error_share_ages(self) -> None:
        """Guards against a member that is left out for ever."""
        pace = MemberPace()
        for tick in range(20):
            pace.record_answer(tick / 50, has_failed=True)
        self.assertGreater(pace.error_share_at(0.4), 0.8)
        self.assertLess(pace.error_share_at(20), 0.01)

    def test_steady_answers_leave_the_pace_full(self) -> None:
        """Guards against a changed behaviour while all is well."""
        pace = MemberPace()
        for tick in range(500):
            now = tick / 50
            pace.record_answer(now, has_failed=False, read_s=0.03)
            pace.compare((speed_of(0.03, now=now),), now)
            self.assertEqual(pace.pace_at(now), 1)
            self.assertTrue(pace.may_take_read(now))
        self.assertIsNone(pace.pop_change(10))


class SlownessTest(unittest.TestCase):
    """Pace of a member that is slower than its peers."""

    def test_slow_member_gets_what_it_works_off(self) -> None:
        """Guards against a queue at a member that is four times slower."""
        pace = MemberPace(speed=speed_of(0.16))
        pace.compare((speed_of(0.04, seed=2),), 0.2)
        self.assertLess(pace.pace_at(0.2), 0.4)
        self.assertGreater(pace.pace_at(0.2), 0.15)

    def test_wholly_slow_service_keeps_its_pace(self) -> None:
        """Guards against throttling a service all of whose members slow."""
        pace = MemberPace(speed=speed_of(0.4))
        pace.compare((speed_of(0.4, seed=2), speed_of(0.5, seed=3)), 0.2)
        self.assertEqual(pace.pace_at(0.2), 1)

    def test_chance_alone_reduces_no_pace(self) -> None:
        """Guards against random service times that look like a slow member."""
        reduced = 0
        for seed in range(200):
            pace = MemberPace(speed=speed_of(0.04, seed=seed))
            pace.compare((speed_of(0.04, seed=1000 + seed),), 0.2)
            reduced += pace.pace_at(0.2) < 1
        self.assertLessEqual(reduced, 2)

    def test_member_without_peers_is_compared_with_its_past(self) -> None:
        """Guards against the loss of all evidence when the peers are gone."""
        pace = MemberPace()
        for tick in range(200):
            pace.speed.record(0.02 + 0.01 * (tick % 4), tick / 100)
        pace.compare((), 2)
        self.assertEqual(pace.pace_at(2), 1)
        for tick in range(20):
            pace.speed.record(0.02 + 0.1 * (1 + tick % 4), 2 + tick / 100)
        pace.compare((), 2.2)
        self.assertLess(pace.pace_at(2.2), 0.5)

    def test_comparison_ends_by_itself(self) -> None:
        """Guards against an estimate that outlives its evidence."""
        pace = MemberPace(speed=speed_of(0.16))
        pace.compare((speed_of(0.04, seed=2),), 0.2)
        self.assertEqual(pace.pace_at(0.3 + COMPARISON_VALIDITY_S), 1)


class ReportTest(unittest.TestCase):
    """Begin and end of a reduced pace in the event log."""

    def test_one_episode_is_reported_once(self) -> None:
        """Guards against a line for each failure of a failing member."""
        pace = MemberPace()
        changes = []
        for tick in range(50):
            now = tick / 10
            pace.record_answer(now, has_failed=tick < 20)
            changes.append(pace.pop_change(now))
        reported = [change for change in changes if change is not None]
        self.assertEqual(len(reported), 2)
        self.assertEqual(reported[0].reason, PaceReason.failed)
        self.assertLess(reported[0].pace, 1)
        self.assertEqual(reported[1].pace, 1)
        self.assertGreater(reported[1].duration_s, 1.8)


class BoundsTest(unittest.TestCase):
    """Any sequence of events."""

    def test_pace_stays_within_its_bounds(self) -> None:
        """Guards against a member that is cut off or over its slots."""
        for seed in range(50):
            source = random.Random(seed)
            pace = MemberPace()
            peers = (speed_of(0.03, seed=seed),)
            now = 0.0
            for _ in range(200):
                now += source.expovariate(20)
                match source.randrange(5):
                    case 0:
                        pace.restart(source.choice(list(PaceReason)), now)
                    case 1:
                        pace.record_answer(now, has_failed=True)
                    case 2:
                        pace.compare(peers, now)
                    case _:
                        pace.record_answer(
                            now,
                            has_failed=False,
                            read_s=source.expovariate(10),
                        )
                self.assertGreaterEqual(pace.pace_at(now), MIN_PACE)
                self.assertLessEqual(pace.pace_at(now), 1)
                limit = pace.limit(SLOTS, now, is_primary=False)
                self.assertIn(limit, (None, *range(1, SLOTS + 1)))
                self.assertLessEqual(pace.error_share_at(now), 1)
            self.assertEqual(pace.pace_at(now + 60), 1)
