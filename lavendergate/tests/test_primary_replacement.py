"""Tests of when a primary is replaced and by which replica."""

import unittest
from dataclasses import replace

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
    return ServiceObservation(primary=A, members=members, primary_seen_at=NOW)


def silent(known: MemberObservation) -> MemberObservation:
    """Return a member that has not answered for two seconds."""
    return replace(known, failing_since=NOW - 2, answered_at=NOW - 2)


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


class CheckPromotionTest(unittest.TestCase):
    """Conditions under which a promotion loses no acknowledged commit."""

    def test_furthest_of_all_replicas_may_lead(self) -> None:
        """Guards against waiting although the promotion is safe."""
        observed = service(silent(member(A)), member(B), member(C))
        check = check_promotion(
            observed, evidence(7, 7), NOW, synchronous_replicas=1
        )
        self.assertEqual(check, Promotable(upstream_id=B))

    def test_replica_that_received_more_is_named(self) -> None:
        """Guards against losing a commit that only `c` received."""
        observed = service(silent(member(A)), member(B), member(C))
        check = check_promotion(
            observed, evidence(6, 7), NOW, synchronous_replicas=1
        )
        assert isinstance(check, NotPromotable)
        self.assertEqual(check.more_advanced, C)

    def test_replica_without_a_confirmed_pause_delays(self) -> None:
        """Guards against a replica that goes on confirming commits."""
        observed = service(silent(member(A)), member(B), member(C))
        check = check_promotion(
            observed,
            evidence(7, unconfirmed=(C,)),
            NOW,
            synchronous_replicas=1,
        )
        self.assertIsInstance(check, NotPromotable)

    def test_second_confirmation_covers_one_missing_replica(self) -> None:
        """Guards against waiting although another replica has every commit."""
        observed = service(silent(member(A)), member(B), member(C))
        check = check_promotion(
            observed,
            evidence(7, unconfirmed=(C,)),
            NOW,
            synchronous_replicas=2,
        )
        self.assertIsInstance(check, Promotable)

    def test_departed_replica_delays_until_the_primary_is_seen(self) -> None:
        """Guards against losing a commit that only the departed one had."""
        observed = replace(
            service(silent(member(A)), member(B), member(C)),
            departed_at=NOW - 1,
            primary_seen_at=NOW - 2,
        )
        check = check_promotion(
            observed, evidence(7, 7), NOW, synchronous_replicas=1
        )
        self.assertIsInstance(check, NotPromotable)
        seen = replace(observed, primary_seen_at=NOW - 0.5)
        check = check_promotion(
            seen, evidence(7, 7), NOW, synchronous_replicas=1
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
            departed_at=NOW - 1,
            primary_seen_at=NOW - 0.5,
        )
        behind = check_promotion(
            observed, evidence(7, 7), NOW, synchronous_replicas=1
        )
        self.assertIsInstance(behind, NotPromotable)
        caught_up = check_promotion(
            observed, evidence(8, 7), NOW, synchronous_replicas=1
        )
        self.assertIsInstance(caught_up, Promotable)


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
