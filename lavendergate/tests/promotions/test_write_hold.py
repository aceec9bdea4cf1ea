"""Tests of the rule for the first writes of a new term."""

import unittest

from lavendergate.core.leases.evidence import PrimaryClaim
from lavendergate.core.promotions.write_hold import (
    HoldEnd,
    RefuseWrite,
    SendWrite,
    WaitForFollowers,
    WriteHold,
    decide_write,
)
from lavendergate.core.sessions.statements import MemberReport
from lavendergate.core.types import LogPosition, Term, UpstreamId

_HOLD = WriteHold(
    claim=PrimaryClaim(upstream_id=UpstreamId('b'), term=Term(2)),
    began_at=10,
    until=10.3,
)


def report(term: int, *, is_primary: bool = False) -> MemberReport:
    """Return a report of a member that knows a term."""
    return MemberReport(
        is_primary=is_primary,
        term=Term(term),
        received=LogPosition(term=Term(1), position=9),
        paused_term=Term(0),
        lag_ms=0,
        busy=0,
        connections=1,
    )


def followed_by(*names: str, term: int = 2) -> WriteHold:
    """Return the hold after replicas have reported a term."""
    hold = _HOLD
    for name in names:
        hold = hold.record_report(UpstreamId(name), report(term))
    return hold


class WriteHoldTest(unittest.TestCase):
    """Decisions on one write."""

    def test_write_waits_until_a_replica_has_reported_the_term(self) -> None:
        """Guards against a commit that only a member's count confirms."""
        waits = decide_write(_HOLD, needed=1, now=10.1, deadline=11)
        self.assertEqual(waits, WaitForFollowers(until=10.3))
        sent = decide_write(followed_by('c'), needed=1, now=10.1, deadline=11)
        self.assertEqual(sent, SendWrite())

    def test_each_replica_counts_once(self) -> None:
        """Guards against one replica that is counted for two."""
        once = followed_by('c', 'c')
        self.assertIsNone(once.end(10.1, needed=2))
        twice = followed_by('c', 'a')
        self.assertEqual(twice.end(10.1, needed=2), HoldEnd.followed)

    def test_other_terms_and_primaries_are_no_followers(self) -> None:
        """Guards against a replica of the former term that counts."""
        for term in (1, 3):
            self.assertIsNone(followed_by('c', term=term).end(10.1, needed=1))
        former = _HOLD.record_report(
            UpstreamId('a'), report(2, is_primary=True)
        )
        self.assertIsNone(former.end(10.1, needed=1))

    def test_bound_ends_the_wait(self) -> None:
        """Guards against writes that wait for a replica that never returns."""
        sent = decide_write(_HOLD, needed=1, now=10.3, deadline=11)
        self.assertEqual(sent, SendWrite())
        self.assertEqual(_HOLD.end(10.3, needed=1), HoldEnd.bound)

    def test_write_with_an_earlier_deadline_is_refused_at_once(self) -> None:
        """Guards against a wait that can only end with a refusal."""
        refused = decide_write(_HOLD, needed=1, now=10.1, deadline=10.25)
        assert isinstance(refused, RefuseWrite)
        self.assertAlmostEqual(refused.retry_after_s, 0.2)
        sent = decide_write(
            followed_by('c'), needed=1, now=10.1, deadline=10.25
        )
        self.assertEqual(sent, SendWrite())
