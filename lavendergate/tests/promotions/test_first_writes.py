"""Tests of the first writes to a promoted member, on the statement path."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
import trio
from trio.testing import MockClock

from lavendergate.core.sessions.statements import (
    AccessKind,
    Begin,
    CallerStatement,
    Commit,
    Completed,
    Execute,
    Phase,
    Prepare,
    Read,
    RefusalCode,
    Refused,
    SessionAnswer,
    Shape,
    Write,
)
from lavendergate.core.types import LogPosition, Term
from lavendergate.filters.sessions.base import CallerSession
from lavendergate.observability.session_events import SessionEvent
from lavendergate.rpc.fleet_service import PrimaryNotice
from lavendergate.tests.relay_fixture import RelayFixture
from lavendergate.tests.relay_fixture import play as play_relays
from lavendergate.tests.session_fixture import PRIMARY, SessionFixture
from standin.session_group import LogEntry, Member, SessionGroup

_FOLLOWED_S = 0.1
_BOUND_S = 0.3

Scenario = Callable[[SessionFixture], Awaitable[None]]


def play(scenario: Scenario, *, synchronous_replicas: int = 1) -> None:
    """Run a scenario in which `b` was promoted and nothing follows it yet."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            proxy = SessionFixture(tasks=tasks, proxies=3)
            proxy.synchronous_replicas = synchronous_replicas
            proxy.publish(2)
            await anyio.sleep(10)
            promote(proxy)
            await scenario(proxy)
            tasks.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


def promote(proxy: SessionFixture) -> None:
    """Promote `b`; the other members stay in the former term."""
    proxy.group.promote('b')
    for name in ('a', 'c'):
        proxy.group.member(name).term = Term(1)
    proxy.notice('b', 2)


async def follow_later(proxy: SessionFixture, name: str = 'c') -> None:
    """Let a replica follow the new primary after a while."""
    await anyio.sleep(_FOLLOWED_S)
    proxy.group.member(name).term = Term(2)


def code(answer: SessionAnswer) -> RefusalCode | None:
    """Return the code of a refusal."""
    outcome = answer.outcome
    return outcome.code if isinstance(outcome, Refused) else None


def sent_writes(proxy: SessionFixture) -> int:
    """Return the number of statements that the new primary has run."""
    return len(proxy.group.member('b').executions)


def counted(proxy: SessionFixture, end: str) -> float:
    """Return how many held writes ended in a way."""
    line = f'lavendergate_held_writes_total{{end="{end}"}} '
    for shown in proxy.metrics.render().decode().splitlines():
        if shown.startswith(line):
            return float(shown.removeprefix(line))
    return 0


