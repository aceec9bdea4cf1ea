"""Proposals and reads that wait for the replicated log."""

from dataclasses import dataclass

from result import Err, Ok, Result

from lavendergate.controllers.waiters import Waiter
from lavendergate.core.consensus.errors import (
    ChangeRefused,
    ConsensusFailure,
    NoQuorum,
    NotLeader,
)
from lavendergate.core.consensus.events import (
    ProposalAppended,
    ProposalRefused,
)
from lavendergate.core.consensus.types import ConsensusTerm
from lavendergate.core.control_records import Answer
from lavendergate.core.control_state import ControlState

ProposalResult = Result[Answer, ConsensusFailure]
StateReadResult = Result[ControlState, ConsensusFailure]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Appended:
    term: ConsensusTerm
    waiter: Waiter[ProposalResult]


class PendingProposals:
    """Proposals that have no answer yet."""

    def __init__(self) -> None:
        self._last_id = 0
        self._posted: dict[int, Waiter[ProposalResult]] = {}
        self._appended: dict[int, _Appended] = {}

    def add(self, waiter: Waiter[ProposalResult]) -> int:
        """Add a proposal and return its identifier."""
        self._last_id += 1
        self._posted[self._last_id] = waiter
        return self._last_id

    def record_appended(self, effect: ProposalAppended) -> None:
        """Record the log index and term of an appended proposal."""
        self._appended[effect.index] = _Appended(
            term=effect.term, waiter=self._posted.pop(effect.proposal_id)
        )

    def refuse(self, effect: ProposalRefused, leader: str | None) -> None:
        """Answer a proposal that was refused and is not in the log."""
        failure: ConsensusFailure = NotLeader(leader=leader)
        if effect.problem is not None:
            failure = ChangeRefused(problem=effect.problem)
        self._posted.pop(effect.proposal_id).resolve(Err(failure))

    def answer(self, index: int, term: ConsensusTerm, answer: Answer) -> None:
        """Answer the proposal whose entry was applied, if it is pending."""
        appended = self._appended.pop(index, None)
        if appended is not None and appended.term == term:
            appended.waiter.resolve(Ok(answer))

    def fail_appended(self) -> None:
        """Answer all appended proposals that the next leader may commit."""
        for appended in self._appended.values():
            appended.waiter.resolve(Err(NoQuorum(may_commit=True)))
        self._appended.clear()

    def fail_all(self) -> None:
        """Answer all proposals when the node stops."""
        self.fail_appended()
        for waiter in self._posted.values():
            waiter.resolve(Err(NoQuorum(may_commit=True)))
        self._posted.clear()


class PendingReads:
    """Reads that wait until the leadership is confirmed.

    A confirmation round only covers what was committed before it began, so
    reads that arrive during a round share the next one.
    """

    def __init__(self) -> None:
        self._round = 0
        self._running: list[Waiter[StateReadResult]] = []
        self._next: list[Waiter[StateReadResult]] = []

    def add(self, waiter: Waiter[StateReadResult]) -> None:
        """Add a read to the next round."""
        self._next.append(waiter)

    def start_round(self) -> int | None:
        """Start a round for the waiting reads.

        Returns
        -------
        int or None
            Number of the round, or None if one is running or none is needed.
        """
        if self._running or not self._next:
            return None
        self._running = self._next
        self._next = []
        self._round += 1
        return self._round

    def finish_round(self, read_id: int, result: StateReadResult) -> None:
        """Answer the reads of the running round; ignore an older round."""
        if read_id == self._round:
            for waiter in self._running:
                waiter.resolve(result)
            self._running = []

    def fail_all(self, failure: ConsensusFailure) -> None:
        """Answer all reads with a failure."""
        for waiter in self._running + self._next:
            waiter.resolve(Err(failure))
        self._running = []
        self._next = []
