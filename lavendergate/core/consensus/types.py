"""Value types of the replicated log."""

from dataclasses import dataclass
from typing import Annotated, NewType

import msgspec

from lavendergate.core.bounds.ranges import IN_COUNT, Count
from lavendergate.core.commands import ChangeVoters
from lavendergate.core.types import HostId

ConsensusTerm = NewType('ConsensusTerm', int)

NO_CONSENSUS_TERM = ConsensusTerm(0)
FIRST_CONSENSUS_TERM = ConsensusTerm(1)

_ELECTION_TIMEOUT_S = 0.3
_HEARTBEAT_INTERVAL_S = 0.1
_ENTRIES_PER_MESSAGE = 256


class NodeId(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, order=True
):
    """Identity of a node of the replicated log.

    Parameters
    ----------
    host_id
        Host that the node runs on.
    incarnation
        Random identity created together with the data directory. A host
        that lost its disk is another node, because it no longer knows which
        votes it granted.
    """

    host_id: HostId
    incarnation: str


class EntryId(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, order=True
):
    """Term and index of an entry, ordered by term and then by index.

    Two logs that contain the same `EntryId` are identical up to that entry.
    """

    term: Annotated[ConsensusTerm, IN_COUNT]
    index: Count


LOG_ORIGIN = EntryId(term=NO_CONSENSUS_TERM, index=0)


class Entry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Entry of the replicated log.

    Parameters
    ----------
    index
        Position in the log, from 1.
    term
        Term of the leader that created the entry.
    payload
        Encoded `Command`.
    is_configuration
        Whether the payload is a `ChangeVoters`. It takes effect when the
        entry is appended, not when it is committed.
    """

    index: Count
    term: Annotated[ConsensusTerm, IN_COUNT]
    payload: bytes
    is_configuration: bool = False

    @property
    def entry_id(self) -> EntryId:
        """Term and index of the entry."""
        return EntryId(term=self.term, index=self.index)


class HardState(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State that a node syncs to disk before it answers a message.

    Parameters
    ----------
    term
        Highest term that the node has seen.
    voted_for
        Candidate that got the node's vote in this term.
    cluster_id
        Digest of the first configuration; empty before initialisation.
        Messages of another cluster are dropped, so that clusters that were
        initialised separately by mistake do not mix.
    """

    term: Annotated[ConsensusTerm, IN_COUNT] = NO_CONSENSUS_TERM
    voted_for: NodeId | None = None
    cluster_id: str = ''


class Snapshot(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State of the state machine after `last`; replaces entries up to it.

    Parameters
    ----------
    last
        Last entry that the snapshot includes.
    voters
        Configuration in force at that entry.
    state
        Encoded state of the state machine.
    """

    last: EntryId
    voters: ChangeVoters
    state: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """Voters and learners of the replicated log.

    Parameters
    ----------
    index
        Index of the entry that set the configuration.
    command
        The command in that entry.
    voters
        Nodes that vote and count for majorities.
    learners
        Nodes that receive the log but neither vote nor count for majorities.
    """

    index: int
    command: ChangeVoters
    voters: frozenset[NodeId]
    learners: frozenset[NodeId]

    @property
    def nodes(self) -> frozenset[NodeId]:
        """All nodes that receive the log."""
        return self.voters | self.learners

    @property
    def majority(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def has_majority(self, nodes: frozenset[NodeId]) -> bool:
        """Return whether the voters among the nodes form a majority."""
        return len(self.voters & nodes) >= self.majority

    def address(self, node: NodeId) -> str:
        """Return the address of a node, ``ip:port``."""
        return self.command.addresses.get(node.host_id, '')


def configuration_of(index: int, command: ChangeVoters) -> Configuration:
    """Return the configuration that a command sets.

    Parameters
    ----------
    index
        Index of the command's entry.
    command
        The command, with an incarnation for each host.
    """
    return Configuration(
        index=index,
        command=command,
        voters=_node_ids(command, command.voters),
        learners=_node_ids(command, command.learners),
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeOptions:
    """Timeouts and limits of a node.

    Parameters
    ----------
    election_timeout_s
        Minimum time without contact to the leader before an election, in
        seconds; the maximum is twice as long.
    heartbeat_interval_s
        Time between the heartbeats of a leader, in seconds.
    entries_per_message
        Maximum number of entries in one message.
    first_election_timeout_s
        Minimum time, in seconds, before an election on a node that has had
        no contact to a leader since its start; None for
        `election_timeout_s`. Nodes that follow a leader refuse their vote in
        such an election, so it does not replace a working leader.
    """

    election_timeout_s: float = _ELECTION_TIMEOUT_S
    heartbeat_interval_s: float = _HEARTBEAT_INTERVAL_S
    entries_per_message: int = _ENTRIES_PER_MESSAGE
    first_election_timeout_s: float | None = None

    def randomized_timeout_s(
        self, jitter: float, *, had_leader_contact: bool = True
    ) -> float:
        """Return a random election timeout, in seconds.

        Parameters
        ----------
        jitter
            Random number from 0 to 1.
        had_leader_contact
            Whether the node had contact to a leader since its start.
        """
        minimum_s = self.election_timeout_s
        if not had_leader_contact and self.first_election_timeout_s is not None:
            minimum_s = self.first_election_timeout_s
        return minimum_s * (1 + jitter)


def _node_ids(
    command: ChangeVoters, host_ids: frozenset[HostId]
) -> frozenset[NodeId]:
    return frozenset(
        NodeId(
            host_id=host_id,
            incarnation=command.incarnations.get(host_id, ''),
        )
        for host_id in host_ids
    )
