"""Tests of the range of terms and indexes in messages of the log."""

import unittest

import msgspec

from lavendergate.controllers.log_storage.received import problem_with_message
from lavendergate.core.commands import ChangeVoters
from lavendergate.core.consensus.events import Receive, Tick
from lavendergate.core.consensus.log import Log
from lavendergate.core.consensus.machine import initial_state, next_wakeup, step
from lavendergate.core.consensus.membership import bootstrap
from lavendergate.core.consensus.messages import (
    AppendReply,
    AppendRequest,
    Envelope,
    Message,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from lavendergate.core.consensus.payload import NO_OPERATION
from lavendergate.core.consensus.types import (
    ConsensusTerm,
    Entry,
    EntryId,
    HardState,
    NodeId,
    NodeOptions,
    Snapshot,
)
from lavendergate.core.control_state import ControlState, encode_state
from lavendergate.core.types import HostId

_LIMIT = (1 << 53) - 1
_BEYOND = (1 << 53, (1 << 63) - 1)
_VOTERS = ChangeVoters(
    voters=frozenset((HostId('c1'),)),
    learners=frozenset(),
    addresses={HostId('c1'): '127.0.0.1:1'},
    incarnations={HostId('c1'): '1'},
)
_NODE = NodeId(host_id=HostId('c1'), incarnation='1')


def messages(term: int, index: int) -> tuple[Message, ...]:
    """Return messages of each type, with a term and an index."""
    own_term = ConsensusTerm(term)
    last = EntryId(term=own_term, index=index)
    return (
        VoteRequest(term=own_term, last=last, pre_vote=False),
        VoteReply(term=own_term, granted=False, pre_vote=False),
        AppendRequest(
            term=own_term,
            previous=last,
            entries=(),
            commit_index=index,
            read_round=index,
        ),
        AppendReply(
            term=own_term, accepted=True, match_index=index, read_round=index
        ),
        SnapshotRequest(
            term=own_term,
            snapshot=Snapshot(
                last=last, voters=_VOTERS, state=encode_state(ControlState())
            ),
            read_round=index,
        ),
    )


def is_accepted(message: Message) -> bool:
    """Return whether a message passes the decoder and the check."""
    encoded = msgspec.msgpack.encode(message)
    try:
        decoded = msgspec.msgpack.decode(encoded, type=Message)
    except msgspec.ValidationError:
        return False
    return problem_with_message(decoded) is None


class LogPositionTest(unittest.TestCase):
    """Terms and indexes that a peer may send."""

    def test_range(self) -> None:
        """Guards against a term after which no election can be stored."""
        for message in messages(_LIMIT, _LIMIT):
            self.assertTrue(is_accepted(message), message)
        for odd in _BEYOND:
            for message in messages(odd, 1):
                self.assertFalse(is_accepted(message), message)
            for message in messages(1, odd):
                if not isinstance(message, VoteReply):
                    self.assertFalse(is_accepted(message), message)

    def test_entries_are_not_later_than_their_message(self) -> None:
        """Guards against an odd term that only an entry carries."""
        for odd in (3, *_BEYOND):
            later = EntryId(term=ConsensusTerm(odd), index=1)
            entry = Entry(
                index=1, term=ConsensusTerm(odd), payload=NO_OPERATION
            )
            for message in messages(2, 1):
                match message:
                    case VoteRequest():
                        changed: Message = msgspec.structs.replace(
                            message, last=later
                        )
                    case AppendRequest():
                        changed = msgspec.structs.replace(
                            message,
                            previous=EntryId(term=ConsensusTerm(0), index=0),
                            entries=(entry,),
                        )
                    case SnapshotRequest(snapshot=snapshot):
                        changed = msgspec.structs.replace(
                            message,
                            snapshot=msgspec.structs.replace(
                                snapshot, last=later
                            ),
                        )
                    case _:
                        continue
                self.assertFalse(is_accepted(changed), changed)

    def test_state_after_the_largest_term_can_be_stored(self) -> None:
        """Guards against a node that cannot read its state after a vote."""
        state = initial_state(
            identity=_NODE,
            hard_state=HardState(),
            log=Log(),
            snapshot=None,
            options=NodeOptions(),
            jitter=0,
            now=0,
        )
        state, _ = bootstrap(state, _VOTERS, 0)
        largest = max(
            term
            for term in (_LIMIT, *_BEYOND)
            if is_accepted(messages(term, 1)[1])
        )
        envelope = Envelope(
            sender=_NODE,
            recipient=_NODE,
            cluster_id=state.hard_state.cluster_id,
            message=messages(largest, 1)[1],
        )
        state, _ = step(state, Receive(envelope=envelope), 0)
        self.assertEqual(state.term, largest)
        now = next_wakeup(state)
        state, _ = step(state, Tick(jitter=0), now)
        self.assertEqual(state.term, largest + 1)
        stored = msgspec.msgpack.encode((state.hard_state, state.log.entries))
        read = msgspec.msgpack.decode(
            stored, type=tuple[HardState, tuple[Entry, ...]]
        )
        self.assertEqual(read, (state.hard_state, state.log.entries))
