"""Tests of the decision to lease a primary that control does not reach."""

import unittest

from lavendergate.core.leases.granting import PromotionHistory, may_grant_lease
from lavendergate.core.primary_replacement import (
    MemberObservation,
    ReachabilityReport,
    ServiceObservation,
)
from lavendergate.core.types import LogPosition, Term, UpstreamId

_NOW = 100.0
_PRIMARY = UpstreamId('a')
_HISTORY = PromotionHistory(ordered=None, newest_term=Term(1))


def observed(*reports: ReachabilityReport) -> ServiceObservation:
    """Return a service whose primary answered control 1.2 s ago."""
    primary = MemberObservation(
        upstream_id=_PRIMARY,
        is_leaving=False,
        is_primary=True,
        term=Term(1),
        received=LogPosition(term=Term(1), position=5),
        answered_at=_NOW - 1.2,
        failing_since=_NOW - 0.9,
        behind_since=None,
        paused_term=Term(0),
    )
    return ServiceObservation(
        primary=_PRIMARY, members=(primary,), reports=reports
    )


def report(age_s: float, *, reachable: bool) -> ReachabilityReport:
    """Return a report of one proxy."""
    return ReachabilityReport(reported_at=_NOW - age_s, reachable=reachable)


class SuspectedPrimaryTest(unittest.TestCase):
    """Leases on a primary that does not answer control."""

    def test_first_report_after_the_failure_does_not_decide_alone(self) -> None:
        """Guards against a lease that holds up a takeover by a second.

        In `review/7`, the one proxy that reached the primary reported first,
        and the service was leased for 0.1 s when its takeover began.
        """
        one = report(0.1, reachable=True)
        before = (report(0.5, reachable=True),) * 4
        self.assertFalse(
            may_grant_lease(observed(one, *before), _HISTORY, _NOW)
        )

    def test_most_proxies_that_reach_the_primary_keep_its_lease(self) -> None:
        """Guards against a primary that only control cannot reach."""
        three = (report(0.1, reachable=True),) * 3
        others = (
            report(0.1, reachable=False),
            report(0.5, reachable=True),
            report(5, reachable=False),
        )
        self.assertTrue(
            may_grant_lease(observed(*three, *others), _HISTORY, _NOW)
        )
