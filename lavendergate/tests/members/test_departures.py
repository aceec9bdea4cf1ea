"""Tests of the ledger of ended starts."""

import unittest

from lavendergate.core.departures.ledger import Departure, DepartureLedger
from lavendergate.core.types import GroupId, LogPosition, Term, UpstreamId

_SERVICE = GroupId('rounds')
_MEMBER = UpstreamId('c')
_BORN = 1


def _at(position: int) -> LogPosition:
    return LogPosition(term=Term(1), position=position)


def _ledger() -> DepartureLedger:
    ledger = DepartureLedger()
    ledger.record(
        _SERVICE, Departure(upstream_id=_MEMBER, born=_BORN, ended_at=5)
    )
    return ledger


class DepartureBoundTest(unittest.TestCase):
    """Positions that bound what an ended start has confirmed."""

    def _assert_bound(self, ledger: DepartureLedger, position: int) -> None:
        self.assertEqual(
            [known.bound for known in ledger.of_service(_SERVICE)],
            [_at(position)],
        )

    def test_lowest_report_after_the_end_is_the_bound(self) -> None:
        """Guards against a bound with commits that no replica received."""
        for positions in ((7, 9), (9, 7)):
            with self.subTest(positions=positions):
                ledger = _ledger()
                for position in positions:
                    ledger.lower_bound(_SERVICE, _MEMBER, _BORN, _at(position))
                self._assert_bound(ledger, 7)

    def test_report_before_the_end_was_recorded_lowers_the_bound(self) -> None:
        """Guards against the report of a primary that led only afterwards."""
        ledger = _ledger()
        ledger.record_primary(_SERVICE, _at(9), asked_at=6)
        ledger.lower_bound(_SERVICE, _MEMBER, _BORN, _at(7))
        self._assert_bound(ledger, 7)

    def test_bound_of_another_start_changes_nothing(self) -> None:
        """Guards against the bound of one start that counts for the next."""
        ledger = _ledger()
        ledger.record_primary(_SERVICE, _at(9), asked_at=6)
        ledger.lower_bound(_SERVICE, _MEMBER, _BORN + 1, _at(7))
        self._assert_bound(ledger, 9)
