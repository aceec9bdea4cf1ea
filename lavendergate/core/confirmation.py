"""Batching of write confirmations of one group.

A write is confirmed when majority - 1 replicas hold its log entry while their
promised term is still the term of the write. Each replica has at most one wait
at a time, for the highest position of the term; the end of that wait covers
all lower positions too.
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

    The controller ends a wait after a few hundred milliseconds at most,
    because the result of a wait also reports the progress of a lagging
    replica.
    """

    upstream_id: UpstreamId
    position: LogPosition


@dataclass(frozen=True, kw_only=True, slots=True)
class WritesConfirmed:
    """The writes may be acknowledged."""

    writes: tuple[WriteId, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class WritesUnknown:
    """The writes end with the outcome `unknown`, for the stated reason."""

    writes: tuple[WriteId, ...]
    reason: str


ConfirmationEffect = StartWait | WritesConfirmed | WritesUnknown
Effects = tuple[ConfirmationEffect, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitResult:
    """Result row of ``group_wait``.

    Parameters
    ----------
    promised_term
        Highest term that the replica had promised when the wait ended.
    last_entry
        Last entry of the replica's log when the wait ended.
    """

    promised_term: Term
    last_entry: LogPosition


@dataclass(kw_only=True, slots=True)
class _Replica:
    is_waiting: bool = False
    replicated_position: int = 0
    has_newer_promise: bool = False


class WriteConfirmations:
    """Writes of one group and term that wait for their confirmation.

    The controller creates a new object for each term. Writes of an older
    term stay in the older object until they are confirmed or their
    deadlines pass.

    Parameters
    ----------
    needed
        Number of replicas that must hold an entry: majority - 1.
    replicas
        The committed members except the one that executed the writes. That
        member must not be derived from the group view, which may name
        another primary, or none, by the time of the confirmation: a member
        that counted as its own replica would confirm its writes alone.
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
        # Heap of the writes by position, the lowest first. Writes that have
        # ended are removed from `_unresolved` first and from here later.
        self._writes_by_position: list[tuple[int, WriteId]] = []
        self._unresolved: set[WriteId] = set()
        self._highest_position = 0

    @property
    def term(self) -> Term:
        """Term of the writes."""
        return self._term

    @property
    def pending(self) -> int:
        """Number of writes without an outcome."""
        return len(self._unresolved)

    def add(self, write_id: WriteId, position: LogPosition) -> Effects:
        """Add a write that the primary has committed locally."""
        if position.term != self._term:
            reason = f'its term {position.term} is not {self._term}'
            return (WritesUnknown(writes=(write_id,), reason=reason),)
        heapq.heappush(self._writes_by_position, (position.position, write_id))
        self._unresolved.add(write_id)
        self._highest_position = max(self._highest_position, position.position)
        return self._resolve_writes()

    def wait_ended(
        self, upstream_id: UpstreamId, result: WaitResult
    ) -> Effects:
        """Process the result of a wait, also of one that timed out."""
        replica = self._replicas.get(upstream_id)
        if replica is None:
            return ()
        replica.is_waiting = False
        if result.promised_term > self._term:
            replica.has_newer_promise = True
        is_same_term = result.promised_term == self._term
        if is_same_term and result.last_entry.term == self._term:
            replica.replicated_position = max(
                replica.replicated_position, result.last_entry.position
            )
        return self._resolve_writes()

    def wait_failed(self, upstream_id: UpstreamId) -> None:
        """Record that a wait could not run; `retry_waits` starts a new one."""
        replica = self._replicas.get(upstream_id)
        if replica is not None:
            replica.is_waiting = False

    def retry_waits(self) -> Effects:
        """Start missing waits; the controller calls this after a backoff."""
        return self._start_waits()

    def expire(self, write_id: WriteId) -> Effects:
        """End a write whose deadline has passed."""
        if write_id not in self._unresolved:
            return ()
        self._unresolved.discard(write_id)
        reason = 'no majority confirmed the write before its deadline'
        return (WritesUnknown(writes=(write_id,), reason=reason),)

    def _resolve_writes(self) -> Effects:
        confirmed = self._pop_confirmed()
        effects: list[ConfirmationEffect] = []
        if confirmed:
            effects.append(WritesConfirmed(writes=confirmed))
        usable = sum(
            not replica.has_newer_promise for replica in self._replicas.values()
        )
        if usable < self._needed:
            effects.extend(self._end_all_unknown())
        effects.extend(self._start_waits())
        return tuple(effects)

    def _pop_confirmed(self) -> tuple[WriteId, ...]:
        confirmed_position = self._majority_position()
        confirmed: list[WriteId] = []
        while (
            self._writes_by_position
            and self._writes_by_position[0][0] <= confirmed_position
        ):
            write_id = heapq.heappop(self._writes_by_position)[1]
            if write_id in self._unresolved:
                self._unresolved.discard(write_id)
                confirmed.append(write_id)
        return tuple(confirmed)

    def _majority_position(self) -> int:
        if self._needed == 0:
            return self._highest_position
        # Entries that a replica reported before it promised a newer term
        # still count: at that time its promise was for this term.
        positions = sorted(
            replica.replicated_position for replica in self._replicas.values()
        )
        return positions[-self._needed] if len(positions) >= self._needed else 0

    def _end_all_unknown(self) -> Effects:
        failed = tuple(sorted(self._unresolved))
        self._unresolved.clear()
        self._writes_by_position.clear()
        if not failed:
            return ()
        reason = f'term {self._term} ended before a majority held the write'
        return (WritesUnknown(writes=failed, reason=reason),)

    def _start_waits(self) -> Effects:
        if not self._unresolved:
            return ()
        position = LogPosition(term=self._term, position=self._highest_position)
        effects: list[ConfirmationEffect] = []
        for upstream_id, replica in self._replicas.items():
            is_needed = (
                replica.replicated_position < self._highest_position
                and not replica.has_newer_promise
            )
            if is_needed and not replica.is_waiting:
                replica.is_waiting = True
                effects.append(
                    StartWait(upstream_id=upstream_id, position=position),
                )
        return tuple(effects)
