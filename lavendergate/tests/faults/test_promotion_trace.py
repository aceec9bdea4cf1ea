"""Tests of the trace of acknowledged writes through a promotion."""

import contextlib
import io
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from faults.promotion_record import (
    RecordError,
    Trace,
    Verdict,
    read_events,
    trace,
)
from faults.promotion_trace import describe, main

# A replica crashes, the primary is cut off, the other replica is promoted.
_TROUBLE = (
    'c: crashes',
    '{early}',
    'a: is cut off',
    "platform: promote {{'service': 's', 'id': 'b'}} token 4",
    'c: is back',
    '{late}',
    'b: leads term 2',
    '{after}',
)


def write(member: str, request: str, *, answer: str = 'DONE s1') -> str:
    """Return the lines of a write that a member ran."""
    return (
        f'client p/0: sends {request} WRITE item-{request} new\n'
        f'{member}: connection 5 state I: {request} WRITE item-{request} new '
        f'-> DONE s1\nclient p/0: gets {request} {answer}'
    )


def record(
    *, before: str = '', early: str = '', late: str = '', after: str = ''
) -> list[str]:
    """Return the lines of a record with one promotion, of `b`."""
    text = '\n'.join((before, *_TROUBLE)).format(
        early=early, late=late, after=after
    )
    lines = filter(None, text.split('\n'))
    return [f'{number:9.4f} {line}' for number, line in enumerate(lines)]


def traced(**parts: str) -> Trace:
    """Return the trace of a record."""
    return trace(read_events(record(**parts)))


def verdicts(found: Trace) -> dict[str, Verdict]:
    """Return the verdict of each acknowledged write, by item."""
    return {write.item: write.verdict for write in found.writes}


class PromotionTraceTest(unittest.TestCase):
    """Which acknowledged writes the promoted member has."""

    def test_writes_of_a_run_without_a_loss_are_in_the_log(self) -> None:
        """Guards against counting the next primary's writes as lost."""
        found = traced(
            before=write('a', '1'), early=write('a', '2'), after=write('b', '3')
        )
        self.assertEqual(
            verdicts(found),
            {
                'item-1': Verdict.earlier,
                'item-2': Verdict.confirmed,
                'item-3': Verdict.own,
            },
        )
        self.assertFalse(found.missing)
        self.assertIn('each of 3 acknowledged writes', describe(found))

    def test_write_that_only_a_returned_replica_has_is_lost(self) -> None:
        """Guards against a trace that cannot find a lost write."""
        found = traced(early=write('a', '2'), late=write('a', '3'))
        self.assertEqual(verdicts(found)['item-3'], Verdict.lost)
        self.assertIn('1 of 2 acknowledged writes are not', describe(found))

    def test_write_of_a_former_primary_that_goes_on_is_lost(self) -> None:
        """Guards against writes that the former primary ends later."""
        found = traced(early=write('a', '2'), after=write('a', '3'))
        self.assertEqual(verdicts(found)['item-3'], Verdict.lost)

    def test_write_after_the_pause_of_the_promoted_member_is_lost(self) -> None:
        """Guards against a paused member that counts as a receiver."""
        found = traced(
            early=f'{write("a", "2")}\nb: PAUSE 2\n{write("a", "3")}'
        )
        self.assertEqual(
            verdicts(found),
            {'item-2': Verdict.confirmed, 'item-3': Verdict.lost},
        )

    def test_write_without_a_later_one_in_the_log_is_not_shown(self) -> None:
        """Guards against a verdict that the record does not support."""
        found = traced(before=write('a', '1'))
        self.assertEqual(verdicts(found), {'item-1': Verdict.unknown})
        self.assertEqual(len(found.missing), 1)

    def test_write_that_no_member_ran_is_not_shown(self) -> None:
        """Guards against a success that was made up."""
        invented = 'client p/0: sends 9 WRITE x new\nclient p/0: gets 9 DONE s'
        found = traced(early=f'{write("a", "2")}\n{invented}')
        self.assertEqual(verdicts(found)['x'], Verdict.unknown)

    def test_unacknowledged_writes_are_left_out(self) -> None:
        """Guards against counting writes whose callers know nothing."""
        answer = 'ERR UNKNOWN it may be kept or lost'
        found = traced(
            early=write('a', '2'), late=write('a', '3', answer=answer)
        )
        self.assertEqual(set(verdicts(found)), {'item-2'})

    def test_transaction_counts_at_its_commit(self) -> None:
        """Guards against writes that a rollback has undone."""
        lines = (
            'client p/0: sends 3 WRITE x new',
            'a: connection 5 state T: 3 WRITE x new -> DONE s1',
            'client p/0: gets 3 DONE s1',
            'client p/0: sends 4 COMMIT',
            'a: connection 5 state T: 4 COMMIT -> DONE s2',
            'client p/0: gets 4 DONE s2',
        )
        found = traced(early=write('a', '2'), late='\n'.join(lines))
        self.assertEqual(
            verdicts(found),
            {'item-2': Verdict.confirmed, 'COMMIT': Verdict.lost},
        )

    def test_prepared_write_is_a_write(self) -> None:
        """Guards against prepared writes that are taken for reads."""
        lines = (
            'client p/0: sends 3 PREPARE n WRITE shape',
            'client p/0: gets 3 DONE -',
            'client p/0: sends 4 EXEC n x new',
            'a: connection 5 state I: 4 EXEC m x new -> DONE s2',
            'client p/0: gets 4 DONE s2',
        )
        found = traced(early=write('a', '2'), late='\n'.join(lines))
        self.assertEqual(verdicts(found)['x'], Verdict.lost)

    def test_cut_names_the_members_that_receive_nothing(self) -> None:
        """Guards against a cut from another replica that counts as a loss."""
        early = f'a: is cut off from d\n{write("a", "2")}'
        self.assertFalse(traced(early=early).missing)

    def test_odd_records_are_refused(self) -> None:
        """Guards against a verdict on something that is no record."""
        with self.assertRaisesRegex(RecordError, "line 2 is 'no line'"):
            read_events(['   0.1 a: crashes', 'no line'])
        with self.assertRaisesRegex(RecordError, 'has 0 promotions'):
            trace(read_events(['   0.1 a: crashes']))

    def test_command_prints_the_listed_writes_and_the_verdict(self) -> None:
        """Guards against an exit status that hides a lost write."""
        parts = {'early': write('a', '2'), 'late': write('a', '3')}
        for lines, status, words in (
            (record(**parts), 1, '* item-3; LOST'),
            (record(early=parts['early']), 0, 'not acknowledged by this'),
            (['no record'], 2, ''),
        ):
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / 'record.txt'
                path.write_text('\n'.join(lines))
                command = ['promotion_trace', str(path), '--listed', 'item-3']
                output = io.StringIO()
                with (
                    mock.patch.object(sys, 'argv', command),
                    contextlib.redirect_stdout(output),
                    contextlib.redirect_stderr(io.StringIO()),
                ):
                    self.assertEqual(main(), status)
                self.assertIn(words, output.getvalue())


if __name__ == '__main__':
    unittest.main()
