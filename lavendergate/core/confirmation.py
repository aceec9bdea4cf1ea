"""Batching of write confirmations of one group.

A write is confirmed when majority - 1 replicas hold its entry while they
still promise its term. Each replica has at most one wait at a time, for the
highest position of the term; its end covers all lower positions.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NewType

from lavendergate.core.types import LogPosition, Term, UpstreamId

WriteId = NewType('WriteId', int)


@dataclass(frozen=True, kw_only=True, slots=True)
class StartWait:
    """Run ``group_wait`` for the position on the replica.

    Drivers end a wait after a few hundred milliseconds at most, because its
    end also reports how far a lagging replica has come.
    """

    upstream_id: UpstreamId
    position: LogPosition


@dataclass(frozen=True, kw_only=True, slots=True)
class WritesConfirmed:
    """The writes may be acknowledged."""

    writes: tuple[WriteId, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class WritesUnknown:
    """The writes end with the outcome `unknown`."""

    writes: tuple[WriteId, ...]
    reason: str


ConfirmationEffect = StartWait | WritesConfirmed | WritesUnknown
Effects = tuple[ConfirmationEffect, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitEnd:
    """Row that ``group_wait`` returned.

    Parameters
    ----------
    promised_term
        Promise of the replica at the end of the wait.
    last_entry
        Last entry of the replica's log at the end of the wait.
    """

    promised_term: Term
    last_entry: LogPosition


@dataclass(kw_only=True, slots=True)
class _Replica:
    is_waiting: bool = False
    held: int = 0
    has_left: bool = False


class WriteConfirmations:
    """Writes of one group and term that wait for their confirmation.

    The driver creates a new object for each term. Writes of the old term
    stay with the old object until they are confirmed or their deadlines
    pass.

    Parameters
    ----------
    needed
        Number of replicas that must hold an entry: majority - 1.
    replicas
        The committed members without the one that executed the writes. The
        group view may name another primary, or none, by the time of the
        confirmation; a writer that counts as its own replica would confirm
        its writes alone.
    """

    def __init__(
        self,
        *,
        term: Term,
        needed: int,
        replicas: Iterable[UpstreamId],
    ) -> None:
        """Create an object without writes."""
        self._term = term
        self._needed = needed
        self._replicas = {
            upstream_id: _Replica() for upstream_id in sorted(replicas)
        }
        # Writes by position, the lowest first.
        self._pending: list[tuple[int, WriteId]] = []
        self._open: set[WriteId] = set()
        self._highest = 0

    @property
    def term(self) -> Term:
        """Term of the writes."""
        return self._term

    @property
    def pending(self) -> int:
        """Number of writes that are not confirmed."""
        return len(self._open)

    def add(self, write_id: WriteId, position: LogPosition) -> Effects:
        """Add a committed write."""
        if position.term != self._term:
            reason = f'its term {position.term} is not {self._term}'
            return (WritesUnknown(writes=(write_id,), reason=reason),)
        heapq.heappush(self._pending, (position.position, write_id))
        self._open.add(write_id)
        self._highest = max(self._highest, position.position)
        return self._advance()

    def wait_ended(self, upstream_id: UpstreamId, end: WaitEnd) -> Effects:
        """Report the end of a wait, whether or not the entry was held."""
        replica = self._replicas.get(upstream_id)
        if replica is None:
            return ()
        replica.is_waiting = False
        if end.promised_term > self._term:
            replica.has_left = True
        is_same = end.promised_term == self._term
        if is_same and end.last_entry.term == self._term:
            replica.held = max(replica.held, end.last_entry.position)
        return self._advance()

    def wait_failed(self, upstream_id: UpstreamId) -> None:
        """Report that a wait could not run; `retry_waits` starts a new one."""
        replica = self._replicas.get(upstream_id)
        if replica is not None:
            replica.is_waiting = False

    def retry_waits(self) -> Effects:
        """Start missing waits; drivers call it after a backoff."""
        return self._start_waits()

    def expire(self, write_id: WriteId) -> Effects:
        """End a write whose deadline has passed."""
        if write_id not in self._open:
            return ()
        self._open.discard(write_id)
        reason = 'no majority confirmed the write before its deadline'
        return (WritesUnknown(writes=(write_id,), reason=reason),)

    def _advance(self) -> Effects:
        confirmed = self._pop_held()
        effects: list[ConfirmationEffect] = []
        if confirmed:
            effects.append(WritesConfirmed(writes=confirmed))
        staying = sum(
            not replica.has_left for replica in self._replicas.values()
        )
        if staying < self._needed:
            effects.extend(self._fail_all())
        effects.extend(self._start_waits())
        return tuple(effects)

    def _pop_held(self) -> tuple[WriteId, ...]:
        held = self._held_by_needed()
        confirmed: list[WriteId] = []
        while self._pending and self._pending[0][0] <= held:
            write_id = heapq.heappop(self._pending)[1]
            if write_id in self._open:
                self._open.discard(write_id)
                confirmed.append(write_id)
        return tuple(confirmed)

    def _held_by_needed(self) -> int:
        if self._needed == 0:
            return self._highest
        # Entries that a replica held before it left stay counted: its
        # promise was still this term when it reported them.
        held = sorted(replica.held for replica in self._replicas.values())
        return held[-self._needed] if len(held) >= self._needed else 0

    def _fail_all(self) -> Effects:
        failed = tuple(sorted(self._open))
        self._open.clear()
        self._pending.clear()
        if not failed:
            return ()
        reason = f'term {self._term} ended before a majority held the write'
        return (WritesUnknown(writes=failed, reason=reason),)

    def _start_waits(self) -> Effects:
        if not self._open:
            return ()
        position = LogPosition(term=self._term, position=self._highest)
        effects: list[ConfirmationEffect] = []
        for upstream_id, replica in self._replicas.items():
            is_needed = replica.held < self._highest and not replica.has_left
            if is_needed and not replica.is_waiting:
                replica.is_waiting = True
                effects.append(
                    StartWait(upstream_id=upstream_id, position=position),
                )
        return tuple(effects)
