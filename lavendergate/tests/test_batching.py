"""Tests of read-index rounds and write confirmations."""

import unittest

from lavendergate.core.confirmation import (
    StartWait,
    WaitResult,
    WriteConfirmations,
    WriteId,
    WritesConfirmed,
    WritesUnknown,
)
from lavendergate.core.read_index import (
    IndexSource,
    ReaderId,
    ReadersFailed,
    ReadersServed,
    ReadIndexBatcher,
    RoundId,
    StartRound,
)
from lavendergate.core.types import LogPosition, Term, UpstreamId

_P, _R1, _R2 = UpstreamId('p'), UpstreamId('r1'), UpstreamId('r2')
_SOURCE = IndexSource(primary=_P, term=Term(1), needed=1)


def _at(position: int, term: int = 1) -> LogPosition:
    return LogPosition(term=Term(term), position=position)


def _end(position: int, promised: int = 1) -> WaitResult:
    return WaitResult(promised_term=Term(promised), last_entry=_at(position))


def _start(number: int) -> StartRound:
    return StartRound(
        round_id=RoundId(number),
        primary=_P,
        term=Term(1),
        needed=1,
    )


class ReadIndexTest(unittest.TestCase):
    """Rounds and the readers that each of them serves."""

    def test_late_reader_waits_for_the_next_round(self) -> None:
        """Guards against a read that misses a write acknowledged before it.

        A round that started before the read arrived may have fetched the
        position before that write.
        """
        batcher = ReadIndexBatcher()
        first, second, third = ReaderId(1), ReaderId(2), ReaderId(3)
        self.assertEqual((_start(1),), batcher.add_reader(first, _SOURCE))
        self.assertEqual((), batcher.add_reader(second, _SOURCE))
        self.assertEqual((), batcher.add_reader(third, _SOURCE))
        batcher.remove_reader(third)
        batcher.primary_answered(RoundId(1), _at(7), Term(1))
        effects = batcher.replica_answered(RoundId(1), _R1, Term(1))
        served = ReadersServed(readers=(first,), position=_at(7))
        self.assertEqual((served, _start(2)), effects)
        # An answer to the first round does not count for the second.
        batcher.replica_answered(RoundId(1), _R2, Term(1))
        self.assertEqual(
            (), batcher.primary_answered(RoundId(2), _at(8), Term(1))
        )

    def test_newer_promise_fails_the_round(self) -> None:
        """Guards against a read index from a replaced primary."""
        batcher = ReadIndexBatcher()
        batcher.add_reader(ReaderId(1), _SOURCE)
        self.assertEqual((), batcher.replica_answered(RoundId(1), _R1, Term(0)))
        self.assertEqual(
            (), batcher.primary_answered(RoundId(1), _at(7), Term(1))
        )
        failed = ReadersFailed(readers=(ReaderId(1),), other_term=Term(2))
        effects = batcher.replica_answered(RoundId(1), _R1, Term(2))
        self.assertEqual((failed,), effects)
        self.assertEqual((), batcher.abandon(RoundId(1)))


class ConfirmationTest(unittest.TestCase):
    """Confirmation of writes by a majority."""

    def setUp(self) -> None:
        """Create confirmations for a group of three, with one pending write."""
        self.writes = WriteConfirmations(
            term=Term(1),
            needed=1,
            replicas=(_R1, _R2),
        )
        waits = self.writes.add(WriteId(1), _at(5))
        self.assertEqual(
            (
                StartWait(upstream_id=_R1, position=_at(5)),
                StartWait(upstream_id=_R2, position=_at(5)),
            ),
            waits,
        )

    def test_one_wait_covers_lower_positions(self) -> None:
        """Guards against a separate wait for each write."""
        self.assertEqual((), self.writes.add(WriteId(2), _at(7)))
        self.assertEqual((), self.writes.add(WriteId(3), _at(6)))
        confirmed = WritesConfirmed(writes=(WriteId(1), WriteId(3)))
        next_wait = StartWait(upstream_id=_R1, position=_at(7))
        effects = self.writes.wait_ended(_R1, _end(6))
        self.assertEqual((confirmed, next_wait), effects)
        last = WritesConfirmed(writes=(WriteId(2),))
        self.assertEqual((last,), self.writes.wait_ended(_R2, _end(7)))

    def test_fenced_replicas_do_not_confirm(self) -> None:
        """Guards against acknowledging a write of a replaced primary."""
        self.assertEqual((), self.writes.wait_ended(_R1, _end(5, promised=2)))
        effects = self.writes.wait_ended(_R2, _end(5, promised=2))
        self.assertIsInstance(effects[0], WritesUnknown)
        self.assertEqual(0, self.writes.pending)

    def test_expired_write_is_not_confirmed_later(self) -> None:
        """Guards against reporting two outcomes for one write."""
        self.assertEqual(1, len(self.writes.expire(WriteId(1))))
        self.assertEqual((), self.writes.expire(WriteId(1)))
        self.assertEqual((), self.writes.wait_ended(_R1, _end(5)))
        late = self.writes.add(WriteId(9), _at(6, term=2))
        self.assertIsInstance(late[0], WritesUnknown)
