"""Tests of messages of the log that a host cannot read to their end."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

import anyio
import looptime
import msgspec

from lavendergate.controllers.control_node import ControlNode
from lavendergate.controllers.log_storage.received import ReceivedMessages
from lavendergate.core.bounds.ranges import MAX_LOG_POSITION
from lavendergate.core.commands import ChangeVoters
from lavendergate.core.consensus.messages import (
    AppendReply,
    AppendRequest,
    Envelope,
    Message,
    SnapshotRequest,
)
from lavendergate.core.consensus.payload import NO_OPERATION
from lavendergate.core.consensus.types import (
    ConsensusTerm,
    Entry,
    EntryId,
    NodeId,
    Snapshot,
)
from lavendergate.core.types import HostId
from lavendergate.rpc.consensus_service import ExchangeRequest
from lavendergate.tests.control.cluster_fixture import Cluster
from lavendergate.tests.control.test_refusing_disk import routes, version_of

_TERM = ConsensusTerm(1000)
_UNREADABLE = msgspec.msgpack.encode({'type': 'NewerCommand', 'x': 1})
_VOTERS = ChangeVoters(
    voters=frozenset((HostId('c1'),)), learners=frozenset(), addresses={}
)


def append(previous: EntryId, *entries: Entry) -> AppendRequest:
    """Return a request of a leader in a later term."""
    return AppendRequest(
        term=_TERM,
        previous=previous,
        entries=entries,
        commit_index=previous.index + len(entries),
        read_round=0,
    )


def entry(
    index: int, payload: bytes, *, is_configuration: bool = False
) -> Entry:
    """Return an entry of the later term."""
    return Entry(
        index=index,
        term=_TERM,
        payload=payload,
        is_configuration=is_configuration,
    )


def unreadable_messages(last: EntryId) -> tuple[Message, ...]:
    """Return messages to a host whose log ends with an entry."""
    after = last.index + 1
    return (
        append(last, entry(after, _UNREADABLE, is_configuration=True)),
        append(last, entry(after, NO_OPERATION, is_configuration=True)),
        append(last, entry(after, _UNREADABLE)),
        append(last, entry(after, NO_OPERATION), entry(after + 1, b'')),
        append(last, entry(after + 1, NO_OPERATION)),
        append(last, entry(after, NO_OPERATION), entry(after, NO_OPERATION)),
        SnapshotRequest(
            term=_TERM,
            snapshot=Snapshot(
                last=EntryId(term=_TERM, index=after + 100),
                voters=_VOTERS,
                state=_UNREADABLE,
            ),
            read_round=0,
        ),
    )


class UnreadableMessageTest(unittest.TestCase):
    """Messages to one host of a cluster that serves."""

    def run_cluster(
        self, scenario: Callable[[Cluster], Awaitable[None]]
    ) -> None:
        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                cluster = Cluster(tasks, storage_retry_s=1)
                for host_id in ('c1', 'c2', 'c3'):
                    await cluster.start(host_id)
                await cluster.initialise('c1', 'c2', 'c3')
                with anyio.fail_after(120):
                    await scenario(cluster)
                tasks.cancel_scope.cancel()

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(main())

    def test_refused_before_anything_is_persisted(self) -> None:
        """Guards against a message that ends a host, or stops it for good."""

        async def scenario(cluster: Cluster) -> None:
            leader = await cluster.leader()
            self.assertTrue((await leader.propose(routes(1))).is_ok())
            await anyio.sleep(1)
            follower = next(
                node for node in cluster.nodes.values() if node is not leader
            )
            before = follower._driver.node
            for message in unreadable_messages(before.log.last):
                request = ExchangeRequest(
                    envelope=self.envelope(leader, follower, message)
                )
                with self.assertLogs() as logged:
                    reply = await follower.exchange(request)
                    await anyio.sleep(11)
                self.assertIsNone(reply.envelope)
                self.assertIn(
                    leader.view.identity.host_id, logged.records[0].getMessage()
                )
            stored = cluster.storage_of(follower).load()
            self.assertEqual(stored.hard_state, before.hard_state)
            self.assertEqual(stored.log, before.log)
            self.assertTrue((await leader.propose(routes(2))).is_ok())
            await anyio.sleep(1)
            self.assertEqual(version_of(follower), 2)

        self.run_cluster(scenario)

    def test_reply_that_cannot_be_read_is_refused(self) -> None:
        """Guards against an odd reply that ends the host which asked."""

        async def scenario(cluster: Cluster) -> None:
            leader = await cluster.leader()
            self.assertTrue((await leader.propose(routes(1))).is_ok())
            odd = next(
                node for node in cluster.nodes.values() if node is not leader
            )
            last = leader._driver.node.log.last
            message = unreadable_messages(last)[0]

            async def answer(_: Envelope) -> Envelope:
                return self.envelope(odd, leader, message)

            cluster.network.handlers[odd.view.identity.host_id] = answer
            with self.assertLogs():
                self.assertTrue((await leader.propose(routes(2))).is_ok())
            await anyio.sleep(5)
            self.assertTrue((await leader.propose(routes(3))).is_ok())

        self.run_cluster(scenario)

    def test_repeated_message_is_logged_once_in_ten_seconds(self) -> None:
        """Guards against a line for each message of a sender that repeats."""

        async def scenario(cluster: Cluster) -> None:
            leader = await cluster.leader()
            follower = next(
                node for node in cluster.nodes.values() if node is not leader
            )
            message = unreadable_messages(follower._driver.node.log.last)[0]
            envelope = self.envelope(leader, follower, message)
            with self.assertLogs() as logged:
                for _ in range(20):
                    await follower.exchange(ExchangeRequest(envelope=envelope))
            self.assertEqual(len(logged.records), 1)
            self.assertEqual(follower._driver._received.refused, 20)

        self.run_cluster(scenario)

    def test_message_that_contradicts_the_log_ends_no_host(self) -> None:
        """Guards against a host that one message of another writer ends."""

        async def scenario(cluster: Cluster) -> None:
            leader = await cluster.leader()
            self.assertTrue((await leader.propose(routes(1))).is_ok())
            await anyio.sleep(1)
            follower = next(
                node for node in cluster.nodes.values() if node is not leader
            )
            node = follower._driver.node
            committed = node.commit_index
            other_entry = append(
                EntryId(index=committed - 1, term=node.log.last.term),
                entry(committed, NO_OPERATION),
            )
            second_leader = msgspec.structs.replace(
                append(node.log.last), term=node.term
            )
            for recipient, message in (
                (follower, other_entry),
                (leader, second_leader),
            ):
                request = ExchangeRequest(
                    envelope=self.envelope(follower, recipient, message)
                )
                with self.assertLogs() as logged:
                    reply = await recipient.exchange(request)
                    await anyio.sleep(11)
                self.assertIsNone(reply.envelope)
                self.assertIn('was refused', logged.records[0].getMessage())
            self.assertTrue((await leader.propose(routes(2))).is_ok())
            await anyio.sleep(1)
            self.assertEqual(version_of(follower), 2)

        self.run_cluster(scenario)

    def test_last_term_leaves_a_term_for_the_next_election(self) -> None:
        """Guards against one message after which nobody is elected."""

        async def scenario(cluster: Cluster) -> None:
            leader = await cluster.leader()
            self.assertTrue((await leader.propose(routes(1))).is_ok())
            for node in tuple(cluster.nodes.values()):
                message = msgspec.structs.replace(
                    append(node._driver.node.log.last),
                    term=ConsensusTerm(MAX_LOG_POSITION),
                )
                request = ExchangeRequest(
                    envelope=self.envelope(leader, node, message)
                )
                with self.assertLogs():
                    await node.exchange(request)
            await cluster.stop(leader.view.identity.host_id)
            await anyio.sleep(10)
            with anyio.fail_after(10):
                successor = await cluster.leader()
            # A message with a higher term cannot be decoded.
            term = successor._driver.node.term
            self.assertLessEqual(term, MAX_LOG_POSITION)
            self.assertTrue((await successor.propose(routes(2))).is_ok())

        self.run_cluster(scenario)

    def test_reply_beyond_the_log_confirms_nothing(self) -> None:
        """Guards against a node that is sent no entries any more."""

        async def scenario(cluster: Cluster) -> None:
            leader = await cluster.leader()
            self.assertTrue((await leader.propose(routes(1))).is_ok())
            await anyio.sleep(1)
            odd = next(
                node for node in cluster.nodes.values() if node is not leader
            )
            message = AppendReply(
                term=leader._driver.node.term,
                accepted=True,
                match_index=MAX_LOG_POSITION,
                read_round=0,
            )
            request = ExchangeRequest(
                envelope=self.envelope(odd, leader, message)
            )
            with self.assertLogs():
                await leader.exchange(request)
            self.assertTrue((await leader.propose(routes(2))).is_ok())
            await anyio.sleep(1)
            self.assertEqual(version_of(odd), 2)

        self.run_cluster(scenario)

    def test_long_name_of_a_sender_is_shortened_in_the_log(self) -> None:
        """Guards against a name that hides the reason, or breaks the line."""
        last = EntryId(term=ConsensusTerm(1), index=1)
        name = HostId('x\n' * 10_000)
        odd = Envelope(
            sender=NodeId(host_id=name, incarnation='1'),
            recipient=NodeId(host_id=HostId('c1'), incarnation='1'),
            cluster_id='',
            message=unreadable_messages(last)[4],
        )
        received = ReceivedMessages(clock=lambda: 0)
        with self.assertLogs() as logged:
            self.assertFalse(received.is_valid(odd))
        line = logged.records[0].getMessage()
        self.assertLess(len(line), 500)
        self.assertNotIn('\n', line)
        self.assertIn('entry 3 is in the place of entry 2', line)

    def envelope(
        self, sender: ControlNode, recipient: ControlNode, message: Message
    ) -> Envelope:
        """Return a message between two nodes of the cluster."""
        return Envelope(
            sender=sender.view.identity,
            recipient=recipient.view.identity,
            cluster_id=recipient._driver.node.hard_state.cluster_id,
            message=message,
        )
