"""Tests of the consensus protocol and of its gRPC transport."""

import unittest
from dataclasses import replace

from grpclib.server import Server

from lavendergate.core.commands import ChangeVoters
from lavendergate.core.consensus import events
from lavendergate.core.consensus.log import Log
from lavendergate.core.consensus.machine import initial_state, step
from lavendergate.core.consensus.messages import (
    AppendReply,
    Envelope,
    VoteReply,
    VoteRequest,
)
from lavendergate.core.consensus.state import (
    Follower,
    Leader,
    NodeState,
    PreCandidate,
)
from lavendergate.core.consensus.types import (
    LOG_ORIGIN,
    ConsensusTerm,
    HardState,
    NodeId,
    NodeOptions,
)
from lavendergate.core.types import HostId
from lavendergate.rpc.codec import MessagePackCodec
from lavendergate.rpc.consensus_service import (
    EXCHANGE,
    ExchangeReply,
    ExchangeRequest,
)
from lavendergate.rpc.service import UnaryService
from lavendergate.rpc.transport import GrpcTransport, TransportError


def _node(name: str) -> NodeId:
    return NodeId(host_id=HostId(name), incarnation='1')


def _voters(*names: str, learners: tuple[str, ...] = ()) -> ChangeVoters:
    hosts = [HostId(name) for name in (*names, *learners)]
    return ChangeVoters(
        voters=frozenset(hosts[: len(names)]),
        learners=frozenset(hosts[len(names) :]),
        addresses=dict.fromkeys(hosts, '127.0.0.1:1'),
        incarnations=dict.fromkeys(hosts, '1'),
    )


def _bootstrapped(*names: str) -> NodeState:
    state = initial_state(
        identity=_node(names[0]),
        hard_state=HardState(),
        log=Log(),
        snapshot=None,
        options=NodeOptions(),
        jitter=0,
        now=0,
    )
    state, _ = step(state, events.Bootstrap(voters=_voters(*names)), 0)
    return state


def _message_from(
    state: NodeState, name: str, message: object
) -> events.Receive:
    return events.Receive(
        envelope=Envelope(
            sender=_node(name),
            recipient=state.identity,
            cluster_id=state.hard_state.cluster_id,
            message=message,  # type: ignore[arg-type]
        )
    )


def _elected_leader() -> NodeState:
    """Return a leader of three nodes whose first entry is uncommitted."""
    state, _ = step(_bootstrapped('a', 'b', 'c'), events.Tick(jitter=0), 1)
    for pre_vote in (True, False):
        vote = VoteReply(term=ConsensusTerm(2), granted=True, pre_vote=pre_vote)
        state, _ = step(state, _message_from(state, 'b', vote), 1)
    return state


def _after_accepted_entries(
    state: NodeState, name: str, now: float
) -> NodeState:
    reply = AppendReply(
        term=state.term,
        accepted=True,
        match_index=state.log.last.index,
        read_round=0,
    )
    state, _ = step(state, _message_from(state, name, reply), now)
    return state


