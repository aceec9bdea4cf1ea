"""Tests of the check that the demo makes on its history of writes."""

import unittest

from demo.history import History, Outcome, Write, check, failover_gap_s

GROUP = 'glasdaten-1'


def history(*outcomes: Outcome) -> History:
    """Return writes `a`, `b`, … that ended at 1 s, 2 s, …."""
    return History(
        writes=[
            Write(
                group=GROUP,
                write_id=chr(ord('a') + number),
                outcome=outcome,
                ended_at=number + 1.0,
            )
            for number, outcome in enumerate(outcomes)
        ]
    )


class CheckTest(unittest.TestCase):
    """Violations that the check of the demo's history has to find."""

    def test_finds_each_violation(self) -> None:
        """Guards against a check that accepts lost or doubled writes."""
        events = history(
            Outcome.acknowledged,
            Outcome.acknowledged,
            Outcome.not_run,
            Outcome.unknown,
        )
        verdict = check(events, {GROUP: ['b', 'b', 'c'], 'other': ['a']})
        self.assertEqual(verdict.lost, ('a',))
        self.assertEqual(verdict.doubled, ('b',))
        self.assertEqual(verdict.ran_though_refused, ('c',))
        self.assertFalse(verdict.is_clean)

    def test_accepts_unknown_writes(self) -> None:
        """Guards against a check that fails on writes of unknown outcome."""
        events = history(Outcome.unknown, Outcome.unknown)
        self.assertTrue(check(events, {GROUP: ['a']}).is_clean)

    def test_gap_reaches_the_end_without_recovery(self) -> None:
        """Guards against a short gap when writes never succeed again."""
        events = history(Outcome.acknowledged, Outcome.unknown)
        self.assertEqual(failover_gap_s(events, GROUP, 1.5, 9), 8)
