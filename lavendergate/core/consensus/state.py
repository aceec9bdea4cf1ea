"""State of a node, and changes that several modules share."""

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
from lavendergate.core.consensus.payload import decode_voters
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
    """Accepts the log of a leader, or waits for one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PreCandidate:
    """Asks whether it would be elected, without beginning a term."""

    granted: frozenset[NodeId]


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """Asks for votes in its term."""

    granted: frozenset[NodeId]


@dataclass(frozen=True, kw_only=True, slots=True)
class Progress:
    """What a leader knows about another node.

    Parameters
    ----------
    match_index
        Index up to which the node has synced the leader's log.
    next_index
        Index of the next entry to send.
    in_flight
        Last index of the message that is not answered yet; 0 if none.
    sent_at
        Time of that message.
    answered_at
        Time of the last reply, or of the election.
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
    """A read that waits for a majority to confirm the leader."""

    read_id: int
    index: int
    read_round: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Leader:
    """Decides the order of entries in its term.

    Parameters
    ----------
    first_index
        Index of the leader's first entry of its own term.
    """

    first_index: int
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
    heard_at
        Time of the last message from the leader.
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
    heard_at: float = float('-inf')

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
    def may_campaign(self) -> bool:
        """Whether the node may ask for votes.

        A node whose removal is not committed may have the only log that is
        new enough to win, so it goes on until the removal is committed. It
        does not count its own vote.
        """
        return any(
            self.identity in configuration.voters
            for configuration in self._undecided_configurations
        )

    @property
    def _undecided_configurations(self) -> tuple[Configuration, ...]:
        decided = sum(
            configuration.index <= self.commit_index
            for configuration in self.configurations
        )
        return self.configurations[max(decided - 1, 0) :]


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
    """Change the hard state."""
    if hard_state == state.hard_state:
        return state, ()
    changed = replace(state, hard_state=hard_state)
    return changed, (SaveHardState(hard_state=hard_state),)


def become_follower(
    state: NodeState, term: ConsensusTerm, leader: NodeId | None, now: float
) -> Transition:
    """Follow a leader, or wait for one, in a term."""
    hard_state = state.hard_state
    if term > state.term:
        hard_state = HardState(term=term, cluster_id=hard_state.cluster_id)
    followed = replace(
        state,
        role=Follower(),
        leader=leader,
        heard_at=state.heard_at if leader is None else now,
        election_at=now + state.election_timeout_s,
    )
    return save_hard_state(followed, hard_state)


def append_entries(state: NodeState, entries: tuple[Entry, ...]) -> Transition:
    """Append entries; configurations among them take effect at once."""
    if not entries:
        return state, ()
    found = tuple(
        configuration_of(entry.index, decode_voters(entry.payload))
        for entry in entries
        if entry.configuration
    )
    appended = replace(
        state,
        log=state.log.append(entries),
        configurations=state.configurations + found,
    )
    return appended, (AppendLog(entries=entries),)


def truncate_entries(state: NodeState, first: int) -> Transition:
    """Remove entries; the configuration before them is in force again."""
    if first > state.log.last.index:
        return state, ()
    kept = tuple(
        earlier for earlier in state.configurations if earlier.index < first
    )
    truncated = replace(
        state, log=state.log.truncate(first), configurations=kept
    )
    return truncated, (TruncateLog(first=first),)