class ElectionTest(unittest.TestCase):
    """Which node may become or stay the leader."""

    def test_pre_vote_keeps_the_term(self) -> None:
        """Guards against a partitioned node that deposes a working leader."""
        state = _bootstrapped('a', 'b', 'c')
        for second in range(1, 9):
            state, _ = step(state, events.Tick(jitter=0), second)
        self.assertIsInstance(state.role, PreCandidate)
        self.assertEqual(state.term, 1)

    def test_vote_is_refused_while_the_leader_is_heard(self) -> None:
        """Guards against a removed node that deposes a working leader."""
        state = replace(
            _bootstrapped('a', 'b', 'c'),
            leader=_node('b'),
            leader_contact_at=1.0,
        )
        request = VoteRequest(
            term=ConsensusTerm(9), last=state.log.last, pre_vote=False
        )
        for now, term in ((1.2, 1), (1.4, 9)):
            voted, _ = step(state, _message_from(state, 'c', request), now)
            self.assertEqual(voted.term, term)

    def test_leader_without_majority_steps_down(self) -> None:
        """Guards against a partitioned leader that still accepts commands."""
        leading = _after_accepted_entries(_elected_leader(), 'b', 1.05)
        kept, _ = step(leading, events.Tick(jitter=0), 1.3)
        self.assertIsInstance(kept.role, Leader)
        deposed, _ = step(leading, events.Tick(jitter=0), 1.4)
        self.assertIsInstance(deposed.role, Follower)

    def test_message_for_a_former_incarnation_is_dropped(self) -> None:
        """Guards against a vote by a host that lost its disk."""
        state = _bootstrapped('a', 'b', 'c')
        request = VoteRequest(
            term=ConsensusTerm(2), last=LOG_ORIGIN, pre_vote=False
        )
        received = _message_from(state, 'b', request)
        reinitialised = replace(
            state, identity=NodeId(host_id=HostId('a'), incarnation='2')
        )
        self.assertEqual(step(reinitialised, received, 1), (reinitialised, ()))


class MembershipTest(unittest.TestCase):
    """When a configuration may change."""

    def problem(self, state: NodeState, voters: ChangeVoters) -> str | None:
        proposed = events.ProposeConfiguration(proposal_id=1, voters=voters)
        _, effects = step(state, proposed, 1)
        for effect in effects:
            if isinstance(effect, events.ProposalRefused):
                return effect.problem
        return None

    def test_changes_that_could_split_the_majority_are_refused(self) -> None:
        """Guards against two configurations with separate majorities."""
        leading = _elected_leader()
        smaller = _voters('a', 'b')
        self.assertIn('term yet', str(self.problem(leading, smaller)))
        ready = _after_accepted_entries(leading, 'b', 1)
        self.assertIsNone(self.problem(ready, smaller))
        self.assertIn('one voter', str(self.problem(ready, _voters('a'))))
        not_a_learner = self.problem(ready, _voters('a', 'b', 'c', 'd'))
        self.assertIn('learners first', str(not_a_learner))
        proposed = events.ProposeConfiguration(proposal_id=1, voters=smaller)
        changing, _ = step(ready, proposed, 1)
        self.assertIn('not committed', str(self.problem(changing, smaller)))

    def test_learner_does_not_count(self) -> None:
        """Guards against a commit that only a learner has confirmed."""
        ready = _after_accepted_entries(_elected_leader(), 'b', 1)
        voters = _voters('a', 'b', 'c', learners=('d',))
        proposed = events.ProposeConfiguration(proposal_id=1, voters=voters)
        state, _ = step(ready, proposed, 1)
        committed = _after_accepted_entries(state, 'd', 1).commit_index
        self.assertEqual(committed, ready.commit_index)
        self.assertGreater(
            _after_accepted_entries(state, 'c', 1).commit_index, committed
        )


class GrpcTransportTest(unittest.IsolatedAsyncioTestCase):
    """Consensus messages over a gRPC connection."""

    async def test_message_and_answer_arrive_unchanged(self) -> None:
        """Guards against messages that the codec changes."""
        sent = Envelope(
            sender=_node('a'),
            recipient=_node('b'),
            cluster_id='id',
            message=VoteRequest(
                term=ConsensusTerm(1), last=LOG_ORIGIN, pre_vote=True
            ),
        )

        async def answer(request: ExchangeRequest) -> ExchangeReply:
            return ExchangeReply(envelope=request.envelope)

        service = UnaryService(implementations={EXCHANGE: answer})
        server = Server([service], codec=MessagePackCodec())
        await server.start('127.0.0.1', 0)
        assert server._server is not None
        port = server._server.sockets[0].getsockname()[1]
        transport = GrpcTransport()
        address = f'127.0.0.1:{port}'
        received = await transport.exchange(address, sent, timeout_s=5)
        self.assertEqual(received, sent)
        server.close()
        await server.wait_closed()
        transport.close()
        with self.assertRaises(TransportError):
            await transport.exchange(address, sent, timeout_s=5)