class HeldWriteTest(unittest.TestCase):
    """Writes that arrive before a replica follows the new term."""

    def test_each_kind_of_first_write_waits_for_a_follower(self) -> None:
        """Guards against an acknowledged write that no replica has."""
        cases: dict[str, tuple[CallerStatement, ...]] = {
            'single': (Write(item='i', content='1'),),
            'prepared': (
                Prepare(
                    name='p',
                    shape=Shape(access=AccessKind.write, text='q'),
                ),
                Execute(name='p', item='i', content='1'),
            ),
            'transaction': (
                Begin(read_only=False),
                Write(item='i', content='1'),
                Commit(),
            ),
            'transaction that reads first': (
                Begin(read_only=False),
                Read(item='i'),
                Commit(),
            ),
        }
        for name, statements in cases.items():

            async def scenario(
                proxy: SessionFixture,
                statements: tuple[CallerStatement, ...] = statements,
            ) -> None:
                proxy.tasks.start_soon(follow_later, proxy)
                began_at = anyio.current_time()
                session = CallerSession(database=PRIMARY)
                for statement in statements:
                    answer = await proxy.send(session, statement)
                    self.assertIsInstance(answer.outcome, Completed)
                held_s = anyio.current_time() - began_at
                self.assertGreaterEqual(held_s, _FOLLOWED_S)
                self.assertLess(held_s, _FOLLOWED_S + 0.05)
                self.assertEqual(counted(proxy, 'followed'), 1)

            with self.subTest(name):
                play(scenario)

    def test_held_write_has_no_connection_and_no_slot(self) -> None:
        """Guards against slots of a new primary that waiting writes fill."""

        async def scenario(proxy: SessionFixture) -> None:
            connections = proxy.group.member('b').connections
            for _ in range(5):
                proxy.tasks.start_soon(
                    proxy.send,
                    CallerSession(database=PRIMARY),
                    Write(item='i', content='1'),
                )
            await anyio.sleep(_FOLLOWED_S)
            self.assertEqual(sent_writes(proxy), 0)
            self.assertEqual(proxy.group.member('b').connections, connections)
            proxy.group.member('c').term = Term(2)
            await anyio.sleep(_FOLLOWED_S)
            self.assertEqual(sent_writes(proxy), 5)

        play(scenario)

    def test_bound_ends_the_hold(self) -> None:
        """Guards against writes that wait for replicas that are away."""

        async def scenario(proxy: SessionFixture) -> None:
            began_at = anyio.current_time()
            answer = await proxy.send(
                CallerSession(database=PRIMARY), Write(item='i', content='1')
            )
            self.assertIsInstance(answer.outcome, Completed)
            self.assertAlmostEqual(anyio.current_time() - began_at, _BOUND_S)
            self.assertEqual(counted(proxy, 'bound'), 1)
            (fields,) = proxy.events.fields_of(
                SessionEvent.first_writes_released
            )
            self.assertEqual(fields['outcome'], 'bound')
            self.assertEqual(fields['held'], 1)

        play(scenario)

    def test_write_with_an_earlier_deadline_is_refused_at_once(self) -> None:
        """Guards against a wait that can only end with a refusal."""

        async def scenario(proxy: SessionFixture) -> None:
            proxy.timeout_ms = 200
            proxy.publish(3)
            for statements in (
                (Write(item='i', content='1'),),
                (Begin(read_only=False), Write(item='i', content='1')),
            ):
                began_at = anyio.current_time()
                session = CallerSession(database=PRIMARY)
                for statement in statements:
                    answer = await proxy.send(session, statement)
                self.assertEqual(code(answer), RefusalCode.busy)
                self.assertEqual(anyio.current_time(), began_at)
            self.assertEqual(counted(proxy, 'deadline'), 2)
            self.assertEqual(sent_writes(proxy), 0)

        play(scenario)

    def test_reads_and_read_only_transactions_do_not_wait(self) -> None:
        """Guards against reads that pay for what only writes need."""

        async def scenario(proxy: SessionFixture) -> None:
            began_at = anyio.current_time()
            session = CallerSession(database=PRIMARY)
            for statement in (Begin(read_only=True), Read(item='i'), Commit()):
                answer = await proxy.send(session, statement)
                self.assertIsInstance(answer.outcome, Completed)
            self.assertEqual(session.phase, Phase.idle)
            self.assertEqual(anyio.current_time(), began_at)

        play(scenario)

    def test_nothing_is_held_without_synchronous_replicas(self) -> None:
        """Guards against a wait where no replica confirms a commit."""

        async def scenario(proxy: SessionFixture) -> None:
            began_at = anyio.current_time()
            await proxy.send(
                CallerSession(database=PRIMARY), Write(item='i', content='1')
            )
            self.assertEqual(anyio.current_time(), began_at)
            self.assertEqual(sent_writes(proxy), 1)

        play(scenario, synchronous_replicas=0)

    def test_two_synchronous_replicas_must_both_follow(self) -> None:
        """Guards against a commit that one of two replicas confirms."""

        async def scenario(proxy: SessionFixture) -> None:
            proxy.tasks.start_soon(follow_later, proxy, 'a')
            began_at = anyio.current_time()
            proxy.group.member('c').term = Term(2)
            await proxy.send(
                CallerSession(database=PRIMARY), Write(item='i', content='1')
            )
            held_s = anyio.current_time() - began_at
            self.assertGreaterEqual(held_s, _FOLLOWED_S)

        play(scenario, synchronous_replicas=2)

    def test_write_through_a_home_waits(self) -> None:
        """Guards against a relayed write that its home sends unheld."""

        async def scenario(fleet: RelayFixture) -> None:
            proxy = fleet.others('b')[0]
            fleet.group.promote('b')
            for name in ('a', 'c'):
                fleet.group.member(name).term = Term(1)
            for one in fleet.proxies:
                one.notice('b', 2)
            began_at = anyio.current_time()
            proxy.tasks.start_soon(follow_later, proxy)
            answer = await proxy.send(
                CallerSession(database=PRIMARY), Write(item='i', content='1')
            )
            self.assertIsInstance(answer.outcome, Completed)
            held_s = anyio.current_time() - began_at
            self.assertGreaterEqual(held_s, _FOLLOWED_S)

        play_relays(scenario)


