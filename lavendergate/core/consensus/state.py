"""State of a node and transitions that several modules share."""

from dataclasses import dataclass, field, replace

from lavendergate.core.consensus.events import (
    AppendLog,
    Effects,
    SaveHardState,
    Send,
    TruncateLog,
)
from lavendergate.core.consensus.log import Log
from lavendergate.core.consensus.messages import Envelope, Message
from lavendergate.core.consensus.payload import decode_configuration
from lavendergate.core.consensus.types import (
    Configuration,
    ConsensusTerm,
    Entry,
    HardState,
    NodeId,
    NodeOptions,
    Snapshot,
    configuration_of,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Follower:
    """Replicates the leader's log, or waits until a leader is known."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PreCandidate:
    """Asks whether it would be elected, without beginning a new term.

    Parameters
    ----------
    granted
        Nodes that would vote for this one, including itself.
    """

    granted: frozenset[NodeId]


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """Requests votes in its term.

    Parameters
    ----------
    granted
        Nodes that voted for this one, including itself.
    """

    granted: frozenset[NodeId]


@dataclass(frozen=True, kw_only=True, slots=True)
class Progress:
    """Replication progress of another node, as known to the leader.

    Parameters
    ----------
    match_index
        Index up to which the node has synced the leader's entries.
    next_index
        Index of the next entry to send.
    in_flight
        Last log index in the unanswered message; 0 if there is none.
    sent_at
        Monotonic time at which that message was sent, in seconds.
    answered_at
        Monotonic time of the last reply, in seconds; before the first one,
        the time at which the leader began to replicate to the node.
    read_round
        Last read round that the node confirmed.
    """

    next_index: int
    answered_at: float
    match_index: int = 0
    in_flight: int = 0
    sent_at: float = 0
    read_round: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class PendingRead:
    """A read that waits for a majority to confirm the leader.

    Parameters
    ----------
    index
        Log index that must be committed before the read is confirmed.
    read_round
        Round that a majority must answer first.
    """

    read_id: int
    index: int
    read_round: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Leader:
    """Determines the order of entries in its term.

    Parameters
    ----------
    first_index
        Index of the leader's first entry in its own term.
    previous_term
        Term of the entry before it. Every leader that committed its first
        entry before led that term or an earlier one.
    heartbeat_at
        Monotonic time of the next heartbeat, in seconds.
    progress
        Replication progress of each other voter and learner.
    read_round
        Number of the last read round that began.
    reads
        Reads that are not confirmed yet.
    """

    first_index: int
    previous_term: ConsensusTerm
    heartbeat_at: float
    progress: dict[NodeId, Progress]
    read_round: int = 0
    reads: tuple[PendingRead, ...] = ()


Role = Follower | PreCandidate | Candidate | Leader


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeState:
    """State of a node of the replicated log.

    Parameters
    ----------
    configurations
        Configuration at the snapshot and those in later entries, oldest
        first; the last one is in force.
    leader
        Leader of the term, if known.
    leader_contact_at
        Monotonic time of the last message from a leader, in seconds;
        minus infinity before the first one.
    election_timeout_s
        Current randomized election timeout, in seconds.
    election_at
        Monotonic time at which a node that is not the leader starts a
        pre-vote, in seconds.
    """

    identity: NodeId
    hard_state: HardState
    log: Log
    options: NodeOptions
    election_timeout_s: float
    election_at: float
    snapshot: Snapshot | None = None
    commit_index: int = 0
    configurations: tuple[Configuration, ...] = ()
    role: Role = field(default_factory=Follower)
    leader: NodeId | None = None
    leader_contact_at: float = float('-inf')

    @property
    def term(self) -> ConsensusTerm:
        """Highest term that the node has seen."""
        return self.hard_state.term

    @property
    def configuration(self) -> Configuration | None:
        """Configuration in force; None before initialisation."""
        return self.configurations[-1] if self.configurations else None

    @property
    def is_voter(self) -> bool:
        """Whether the configuration in force names the node as a voter."""
        current = self.configuration
        return current is not None and self.identity in current.voters

    @property
    def may_request_votes(self) -> bool:
        """Whether the node may ask for votes.

        A node whose removal is not committed may have the only log that is
        up to date enough to win, so it may request votes until the removal is
        committed. Its own vote does not count.
        """
        return any(
            self.identity in configuration.voters
            for configuration in self._committed_and_pending_configurations
        )

    @property
    def _committed_and_pending_configurations(
        self,
    ) -> tuple[Configuration, ...]:
        committed_count = sum(
            configuration.index <= self.commit_index
            for configuration in self.configurations
        )
        return self.configurations[max(committed_count - 1, 0) :]


Transition = tuple[NodeState, Effects]


def other_voters(state: NodeState) -> tuple[NodeId, ...]:
    """Return the other voters, in a fixed order."""
    current = state.configuration
    if current is None:
        return ()
    return tuple(sorted(current.voters - {state.identity}))


def send(state: NodeState, recipient: NodeId, message: Message) -> Send:
    """Return the effect that sends a message."""
    return Send(
        envelope=Envelope(
            sender=state.identity,
            recipient=recipient,
            cluster_id=state.hard_state.cluster_id,
            message=message,
        )
    )


def save_hard_state(state: NodeState, hard_state: HardState) -> Transition:
    """Set the hard state and save it if it changed."""
    if hard_state == state.hard_state:
        return state, ()
    changed = replace(state, hard_state=hard_state)
    return changed, (SaveHardState(hard_state=hard_state),)


def become_follower(
    state: NodeState, term: ConsensusTerm, leader: NodeId | None, now: float
) -> Transition:
    """Become a follower in a term, with or without a known leader."""
    hard_state = state.hard_state
    if term > state.term:
        hard_state = HardState(term=term, cluster_id=hard_state.cluster_id)
    followed = replace(
        state,
        role=Follower(),
        leader=leader,
        leader_contact_at=state.leader_contact_at if leader is None else now,
        election_at=now + state.election_timeout_s,
    )
    return save_hard_state(followed, hard_state)


def append_entries(state: NodeState, entries: tuple[Entry, ...]) -> Transition:
    """Append entries; configurations among them are in force immediately."""
    if not entries:
        return state, ()
    appended_configurations = tuple(
        configuration_of(entry.index, decode_configuration(entry.payload))
        for entry in entries
        if entry.is_configuration
    )
    appended = replace(
        state,
        log=state.log.append(entries),
        configurations=state.configurations + appended_configurations,
    )
    return appended, (AppendLog(entries=entries),)


def truncate_entries(state: NodeState, first: int) -> Transition:
    """Remove the entries from index `first` on.

    The last configuration before them is in force again.
    """
    if first > state.log.last.index:
        return state, ()
    kept = tuple(
        earlier for earlier in state.configurations if earlier.index < first
    )
    truncated = replace(
        state, log=state.log.truncate(first), configurations=kept
    )
    return truncated, (TruncateLog(first=first),)
