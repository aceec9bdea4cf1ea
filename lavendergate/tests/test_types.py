"""Tests of the shared value types."""

import unittest

from lavendergate.core.types import LogPosition, Term


class LogPositionTest(unittest.TestCase):
    """Order of log positions."""

    def test_newer_term_wins_over_longer_log(self) -> None:
        """Guards against promoting a longer log of an older term."""
        longer = LogPosition(term=Term(1), position=90)
        newer = LogPosition(term=Term(2), position=10)
        self.assertLess(longer, newer)
