"""Messages between nodes of the replicated log."""

from typing import Annotated

import msgspec

from lavendergate.core.bounds.ranges import IN_LOG_POSITION, LogPosition
from lavendergate.core.consensus.types import (
    ConsensusTerm,
    Entry,
    EntryId,
    NodeId,
    Snapshot,
)


class _Message(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Base of all messages.

    Parameters
    ----------
    term
        Term of the sender; in a pre-vote, the term that it would begin. No
        entry in the message has a later one.
    """

    term: Annotated[ConsensusTerm, IN_LOG_POSITION]

    @property
    def entry_ids(self) -> tuple[EntryId, ...]:
        """Entries that the message names or holds; by default none."""
        return ()


class VoteRequest(_Message, frozen=True, kw_only=True, tag=True):
    """Requests a vote or, in a pre-vote, asks whether it would be granted.

    Parameters
    ----------
    last
        Last entry of the candidate's log.
    pre_vote
        Whether the candidate has not begun the term and only asks whether
        it would be elected.
    """

    last: EntryId
    pre_vote: bool

    @property
    def entry_ids(self) -> tuple[EntryId, ...]:
        """Entries that the message names or holds."""
        return (self.last,)


class VoteReply(_Message, frozen=True, kw_only=True, tag=True):
    """Answer to `VoteRequest`."""

    granted: bool
    pre_vote: bool


class AppendRequest(_Message, frozen=True, kw_only=True, tag=True):
    """Entries from the leader; without entries, its heartbeat.

    Parameters
    ----------
    previous
        Entry before the first one sent.
    commit_index
        Index up to which entries are committed.
    read_round
        Number of the last read round: heartbeats by which a majority confirms
        the leader for pending reads. Echoed in the reply.
    """

    previous: EntryId
    entries: tuple[Entry, ...]
    commit_index: LogPosition
    read_round: LogPosition

    @property
    def entry_ids(self) -> tuple[EntryId, ...]:
        """Entries that the message names or holds."""
        held = (entry.entry_id for entry in self.entries)
        return (self.previous, *held)


class SnapshotRequest(_Message, frozen=True, kw_only=True, tag=True):
    """Snapshot for a node that needs entries the leader has compacted."""

    snapshot: Snapshot
    read_round: LogPosition

    @property
    def entry_ids(self) -> tuple[EntryId, ...]:
        """Entries that the message names or holds."""
        return (self.snapshot.last,)


class AppendReply(_Message, frozen=True, kw_only=True, tag=True):
    """Answer to `AppendRequest` and `SnapshotRequest`.

    Parameters
    ----------
    accepted
        False if the term of the request is outdated, or if the replying node
        lacks the entry before those sent.
    match_index
        Index up to which the replying node's log matches the leader's; if not
        accepted, an index up to which they may match, from which the leader
        tries next.
    """

    accepted: bool
    match_index: LogPosition
    read_round: LogPosition


Message = (
    VoteRequest | VoteReply | AppendRequest | SnapshotRequest | AppendReply
)


class Envelope(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A message with its sender and recipient.

    Parameters
    ----------
    recipient
        Node that the message is addressed to. A host that lost its disk is
        another node and drops the message.
    cluster_id
        Identity of the sender's cluster.
    """

    sender: NodeId
    recipient: NodeId
    cluster_id: str
    message: Message
