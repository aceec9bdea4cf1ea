"""Tests of read positions, member order, shares and voter changes."""

import unittest

from lavendergate.core.commands import ChangeVoters
from lavendergate.core.routes import Consistency, ServiceLimits
from lavendergate.core.sessions.freshness import (
    PositionHistory,
    PositionSample,
    earliest_sample_time,
    required_position,
)
from lavendergate.core.sessions.shares import connection_share
from lavendergate.core.types import (
    GroupId,
    HostId,
    LogPosition,
    Term,
)
from lavendergate.core.voter_changes import (
    JoiningHost,
    NodeProgress,
    next_configuration,
)


def at(number: int, term: int = 1) -> LogPosition:
    """Return a position."""
    return LogPosition(term=Term(term), position=number)


def sample(number: int, asked_at: float, term: int = 1) -> PositionSample:
    """Return a sample."""
    return PositionSample(position=at(number, term), asked_at=asked_at)


class PositionHistoryTest(unittest.TestCase):
    """Recorded positions of a primary."""

    def test_oldest_sample_within_the_bound_is_used(self) -> None:
        """Guards against requiring a later position than the bound needs."""
        history = PositionHistory()
        for number, asked_at in ((1, 1.0), (2, 2.0), (3, 3.0)):
            history.add(sample(number, asked_at))
        self.assertEqual(history.since(1.5), sample(2, 2.0))
        self.assertIsNone(history.since(3.1))

    def test_late_answer_does_not_replace_a_later_question(self) -> None:
        """Guards against a recorded position that moves backwards."""
        history = PositionHistory()
        history.add(sample(5, 2.0))
        history.add(sample(4, 1.0))
        self.assertEqual(history.newest_asked_at, 2.0)

    def test_rollback_drops_positions_of_the_lost_commits(self) -> None:
        """Guards against reads that wait for a commit lost in a rollback."""
        history = PositionHistory()
        history.add(sample(9, 1.0))
        history.forget_beyond(at(7))
        self.assertIsNone(history.since(0.5))

    def test_needs_follow_the_consistency_of_the_route(self) -> None:
        """Guards against ignoring or misapplying the staleness bound."""
        primary = earliest_sample_time(Consistency.primary, 1500, 10)
        bounded = earliest_sample_time(Consistency.bounded_staleness, 1500, 10)
        self.assertEqual((primary, bounded), (10, 8.5))

    def test_own_write_is_required_beyond_the_sample(self) -> None:
        """Guards against a session that does not see its own write."""
        required = required_position(sample(3, 1.0), at(5))
        self.assertEqual(required, at(5))


class ConnectionShareTest(unittest.TestCase):
    """Connection limits of one proxy."""

    def test_shares_of_all_proxies_fit_the_limit(self) -> None:
        """Guards against refused connections when no host has failed."""
        limits = ServiceLimits(
            service=GroupId('g'), max_connections=16, synchronous_replicas=1
        )
        for proxies in range(1, 10):
            share = connection_share(limits, proxies)
            self.assertLessEqual(share.limit * proxies, 16)
            self.assertGreaterEqual(share.limit, 1)
            self.assertEqual(share.min_open, 1)

    def test_share_is_small_until_the_proxies_are_counted(self) -> None:
        """Guards against a proxy that uses all connections at its start."""
        limits = ServiceLimits(
            service=GroupId('g'), max_connections=39, synchronous_replicas=1
        )
        share = connection_share(limits, None)
        self.assertEqual((share.limit, share.min_open), (2, 1))


def group(voters: str, learners: str = '') -> ChangeVoters:
    """Return a configuration of hosts with one-letter names."""
    names = [HostId(name) for name in voters + learners]
    return ChangeVoters(
        voters=frozenset(HostId(name) for name in voters),
        learners=frozenset(HostId(name) for name in learners),
        addresses={name: f'{name}:1' for name in names},
        incarnations={name: 'first' for name in names},
    )


def node_progress(since_answer_s: float = 0, missing: int = 0) -> NodeProgress:
    """Return the replication progress of a control node."""
    return NodeProgress(
        incarnation='first',
        since_answer_s=since_answer_s,
        missing_entries=missing,
    )


class NextChangeTest(unittest.TestCase):
    """Automatic voter changes of a control group whose leader is `a`."""

    def test_host_with_a_lost_disk_leaves_before_it_returns(self) -> None:
        """Guards against a voter that has lost its promises with its disk."""
        joiner = JoiningHost(
            host_id=HostId('b'), incarnation='second', address='b:1'
        )
        change = next_configuration(group('abc'), {}, (joiner,))
        assert change is not None
        self.assertEqual(change.voters, {'a', 'c'})
        change = next_configuration(change, {}, (joiner,))
        assert change is not None
        self.assertEqual(change.learners, {'b'})
        self.assertEqual(change.incarnations[HostId('b')], 'second')

    def test_learner_votes_once_it_has_caught_up(self) -> None:
        """Guards against a voter that lacks committed entries."""
        current = group('abc', 'd')
        lagging = {HostId('d'): node_progress(missing=100)}
        self.assertIsNone(next_configuration(current, lagging, ()))
        change = next_configuration(current, {HostId('d'): node_progress()}, ())
        assert change is not None
        self.assertEqual(change.voters, set('abcd'))

    def test_silent_voter_is_removed_after_its_successor_joined(self) -> None:
        """Guards against removing a voter before there is a replacement."""
        progress = {
            HostId('e'): node_progress(since_answer_s=9),
            HostId('f'): node_progress(),
        }
        alone = {HostId('e'): node_progress(since_answer_s=9)}
        self.assertIsNone(next_configuration(group('abcde'), alone, ()))
        change = next_configuration(group('abcde', 'f'), progress, ())
        assert change is not None
        self.assertEqual(change.voters, set('abcdef'))
        change = next_configuration(change, progress, ())
        assert change is not None
        self.assertEqual(change.voters, set('abcdf'))

    def test_complete_group_changes_nothing(self) -> None:
        """Guards against unnecessary changes of a complete group."""
        progress = {HostId(name): node_progress() for name in 'bcdef'}
        self.assertIsNone(next_configuration(group('abcde', 'f'), progress, ()))
