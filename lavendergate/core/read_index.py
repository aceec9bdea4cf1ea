"""Batching of read-index rounds of one group.

A round obtains the position of the primary of a term and the promises of
majority - 1 replicas. All of its questions are asked after it started, so
it serves the reads that arrived before that: no primary of a later term can
have acknowledged a write by then.
"""

from dataclasses import dataclass
from typing import NewType

from lavendergate.core.types import LogPosition, Term, UpstreamId

ReaderId = NewType('ReaderId', int)
RoundId = NewType('RoundId', int)


@dataclass(frozen=True, kw_only=True, slots=True)
class StartRound:
    """Ask the primary for its position and the replicas for their promises.

    Parameters
    ----------
    needed
        Number of replicas that must still promise the term.
    """

    round_id: RoundId
    primary: UpstreamId
    term: Term
    needed: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadersServed:
    """The readers may use any member that holds the position."""

    readers: tuple[ReaderId, ...]
    position: LogPosition


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadersFailed:
    """The term has ended; the readers are routed again with a newer view."""

    readers: tuple[ReaderId, ...]
    newer_term: Term | None


ReadIndexEffect = StartRound | ReadersServed | ReadersFailed
Effects = tuple[ReadIndexEffect, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class IndexSource:
    """Where a round gets its position: primary, term and majority - 1."""

    primary: UpstreamId
    term: Term
    needed: int


@dataclass(kw_only=True, slots=True)
class _Round:
    round_id: RoundId
    source: IndexSource
    readers: tuple[ReaderId, ...]
    position: LogPosition | None = None
    promised: set[UpstreamId]


class ReadIndexBatcher:
    """Read-index rounds of one group, at most one at a time."""

    def __init__(self) -> None:
        """Create a batcher without readers."""
        self._round: _Round | None = None
        # A dict keeps the order of arrival and removes in constant time.
        self._waiting: dict[ReaderId, None] = {}
        self._source: IndexSource | None = None
        self._last_id = 0

    def arrive(self, reader_id: ReaderId, source: IndexSource) -> Effects:
        """Add a reader; it is served by a round that starts from now on."""
        self._source = source
        self._waiting[reader_id] = None
        return self._start() if self._round is None else ()

    def leave(self, reader_id: ReaderId) -> None:
        """Remove a reader whose deadline has passed."""
        self._waiting.pop(reader_id, None)

    def primary_answered(
        self,
        round_id: RoundId,
        position: LogPosition,
        promised_term: Term,
    ) -> Effects:
        """Report the primary's last entry and promise."""
        current = self._current(round_id)
        if current is None:
            return ()
        if promised_term != current.source.term:
            return self._fail(current, promised_term)
        current.position = position
        return self._finish_if_done(current)

    def replica_answered(
        self,
        round_id: RoundId,
        upstream_id: UpstreamId,
        promised_term: Term,
    ) -> Effects:
        """Report the promise of a replica."""
        current = self._current(round_id)
        if current is None:
            return ()
        if promised_term > current.source.term:
            return self._fail(current, promised_term)
        # A lower promise means that the replica missed the promotion; a
        # majority that it is part of could still promise another term.
        if promised_term == current.source.term:
            current.promised.add(upstream_id)
        return self._finish_if_done(current)

    def abandon(self, round_id: RoundId) -> Effects:
        """Report that the round got too few answers in its time."""
        current = self._current(round_id)
        return () if current is None else self._fail(current, None)

    def _current(self, round_id: RoundId) -> _Round | None:
        current = self._round
        is_same = current is not None and current.round_id == round_id
        return current if is_same else None

    def _start(self) -> Effects:
        source = self._source
        if source is None or not self._waiting:
            return ()
        self._last_id += 1
        round_id = RoundId(self._last_id)
        self._round = _Round(
            round_id=round_id,
            source=source,
            readers=tuple(self._waiting),
            promised=set(),
        )
        self._waiting.clear()
        return (
            StartRound(
                round_id=round_id,
                primary=source.primary,
                term=source.term,
                needed=source.needed,
            ),
        )

    def _finish_if_done(self, current: _Round) -> Effects:
        if current.position is None:
            return ()
        if len(current.promised) < current.source.needed:
            return ()
        self._round = None
        served = ReadersServed(
            readers=current.readers,
            position=current.position,
        )
        return (served, *self._start())

    def _fail(self, current: _Round, newer_term: Term | None) -> Effects:
        self._round = None
        failed = ReadersFailed(
            readers=current.readers,
            newer_term=newer_term,
        )
        return (failed, *self._start())
