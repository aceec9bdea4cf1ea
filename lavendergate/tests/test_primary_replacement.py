"""Tests of when a primary is replaced and by which replica."""

import unittest
from dataclasses import replace

from lavendergate.core.departures.ledger import Departure
from lavendergate.core.primary_replacement import (
    KeepPrimary,
    MemberObservation,
    NotPromotable,
    PausedReplica,
    Promotable,
    PromotionEvidence,
    ReachabilityReport,
    ReplacePrimary,
    ServiceObservation,
    check_promotion,
    choose_candidate,
    decide_replacement,
)
from lavendergate.core.types import LogPosition, Term, UpstreamId

NOW = 100.0
A, B, C = UpstreamId('a'), UpstreamId('b'), UpstreamId('c')


def at(number: int) -> LogPosition:
    """Return a log position in term 1."""
    return LogPosition(term=Term(1), position=number)


def member(name: UpstreamId, *, received: int = 5) -> MemberObservation:
    """Return a member that answers; `a` is the primary."""
    return MemberObservation(
        upstream_id=name,
        is_leaving=False,
        is_primary=name == A,
        term=Term(1),
        received=at(received),
        answered_at=NOW,
        failing_since=None,
        behind_since=None,
        paused_term=Term(0),
    )


def service(*members: MemberObservation) -> ServiceObservation:
    """Return an observation of a service whose primary is `a`."""
    return ServiceObservation(primary=A, members=members)


def silent(known: MemberObservation) -> MemberObservation:
    """Return a member that has not answered for two seconds."""
    return replace(known, failing_since=NOW - 2, answered_at=NOW - 2)


def departure(name: str, *, bound: int | None = None) -> Departure:
    """Return the departure of a replica."""
    return Departure(
        upstream_id=UpstreamId(name),
        born=1,
        ended_at=NOW - 60,
        bound=None if bound is None else at(bound),
    )


def evidence(
    candidate: int, *paused: int, unconfirmed: tuple[UpstreamId, ...] = ()
) -> PromotionEvidence:
    """Return the positions of candidate `b` and of paused replicas."""
    return PromotionEvidence(
        candidate=B,
        candidate_received=at(candidate),
        paused=tuple(
            PausedReplica(upstream_id=C, received=at(number))
            for number in paused
        ),
        unconfirmed=frozenset(unconfirmed),
    )


class DecideReplacementTest(unittest.TestCase):
    """Conditions under which a primary is replaced."""

    def test_primary_that_answers_stays(self) -> None:
        """Guards against a needless promotion, which interrupts writes."""
        decision = decide_replacement(service(member(A), member(B)), NOW)
        self.assertEqual(decision, KeepPrimary())

    def test_silent_primary_is_replaced(self) -> None:
        """Guards against a crashed primary that is never replaced."""
        observed = service(silent(member(A)), member(B), member(C))
        self.assertIsInstance(decide_replacement(observed, NOW), ReplacePrimary)

    def test_silence_for_control_alone_replaces_nobody(self) -> None:
        """Guards against a promotion because only control lost contact."""
        observed = replace(
            service(silent(member(A)), member(B), member(C)),
            reports=(ReachabilityReport(reported_at=NOW, reachable=True),) * 3,
        )
        self.assertEqual(decide_replacement(observed, NOW), KeepPrimary())

    def test_old_reports_of_proxies_do_not_count(self) -> None:
        """Guards against outdated reports that delay a promotion."""
        observed = replace(
            service(silent(member(A)), member(B), member(C)),
            reports=(ReachabilityReport(reported_at=NOW - 3, reachable=True),)
            * 3,
        )
        self.assertIsInstance(decide_replacement(observed, NOW), ReplacePrimary)

    def test_primary_that_most_proxies_miss_is_replaced(self) -> None:
        """Guards against a primary that only the control hosts reach."""
        observed = replace(
            service(member(A), member(B), member(C)),
            reports=(ReachabilityReport(reported_at=NOW, reachable=False),) * 2,
        )
        self.assertIsInstance(decide_replacement(observed, NOW), ReplacePrimary)

    def test_primary_without_receiving_replicas_is_replaced(self) -> None:
        """Guards against a primary whose writes no replica confirms."""
        behind = [
            replace(member(name, received=3), behind_since=NOW - 2)
            for name in (B, C)
        ]
        observed = service(member(A), *behind)
        self.assertIsInstance(decide_replacement(observed, NOW), ReplacePrimary)

    def test_one_replica_that_keeps_up_keeps_the_primary(self) -> None:
        """Guards against a promotion because one replica receives nothing."""
        behind = replace(member(B, received=3), behind_since=NOW - 2)
        observed = service(member(A), behind, member(C))
        self.assertEqual(decide_replacement(observed, NOW), KeepPrimary())

    def test_primary_that_leaves_waits_for_a_replica(self) -> None:
        """Guards against a planned replacement when no replica answers."""
        leaving = replace(member(A), is_leaving=True)
        alone = service(leaving, silent(member(B)))
        self.assertEqual(decide_replacement(alone, NOW), KeepPrimary())
        followed = service(leaving, member(B))
        self.assertIsInstance(decide_replacement(followed, NOW), ReplacePrimary)

    def test_primary_that_leaves_waits_for_an_absent_replica(self) -> None:
        """Guards against a leaving primary that serves nobody meanwhile."""
        leaving = replace(member(A), is_leaving=True)
        absent = replace(silent(member(C)), is_absent=True)
        observed = service(leaving, member(B), absent)
        for count, expected in (
            (0, KeepPrimary),
            (1, KeepPrimary),
            (2, ReplacePrimary),
        ):
            decision = decide_replacement(
                observed, NOW, synchronous_replicas=count
            )
            self.assertIsInstance(decision, expected, count)


