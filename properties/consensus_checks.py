"""Properties of the replicated log, checked after every event."""

from collections.abc import Iterable

from lavendergate.core.consensus.state import Leader, NodeState
from lavendergate.core.consensus.types import (
    Configuration,
    ConsensusTerm,
    Entry,
    EntryId,
    NodeId,
)


class ViolationError(Exception):
    """A property does not hold."""


class Checks:
    """Safety properties over the states of all nodes observed so far."""

    def __init__(self) -> None:
        self.committed: dict[int, Entry] = {}
        self.acknowledged: dict[int, Entry] = {}
        self.configurations: dict[int, Configuration] = {}
        self._leaders: dict[ConsensusTerm, NodeId] = {}
        self._entry_links: dict[EntryId, tuple[bytes, EntryId]] = {}

    @property
    def last_committed(self) -> int:
        """Index of the last entry that any node applied."""
        return max(self.committed, default=0)

    def observe(self, before: NodeState | None, after: NodeState) -> None:
        """Check a node after an event."""
        if before is None or before.log is not after.log:
            self._check_log_matching(after)
        if isinstance(after.role, Leader):
            self._check_election_safety(after)
            if before is None or not isinstance(before.role, Leader):
                self._check_leader_completeness(after)

    def observe_applied(self, node: NodeId, entries: Iterable[Entry]) -> None:
        """Check that all nodes apply the same entry at an index."""
        for entry in entries:
            known = self.committed.setdefault(entry.index, entry)
            if known != entry:
                raise ViolationError(
                    f'state machine safety: {node} applies {entry}, another '
                    f'node applied {known}'
                )

    def observe_read(self, index: int, committed_before: int) -> None:
        """Check that a read covers all entries committed before the request."""
        if index < committed_before:
            raise ViolationError(
                f'stale read at {index}, although {committed_before} was '
                'committed before the request'
            )

    def check_survival(self, applied: list[Entry]) -> None:
        """Check that the applied entries include every acknowledged one."""
        for index, entry in self.acknowledged.items():
            if index > len(applied) or applied[index - 1] != entry:
                raise ViolationError(f'acknowledged entry {index} is lost')

    def _check_election_safety(self, node: NodeState) -> None:
        known = self._leaders.setdefault(node.term, node.identity)
        if known != node.identity:
            raise ViolationError(
                f'election safety: {known} and {node.identity} lead term '
                f'{node.term}'
            )

    def _check_log_matching(self, node: NodeState) -> None:
        previous = node.log.base
        for entry in node.log.entries:
            link = (entry.payload, previous)
            if previous.index != entry.index - 1:
                raise ViolationError(f'gap in the log before {entry.index}')
            if self._entry_links.setdefault(entry.entry_id, link) != link:
                raise ViolationError(
                    f'log matching: {node.identity} has another entry '
                    f'{entry.index} or predecessor in term {entry.term}'
                )
            previous = entry.entry_id
        for configuration in node.configurations:
            self.configurations[configuration.index] = configuration

    def _check_leader_completeness(self, node: NodeState) -> None:
        for index, entry in self.committed.items():
            if not node.log.contains(entry.entry_id):
                raise ViolationError(
                    f'leader completeness: {node.identity} leads term '
                    f'{node.term} without committed entry {index}'
                )
