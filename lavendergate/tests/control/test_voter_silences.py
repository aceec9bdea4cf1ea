"""Tests of silences that a new leader takes over."""

import unittest

from lavendergate.core.control_group.voter_silences import (
    Silence,
    current_silences,
    longest_silences,
    observed_silences,
    with_silences,
)
from lavendergate.core.types import HostId
from lavendergate.core.voter_changes import NodeProgress

_HOST = HostId('b')
_NOW = 100.0


def _progress(
    since_answer_s: float, *, has_answered: bool = False, incarnation: str = '1'
) -> dict[HostId, NodeProgress]:
    node = NodeProgress(
        incarnation=incarnation,
        since_answer_s=since_answer_s,
        missing_entries=0,
        has_answered=has_answered,
    )
    return {_HOST: node}


def _known(
    silent_s: float, incarnation: str = '1', *, age_s: float = 0
) -> dict[HostId, Silence]:
    silence = Silence(
        incarnation=incarnation,
        since=_NOW - silent_s,
        reported_at=_NOW - age_s,
    )
    return {_HOST: silence}


class VoterSilenceTest(unittest.TestCase):
    """Silences that an earlier leader counted."""

    def test_silence_goes_on_under_a_new_leader(self) -> None:
        """Guards against a departed voter that each leader counts anew."""
        known = observed_silences(_known(6), _progress(0.6), _NOW)
        progress = with_silences(_progress(0.6), known, _NOW)
        self.assertEqual(progress[_HOST].since_answer_s, 6)

    def test_a_new_leader_asks_before_it_counts_an_inherited_silence(
        self,
    ) -> None:
        """Guards against the removal of a host that came back meanwhile."""
        progress = with_silences(_progress(0.4), _known(6), _NOW)
        self.assertEqual(progress[_HOST].since_answer_s, 0.4)

    def test_an_answer_ends_a_silence(self) -> None:
        """Guards against a silence that outlasts the return of a host."""
        answered = _progress(0.1, has_answered=True)
        self.assertEqual(observed_silences(_known(6), answered, _NOW), {})

    def test_a_silence_that_no_leader_reports_ends(self) -> None:
        """Guards against a host that is removed for a silence of long ago."""
        known = observed_silences(_known(90, age_s=60), _progress(0.6), _NOW)
        self.assertEqual(known, _known(0.6))
        self.assertEqual(current_silences(_known(90, age_s=60), _NOW), {})

    def test_a_silence_outlasts_an_election(self) -> None:
        """Guards against an age at which no new leader inherits a silence."""
        known = observed_silences(_known(9, age_s=4), _progress(0.6), _NOW)
        self.assertEqual(known, _known(9))

    def test_another_disk_has_a_silence_of_its_own(self) -> None:
        """Guards against a host that is removed for its lost disk's silence."""
        back = _progress(0.6, incarnation='2')
        self.assertEqual(
            observed_silences(_known(6), back, _NOW), _known(0.6, '2')
        )
        self.assertEqual(
            with_silences(back, _known(6), _NOW)[_HOST].since_answer_s, 0.6
        )
        self.assertEqual(
            longest_silences(_known(1, '2'), _known(6)), _known(1, '2')
        )

    def test_a_report_never_makes_an_answering_host_silent(self) -> None:
        """Guards against the memory of a host that was cut off."""
        self.assertEqual(longest_silences({}, _known(6)), {})
        self.assertEqual(longest_silences(_known(1), _known(6)), _known(6))