class CountingGroup(SessionGroup):
    """A group whose primary takes a long log for a confirmation."""

    def commit(self, primary: Member, writes: dict[str, str]) -> bool:
        """Append a transaction; replicas of a former term receive nothing."""
        position = LogPosition(term=primary.term, position=len(primary.log) + 1)
        entry = LogEntry(position=position, writes=tuple(writes.items()))
        primary.log.append(entry)
        primary.applied = len(primary.log)
        replicas = [
            member for member in self.members.values() if not member.is_primary
        ]
        for replica in replicas:
            if replica.term == primary.term and self.receives(replica):
                replica.log = list(primary.log)
        return any(len(replica.log) >= len(primary.log) for replica in replicas)


class LostMemberTest(unittest.TestCase):
    """A promoted member that is lost right after its first writes."""

    def test_acknowledged_write_survives_the_loss_of_the_member(self) -> None:
        """Guards against first writes that only a longer log has confirmed."""

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                group = CountingGroup(names=('a', 'b', 'c'))
                proxy = SessionFixture(tasks=tasks, group=group, proxies=3)
                group.member('b').is_replication_cut = True
                session = CallerSession(database=PRIMARY)
                for number in range(3):
                    await proxy.send(
                        session, Write(item=f'former-{number}', content='1')
                    )
                group.member('a').is_down = True
                promote(proxy)
                tasks.start_soon(self._follow_later, group)
                answer = await proxy.send(
                    session, Write(item='first', content='1')
                )
                group.member('b').is_down = True
                group.promote('c')
                kept = {
                    item
                    for entry in group.member('c').log
                    for item, _ in entry.writes
                }
                self.assertIsInstance(answer.outcome, Completed)
                self.assertIn('first', kept)
                tasks.cancel_scope.cancel()

        trio.run(run, clock=MockClock(autojump_threshold=0))

    async def _follow_later(self, group: SessionGroup) -> None:
        """Roll `c` back after a while."""
        await anyio.sleep(_FOLLOWED_S)
        replica = group.member('c')
        replica.log = list(group.member('b').log)
        replica.applied = len(replica.log)
        replica.term = Term(2)


class ControlWordTest(unittest.TestCase):
    """What the control leader says of a new term."""

    def test_known_term_is_not_held(self) -> None:
        """Guards against a proxy that holds writes at its own start."""

        async def scenario(proxy: SessionFixture) -> None:
            proxy.notice('b', 2, is_new=False)
            began_at = anyio.current_time()
            await proxy.send(
                CallerSession(database=PRIMARY), Write(item='i', content='1')
            )
            self.assertEqual(anyio.current_time(), began_at)

        play(scenario)

    def test_word_on_another_term_releases_nothing(self) -> None:
        """Guards against a leader that does not know the new primary yet."""

        async def scenario(proxy: SessionFixture) -> None:
            service = proxy.group.service
            former = PrimaryNotice(
                service=service,
                upstream_id=proxy.group.member('a').entry.upstream_id,
                term=Term(1),
            )
            proxy.first_writes.record_control({service: former}, ())
            self.assertEqual(proxy.first_writes.unfollowed, (service,))

        play(scenario)

    def test_next_term_is_held_anew(self) -> None:
        """Guards against a follower of one term that counts for the next."""

        async def scenario(proxy: SessionFixture) -> None:
            proxy.group.member('c').term = Term(2)
            await anyio.sleep(_FOLLOWED_S)
            self.assertEqual(proxy.first_writes.unfollowed, ())
            proxy.group.promote('c')
            for name in ('a', 'b'):
                proxy.group.member(name).term = Term(2)
            proxy.notice('c', 3)
            began_at = anyio.current_time()
            await proxy.send(
                CallerSession(database=PRIMARY), Write(item='i', content='1')
            )
            self.assertAlmostEqual(anyio.current_time() - began_at, _BOUND_S)

        play(scenario)


class QuestionTest(unittest.TestCase):
    """Questions of a proxy to the replicas of a new term."""

    def test_questions_are_shared_between_the_proxies(self) -> None:
        """Guards against many proxies that flood the replicas."""
        counts = {}
        for proxies in (3, 30, 610):

            async def scenario(
                proxy: SessionFixture, proxies: int = proxies
            ) -> None:
                await anyio.sleep(1)
                replica = proxy.group.member('c')
                before = replica.question_count
                proxy.view.proxies = proxies
                proxy.group.promote('a')
                proxy.group.member('c').term = Term(2)
                proxy.notice('a', 3)
                await anyio.sleep(1)
                counts[proxies] = replica.question_count - before

            play(scenario)
        self.assertLessEqual(counts[3] * 3, 75)
        self.assertLessEqual(counts[30] * 30, 90)
        self.assertEqual(counts[610], 0)
        self.assertGreater(counts[30], 0)
