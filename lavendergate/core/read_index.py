"""Batching of read-index rounds of one group.

A round obtains the log position of the primary of a term and the promised
terms of majority - 1 replicas. The position of a completed round is the read
index. All requests of a round are sent after its start, so the read index is
valid for the reads that arrived before that start: when the round started, no
primary of a later term can have acknowledged a write.
"""

from dataclasses import dataclass
from typing import NewType

from lavendergate.core.types import LogPosition, Term, UpstreamId

ReaderId = NewType('ReaderId', int)
RoundId = NewType('RoundId', int)


@dataclass(frozen=True, kw_only=True, slots=True)
class StartRound:
    """Request the primary's position and the replicas' promised terms.

    Parameters
    ----------
    needed
        Number of replicas whose promised term must still be `term`.
    """

    round_id: RoundId
    primary: UpstreamId
    term: Term
    needed: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadersServed:
    """The readers may use any member whose log includes the position."""

    readers: tuple[ReaderId, ...]
    position: LogPosition


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadersFailed:
    """The round failed.

    Parameters
    ----------
    other_term
        Promised term of the member that failed the round: a newer term of a
        replica, or any other term of the primary. None if the round got too
        few answers.
    """

    readers: tuple[ReaderId, ...]
    other_term: Term | None


ReadIndexEffect = StartRound | ReadersServed | ReadersFailed
Effects = tuple[ReadIndexEffect, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class IndexSource:
    """Members that a round needs.

    Parameters
    ----------
    primary, term
        Primary that reports its position, and its term.
    needed
        Number of replicas that must confirm the term: majority - 1.
    """

    primary: UpstreamId
    term: Term
    needed: int


@dataclass(kw_only=True, slots=True)
class _Round:
    round_id: RoundId
    source: IndexSource
    readers: tuple[ReaderId, ...]
    position: LogPosition | None = None
    confirming_replicas: set[UpstreamId]


class ReadIndexBatcher:
    """Read-index rounds of one group, at most one at a time."""

    def __init__(self) -> None:
        """Create a batcher without readers."""
        self._round: _Round | None = None
        # A dict preserves the arrival order and removes an entry in constant
        # time.
        self._waiting_readers: dict[ReaderId, None] = {}
        self._source: IndexSource | None = None
        self._last_id = 0

    def add_reader(self, reader_id: ReaderId, source: IndexSource) -> Effects:
        """Add a reader; only a round that starts later can serve it."""
        self._source = source
        self._waiting_readers[reader_id] = None
        return self._start_round() if self._round is None else ()

    def remove_reader(self, reader_id: ReaderId) -> None:
        """Remove a reader whose deadline has passed."""
        self._waiting_readers.pop(reader_id, None)

    def primary_answered(
        self,
        round_id: RoundId,
        position: LogPosition,
        promised_term: Term,
    ) -> Effects:
        """Process the primary's last log position and its promised term."""
        current = self._current_round(round_id)
        if current is None:
            return ()
        if promised_term != current.source.term:
            return self._fail_round(current, promised_term)
        current.position = position
        return self._finish_if_complete(current)

    def replica_answered(
        self,
        round_id: RoundId,
        upstream_id: UpstreamId,
        promised_term: Term,
    ) -> Effects:
        """Process the promised term of a replica."""
        current = self._current_round(round_id)
        if current is None:
            return ()
        if promised_term > current.source.term:
            return self._fail_round(current, promised_term)
        # A lower promised term means that the replica missed the promotion.
        # It does not count, because a majority that includes it could still
        # promise another term.
        if promised_term == current.source.term:
            current.confirming_replicas.add(upstream_id)
        return self._finish_if_complete(current)

    def abandon(self, round_id: RoundId) -> Effects:
        """End a round that got too few answers."""
        current = self._current_round(round_id)
        return () if current is None else self._fail_round(current, None)

    def _current_round(self, round_id: RoundId) -> _Round | None:
        current = self._round
        is_same = current is not None and current.round_id == round_id
        return current if is_same else None

    def _start_round(self) -> Effects:
        source = self._source
        if source is None or not self._waiting_readers:
            return ()
        self._last_id += 1
        round_id = RoundId(self._last_id)
        self._round = _Round(
            round_id=round_id,
            source=source,
            readers=tuple(self._waiting_readers),
            confirming_replicas=set(),
        )
        self._waiting_readers.clear()
        return (
            StartRound(
                round_id=round_id,
                primary=source.primary,
                term=source.term,
                needed=source.needed,
            ),
        )

    def _finish_if_complete(self, current: _Round) -> Effects:
        if current.position is None:
            return ()
        if len(current.confirming_replicas) < current.source.needed:
            return ()
        self._round = None
        served = ReadersServed(
            readers=current.readers,
            position=current.position,
        )
        return (served, *self._start_round())

    def _fail_round(self, current: _Round, other_term: Term | None) -> Effects:
        self._round = None
        failed = ReadersFailed(
            readers=current.readers,
            other_term=other_term,
        )
        return (failed, *self._start_round())