class CheckPromotionTest(unittest.TestCase):
    """Conditions under which a promotion loses no acknowledged commit."""

    def test_furthest_of_all_replicas_may_lead(self) -> None:
        """Guards against waiting although the promotion is safe."""
        observed = service(silent(member(A)), member(B), member(C))
        check = check_promotion(
            observed, evidence(7, 7), synchronous_replicas=1, now=NOW
        )
        self.assertEqual(check, Promotable(upstream_id=B))

    def test_replica_that_received_more_is_named(self) -> None:
        """Guards against losing a commit that only `c` received."""
        observed = service(silent(member(A)), member(B), member(C))
        check = check_promotion(
            observed, evidence(6, 7), synchronous_replicas=1, now=NOW
        )
        assert isinstance(check, NotPromotable)
        self.assertEqual(check.more_advanced, C)

    def test_replica_without_a_confirmed_pause_delays(self) -> None:
        """Guards against a replica that goes on confirming commits."""
        observed = service(silent(member(A)), member(B), member(C))
        check = check_promotion(
            observed,
            evidence(7, unconfirmed=(C,)),
            synchronous_replicas=1,
            now=NOW,
        )
        self.assertIsInstance(check, NotPromotable)

    def test_second_confirmation_covers_one_missing_replica(self) -> None:
        """Guards against waiting although another replica has every commit."""
        observed = service(silent(member(A)), member(B), member(C))
        check = check_promotion(
            observed,
            evidence(7, unconfirmed=(C,)),
            synchronous_replicas=2,
            now=NOW,
        )
        self.assertIsInstance(check, Promotable)

    def test_departed_replica_delays_until_the_primary_is_seen(self) -> None:
        """Guards against losing a commit that only the departed one had."""
        observed = replace(
            service(silent(member(A)), member(B), member(C)),
            departures=(departure('d'),),
        )
        check = check_promotion(
            observed, evidence(7, 7), synchronous_replicas=1, now=NOW
        )
        self.assertIsInstance(check, NotPromotable)
        bounded = replace(observed, departures=(departure('d', bound=7),))
        check = check_promotion(
            bounded, evidence(7, 7), synchronous_replicas=1, now=NOW
        )
        self.assertIsInstance(check, Promotable)

    def test_departed_replica_delays_until_the_candidate_caught_up(
        self,
    ) -> None:
        """Guards against losing a commit that only the departed one had.

        The primary was seen again, but its commits had not arrived yet.
        """
        observed = replace(
            service(silent(member(A, received=8)), member(B), member(C)),
            departures=(departure('d', bound=8),),
        )
        behind = check_promotion(
            observed, evidence(7, 7), synchronous_replicas=1, now=NOW
        )
        self.assertIsInstance(behind, NotPromotable)
        caught_up = check_promotion(
            observed, evidence(8, 7), synchronous_replicas=1, now=NOW
        )
        self.assertIsInstance(caught_up, Promotable)

    def test_departed_and_silent_replica_together_delay(self) -> None:
        """Guards against two starts that confirmed a commit of which one left.

        With two confirmations, each of them alone delays nothing.
        """
        for departures, unconfirmed, expected in (
            ((departure('d'),), (), Promotable),
            ((), (C,), Promotable),
            ((departure('d'),), (C,), NotPromotable),
            ((departure('d'), departure('e')), (), NotPromotable),
            ((departure('d'), departure('e', bound=7)), (), Promotable),
        ):
            observed = replace(
                service(silent(member(A)), member(B), silent(member(C))),
                departures=departures,
            )
            check = check_promotion(
                observed,
                evidence(7, unconfirmed=unconfirmed),
                synchronous_replicas=2,
                now=NOW,
            )
            self.assertIsInstance(check, expected, (departures, unconfirmed))

    def test_absent_replica_counts_up_to_the_bound_of_the_primary(self) -> None:
        """Guards against a lost replica that blocks each promotion for ever."""
        for bound, is_absent, expected in (
            (7, True, Promotable),
            (8, True, NotPromotable),
            (None, True, NotPromotable),
            (7, False, NotPromotable),
        ):
            lost = replace(
                silent(member(C)),
                is_absent=is_absent,
                bound=None if bound is None else at(bound),
            )
            check = check_promotion(
                service(silent(member(A)), member(B), lost),
                evidence(7, unconfirmed=(C,)),
                synchronous_replicas=1,
                now=NOW,
            )
            self.assertIsInstance(check, expected, (bound, is_absent))

    def test_absent_replica_counts_while_the_primary_serves(self) -> None:
        """Guards against a commit that it confirms before the promotion."""
        lost = replace(silent(member(C)), is_absent=True, bound=at(7))
        reached = ReachabilityReport(reported_at=NOW, reachable=True)
        for primary, reports, expected in (
            (silent(member(A)), (), Promotable),
            (replace(member(A), is_leaving=True), (), NotPromotable),
            (replace(member(A), failing_since=NOW - 0.2), (), NotPromotable),
            (silent(member(A)), (reached,), NotPromotable),
        ):
            check = check_promotion(
                replace(service(primary, member(B), lost), reports=reports),
                evidence(7, unconfirmed=(C,)),
                synchronous_replicas=1,
                now=NOW,
            )
            self.assertIsInstance(check, expected, (primary, reports))


