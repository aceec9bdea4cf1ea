"""Events that a node handles and effects that its driver performs.

The driver is the code that passes events to a node and performs the effects.
"""

from dataclasses import dataclass

from lavendergate.core.commands import ChangeVoters
from lavendergate.core.consensus.log import Log
from lavendergate.core.consensus.messages import Envelope
from lavendergate.core.consensus.types import (
    ConsensusTerm,
    Entry,
    HardState,
    NodeId,
    Snapshot,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """The time returned by `next_wakeup` was reached.

    Parameters
    ----------
    jitter
        Random number from 0 to 1 for the next election timeout.
    """

    jitter: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Receive:
    """A message arrived."""

    envelope: Envelope


@dataclass(frozen=True, kw_only=True, slots=True)
class DeliveryFailed:
    """A message was not delivered, or its reply was not received."""

    recipient: NodeId


@dataclass(frozen=True, kw_only=True, slots=True)
class Bootstrap:
    """Writes the first configuration of a cluster."""

    voters: ChangeVoters


@dataclass(frozen=True, kw_only=True, slots=True)
class Propose:
    """Appends a command, if this node is the leader.

    Parameters
    ----------
    proposal_id
        Number by which the driver distinguishes its proposals.
    payload
        Encoded command other than `ChangeVoters`.
    """

    proposal_id: int
    payload: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class ProposeConfiguration:
    """Appends a configuration, if this node is the leader."""

    proposal_id: int
    voters: ChangeVoters


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestRead:
    """Requests the index of the last committed command, or a later one."""

    read_id: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Compact:
    """Replaces entries by a snapshot of the state machine.

    Parameters
    ----------
    index
        Last entry that the snapshot includes; it must be applied.
    state
        Encoded state of the state machine.
    retained
        Number of entries before `index` to keep, so that nodes that lag
        slightly behind do not need the snapshot.
    """

    index: int
    state: bytes
    retained: int


Event = (
    Tick
    | Receive
    | DeliveryFailed
    | Bootstrap
    | Propose
    | ProposeConfiguration
    | RequestRead
    | Compact
)


@dataclass(frozen=True, kw_only=True, slots=True)
class SaveHardState:
    """Save the hard state before any later effect is performed."""

    hard_state: HardState


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendLog:
    """Save entries before any later effect is performed."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class TruncateLog:
    """Remove the saved entries from index `first` to the end."""

    first: int


@dataclass(frozen=True, kw_only=True, slots=True)
class SaveSnapshot:
    """Save a snapshot and replace the saved log.

    Parameters
    ----------
    log
        Entries that are kept in addition to the snapshot.
    """

    snapshot: Snapshot
    log: Log


@dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """Send a message once the changes of earlier effects are synced."""

    envelope: Envelope


@dataclass(frozen=True, kw_only=True, slots=True)
class ApplyEntries:
    """Apply committed entries to the state machine."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ApplySnapshot:
    """Replace the state of the state machine by a snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True, kw_only=True, slots=True)
class ProposalAppended:
    """A proposal is in the log at this index and term."""

    proposal_id: int
    index: int
    term: ConsensusTerm


@dataclass(frozen=True, kw_only=True, slots=True)
class ProposalRefused:
    """A proposal is not in the log.

    Parameters
    ----------
    problem
        Reason and remedy; None if the node is not the leader.
    """

    proposal_id: int
    problem: str | None


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadConfirmed:
    """A majority confirmed the leader after the read was requested."""

    read_id: int
    index: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRefused:
    """The node is not the leader, so the read was not started."""

    read_id: int


PersistEffect = SaveHardState | AppendLog | TruncateLog | SaveSnapshot
Effect = (
    PersistEffect
    | Send
    | ApplyEntries
    | ApplySnapshot
    | ProposalAppended
    | ProposalRefused
    | ReadConfirmed
    | ReadRefused
)
Effects = tuple[Effect, ...]
