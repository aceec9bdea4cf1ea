"""Tests of the rules by which the voters follow the present hosts."""

import unittest
from collections.abc import Iterable
from random import Random
from typing import Any
from unittest import mock

from lavendergate.core import voter_changes
from lavendergate.core.commands import ChangeVoters
from lavendergate.core.types import HostId
from lavendergate.core.voter_changes import NodeProgress, next_configuration
from lavendergate.core.voter_departures import (
    AnnouncedStop,
    leaving_hosts,
    without_returned,
)

_LEADER = 'a'
# Above each time limit of the rules, in seconds.
_GONE_S = 100.0


def _ids(names: Iterable[str]) -> frozenset[HostId]:
    return frozenset(HostId(name) for name in names)


def _group(voters: str, learners: str = '') -> ChangeVoters:
    names = _ids(voters + learners)
    return ChangeVoters(
        voters=_ids(voters),
        learners=_ids(learners),
        addresses={name: f'{name}:1' for name in names},
        incarnations=dict.fromkeys(names, 'first'),
    )


def _progress(
    current: ChangeVoters, silent: dict[str, float]
) -> dict[HostId, NodeProgress]:
    """Return the progress that the leader `a` sees."""
    return {
        name: NodeProgress(
            incarnation='first',
            since_answer_s=silent.get(name, 0),
            missing_entries=0,
        )
        for name in current.voters | current.learners
        if name != _LEADER
    }


def _next(
    current: ChangeVoters,
    silent: dict[str, float] | None = None,
    leaving: str = '',
) -> ChangeVoters | None:
    progress = _progress(current, silent or {})
    return next_configuration(current, progress, (), _ids(leaving))