class ChooseCandidateTest(unittest.TestCase):
    """Choice of the candidate."""

    def test_furthest_replica_is_chosen(self) -> None:
        """Guards against a candidate that lacks a commit of another one."""
        observed = service(
            silent(member(A)), member(B, received=5), member(C, received=6)
        )
        self.assertEqual(choose_candidate(observed, None), C)

    def test_member_of_an_open_order_is_preferred(self) -> None:
        """Guards against promoting two members one after another."""
        observed = service(silent(member(A)), member(B), member(C))
        self.assertEqual(choose_candidate(observed, B), B)

    def test_leaving_replica_is_the_last_choice(self) -> None:
        """Guards against a new primary that leaves at once."""
        leaving = replace(member(C, received=9), is_leaving=True)
        observed = service(silent(member(A)), member(B), leaving)
        self.assertEqual(choose_candidate(observed, None), B)

    def test_leaving_replica_that_alone_is_ahead_is_chosen(self) -> None:
        """Guards against the loss of commits that only that replica has."""
        leaving = replace(member(C, received=9), is_leaving=True)
        observed = service(silent(member(A)), member(B), leaving)
        self.assertEqual(choose_candidate(observed, None, C), C)

    def test_leaving_replica_does_not_follow_a_leaving_primary(self) -> None:
        """Guards against two promotions in a planned replacement.

        The primary still serves, so another replica can catch up.
        """
        primary = replace(member(A), is_leaving=True)
        leaving = replace(member(C, received=9), is_leaving=True)
        observed = service(primary, member(B), leaving)
        self.assertEqual(choose_candidate(observed, None, C), B)