def _borne(current: ChangeVoters, gone: Iterable[str]) -> int:
    """Return how many more losses leave a majority of the voters."""
    count = len(current.voters)
    return len(current.voters - _ids(gone)) - (count // 2 + 1)


def _final(
    current: ChangeVoters, silent: dict[str, float], leaving: str = ''
) -> ChangeVoters:
    """Return the last configuration, and check each step to it."""
    for _ in range(20):
        change = _next(current, silent, leaving)
        if change is None:
            return current
        _check_step(current, change, silent)
        current = change
    raise AssertionError('the changes do not end')


def _check_step(
    current: ChangeVoters, change: ChangeVoters, silent: dict[str, float]
) -> None:
    """Check that the majorities before and after a step overlap."""
    assert len(current.voters ^ change.voters) <= 1, (current, change)
    # The new majority answers, so the leader and it hold each acknowledged
    # change once the step is committed.
    assert _borne(change, silent) >= 0, change
    if len(change.voters) < len(current.voters):
        assert len(change.voters) >= 3, change
        assert _borne(change, silent) >= _borne(current, silent), change


def _check_random_groups() -> None:
    """Check that present hosts bear what they can, after a calm time."""
    random = Random(26)
    for _ in range(400):
        size = random.randint(3, 9)
        names = 'abcdefghi'[:size]
        voters = names[: random.randint(3, min(size, 7))]
        current = _group(voters, names[len(voters) :])
        most_gone = _borne(current, ())
        gone = random.sample(voters[1:], random.randint(0, most_gone))
        left = _final(current, dict.fromkeys(gone, _GONE_S))
        present = min(size - len(gone), 7)
        if present >= 3:
            required = (present - 1) // 2
            assert _borne(left, gone) >= required, (voters, gone, left)


class VoterRulesTest(unittest.TestCase):
    """Selection of the next configuration by the leader `a`."""

    def test_present_hosts_bear_the_losses_that_they_can(self) -> None:
        """Guards against departed voters that lower the tolerance."""
        _check_random_groups()

    def test_check_detects_a_voter_that_is_kept(self) -> None:
        """Guards against a check that passes on the fault of issue 26."""
        with (
            mock.patch.object(
                voter_changes._ChangeSelector,
                'remove_departed_voter',
                return_value=None,
            ),
            self.assertRaises(AssertionError),
        ):
            _check_random_groups()

    def test_check_detects_a_voter_that_is_removed_too_early(self) -> None:
        """Guards against a check that allows a group without a majority."""
        with (
            mock.patch.object(voter_changes, '_MIN_VOTERS', 1),
            self.assertRaises(AssertionError),
        ):
            self.check_stopping_hosts()

    def test_restarts_leave_the_voters_that_the_others_need(self) -> None:
        """Guards against a rolling restart that shrinks a group."""
        self.check_stopping_hosts()

    def check_stopping_hosts(self) -> None:
        for voters in ('ab', 'abc', 'abcde', 'abcdefg'):
            for count in (1, 2):
                leaving = voters[-count:]
                left = _final(_group(voters), {}, leaving)
                self.assertEqual(left, _group(voters), leaving)

    def test_stopping_host_leaves_an_even_group_at_once(self) -> None:
        """Guards against a group that waits for a host that was replaced."""
        self.assertEqual(_final(_group('abcd'), {}, 'd'), _group('abc'))
        # The leader itself stops.
        self.assertEqual(_final(_group('abcd'), {}, 'a').voters, _ids('bcd'))

    def test_learner_takes_the_place_of_a_stopping_voter(self) -> None:
        """Guards against a replacement that waits for silence."""
        left = _final(_group('abcde', 'f'), {}, 'e')
        self.assertEqual(left.voters, _ids('abcdf'))

    def test_silent_host_stays_longer_than_a_restart_takes(self) -> None:
        """Guards against removing a host that is frozen for a moment."""
        self.assertIsNone(_next(_group('abcd'), {'d': 3.9}))
        self.assertEqual(_next(_group('abcd'), {'d': 4.1}), _group('abc'))

    def test_two_silent_hosts_of_five_stay_while_they_may_return(self) -> None:
        """Guards against three voters where five disks may count.

        If two of three voters lost their disks then, the two silent hosts
        could not complete a majority when they are back.
        """
        current = _group('abcde')
        self.assertIsNone(_next(current, {'d': 59, 'e': 59}))
        left = _final(current, {'d': 61, 'e': 61})
        self.assertEqual(left, _group('abc'))
        # Stops were announced, and restarts would have ended.
        self.assertIsNone(_next(current, {'d': 3.9, 'e': 3.9}, 'de'))
        left = _final(current, {'d': 4.1, 'e': 4.1}, 'de')
        self.assertEqual(left, _group('abc'))

    def test_voter_is_kept_while_the_others_could_not_commit(self) -> None:
        """Guards against a removal that no majority of the others holds."""
        self.assertIsNone(_next(_group('abcd'), {'b': 2, 'c': 2}, 'd'))

    def test_seven_present_hosts_vote(self) -> None:
        """Guards against seven hosts that do not bear three losses."""
        left = _final(_group('abcde', 'fg'), {})
        self.assertEqual(left, _group('abcdefg'))
        self.assertEqual(_final(_group('abcdef'), {}), _group('abcde', 'f'))


class AnnouncedStopTest(unittest.TestCase):
    """Hosts that announced at 10 s that they stop."""

    def check(
        self, now: float, *, leaving: bool, kept: bool, **changes: Any
    ) -> None:
        stop = AnnouncedStop(incarnation='first', announced_at=10)
        values: dict[str, Any] = {
            'incarnation': 'first',
            'since_answer_s': 0.0,
            'missing_entries': 0,
        }
        progress = {HostId('b'): NodeProgress(**{**values, **changes})}
        stops = {HostId('b'): stop}
        expected = _ids('b') if leaving else frozenset()
        self.assertEqual(leaving_hosts(stops, progress, now), expected)
        self.assertEqual(bool(without_returned(stops, progress, now)), kept)

    def test_host_that_answers_while_it_stops_is_leaving(self) -> None:
        """Guards against forgetting a stop before the process has ended."""
        self.check(11, leaving=True, kept=True)

    def test_host_that_is_silent_after_its_stop_is_leaving(self) -> None:
        """Guards against forgetting a host that was replaced later."""
        self.check(100, leaving=True, kept=True, since_answer_s=89.5)

    def test_restarted_host_is_not_leaving(self) -> None:
        """Guards against removing a host that was only restarted."""
        self.check(13, leaving=False, kept=False)
        self.check(13, leaving=False, kept=False, incarnation='second')

    def test_new_leader_asks_the_host_first(self) -> None:
        """Guards against removing a host that returned before the election."""
        self.check(
            60, leaving=False, kept=True, since_answer_s=0.9, has_answered=False
        )
        self.check(
            60, leaving=True, kept=True, since_answer_s=1.1, has_answered=False
        )
