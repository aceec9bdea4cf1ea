"""Tests of reads and writes around a primary that was replaced unnoticed.

On some platforms a former primary goes on until it is demoted. Everything that
a proxy on its side of a partition asks it is then answered as before.
"""

import unittest
from collections.abc import Awaitable, Callable
from functools import partial

import anyio
import trio
from trio.testing import MockClock

from lavendergate.core.sessions.statements import (
    Begin,
    Commit,
    Completed,
    Phase,
    Read,
    RefusalCode,
    Refused,
    SessionAnswer,
    Write,
)
from lavendergate.filters.sessions.base import CallerSession
from lavendergate.tests.session_fixture import (
    BOUNDED,
    OWN,
    PRIMARY,
    SessionFixture,
)

_LEASE_S = 1.0


def play(scenario: Callable[[SessionFixture], Awaitable[None]]) -> None:
    """Run a scenario in which a former primary goes on until it is demoted."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            proxy = SessionFixture(tasks=tasks, lease_s=_LEASE_S, proxies=1)
            proxy.group.former_primary_continues = True
            await scenario(proxy)
            tasks.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


def code(answer: SessionAnswer) -> RefusalCode | None:
    """Return the code of a refusal."""
    outcome = answer.outcome
    return outcome.code if isinstance(outcome, Refused) else None


async def replace_primary_unnoticed(proxy: SessionFixture) -> None:
    """Promote `b` while the proxy reaches only the former primary."""
    await proxy.send(
        CallerSession(database=PRIMARY), Write(item='x', content='old')
    )
    await anyio.sleep(_LEASE_S + 0.1)
    proxy.group.promote('b')
    proxy.group.commit(proxy.group.member('b'), {'x': 'new'})
    for name in 'bc':
        proxy.group.member(name).is_down = True


class ReplacedPrimaryTest(unittest.TestCase):
    """A proxy that is cut off with a former primary."""

    def test_read_of_all_commits_is_refused(self) -> None:
        """Guards against a stale read on a primary route.

        scale-2 of norrsken-rtk: a proxy on the side of the former primary read
        there 2.7 s after commits of the next one had been acknowledged.
        """

        async def scenario(proxy: SessionFixture) -> None:
            await replace_primary_unnoticed(proxy)
            session = CallerSession(database=PRIMARY)
            answer = await proxy.send(session, Read(item='x'))
            self.assertIn(code(answer), (RefusalCode.lagging, RefusalCode.busy))

        play(scenario)

    def test_transaction_is_refused(self) -> None:
        """Guards against a transaction that reads at the former primary."""

        async def scenario(proxy: SessionFixture) -> None:
            await replace_primary_unnoticed(proxy)
            session = CallerSession(database=PRIMARY)
            await proxy.send(session, Begin())
            answer = await proxy.send(session, Read(item='x'))
            self.assertEqual(code(answer), RefusalCode.busy)
            self.assertFalse(_reads(proxy, 'a'))

        play(scenario)

    def test_read_beyond_the_staleness_bound_is_refused(self) -> None:
        """Guards against a position of the former primary within a bound."""

        async def scenario(proxy: SessionFixture) -> None:
            await replace_primary_unnoticed(proxy)
            await anyio.sleep(2.6)
            for database in (BOUNDED, OWN):
                session = CallerSession(database=database)
                answer = await proxy.send(session, Read(item='x'))
                self.assertIsInstance(answer.outcome, Refused, database)

        play(scenario)

    def test_unconfirmed_write_is_refused_without_replica_confirmation(
        self,
    ) -> None:
        """Guards against a write that only the former primary keeps."""

        async def scenario(proxy: SessionFixture) -> None:
            proxy.synchronous_replicas = 0
            proxy.publish(2)
            await replace_primary_unnoticed(proxy)
            session = CallerSession(database=PRIMARY)
            answer = await proxy.send(session, Write(item='x', content='lost'))
            self.assertEqual(code(answer), RefusalCode.busy)
            self.assertEqual(proxy.group.member('a').content('x'), 'old')

        play(scenario)

    def test_new_primary_is_found_without_the_control_hosts(self) -> None:
        """Guards against refused reads while all members can be reached."""

        async def scenario(proxy: SessionFixture) -> None:
            await replace_primary_unnoticed(proxy)
            for name in 'bc':
                proxy.group.member(name).is_down = False
            session = CallerSession(database=PRIMARY)
            answers = []
            for _ in range(10):
                answers.append(await proxy.send(session, Read(item='x')))
                await anyio.sleep(0.1)
            rows = [
                answer.rows
                for answer in answers
                if isinstance(answer.outcome, Completed)
            ]
            self.assertEqual(set(rows), {('new',)})

        play(scenario)

    def test_lease_on_the_former_primary_proves_nothing_about_the_next(
        self,
    ) -> None:
        """Guards against a lease that is applied to another primary."""

        async def scenario(proxy: SessionFixture) -> None:
            group = proxy.group
            await proxy.send(
                CallerSession(database=PRIMARY), Write(item='x', content='1')
            )
            group.promote('b')
            proxy.notice('b', 2, lease_s=0)
            evidence = proxy.positions.evidence(group.service)
            self.assertFalse(evidence.is_confirmed_at(anyio.current_time()))

        play(scenario)


class LeasedPrimaryTest(unittest.TestCase):
    """A proxy that holds a lease, or asks the members for want of one."""

    def test_read_under_a_lease_asks_no_position_first(self) -> None:
        """Guards against two statements at the primary for each read."""

        async def scenario(proxy: SessionFixture) -> None:
            session = CallerSession(database=PRIMARY)
            await proxy.send(session, Write(item='x', content='1'))
            asked = proxy.group.member('a').question_count
            for _ in range(5):
                answer = await proxy.send(session, Read(item='x'))
                self.assertEqual(answer.rows, ('1',))
                await anyio.sleep(0.1)
            self.assertLessEqual(
                proxy.group.member('a').question_count - asked, 1
            )

        play(scenario)

    def test_primary_that_lost_its_data_serves_no_read(self) -> None:
        """Guards against an empty primary whose lease has not expired."""

        async def scenario(proxy: SessionFixture) -> None:
            session = CallerSession(database=PRIMARY)
            await proxy.send(session, Write(item='x', content='1'))
            await proxy.send(session, Read(item='x'))
            restarted = proxy.group.member('a')
            restarted.log, restarted.applied = [], 0
            restarted.is_primary = False
            answer = await proxy.send(session, Read(item='x'))
            self.assertNotEqual(answer.rows, ('',))

        play(scenario)

    def test_members_replace_the_lease_while_control_is_down(self) -> None:
        """Guards against refused reads during an outage of all control hosts.

        Without a control host nobody orders promotions, so the primary goes on
        to lead although no lease says so.
        """

        async def scenario(proxy: SessionFixture) -> None:
            session = CallerSession(database=PRIMARY)
            await proxy.send(session, Write(item='x', content='1'))
            await anyio.sleep(_LEASE_S + 1)
            began_at = anyio.current_time()
            for _ in range(10):
                answer = await proxy.send(session, Read(item='x'))
                self.assertEqual(answer.rows, ('1',))
                await anyio.sleep(0.01)
            questions = sum(
                member.question_count for member in proxy.group.members.values()
            )
            # One round of three questions every 0.08 s serves all reads.
            rounds = (anyio.current_time() - began_at) / 0.08 + 1
            self.assertLessEqual(questions, 3 * rounds)

        play(scenario)

    def test_many_proxies_ask_the_members_rarely(self) -> None:
        """Guards against a flood of questions while there are no leases.

        trouble-1 of norrsken-rtk-grown: while a primary was replaced, each of
        68 proxies asked all members every 0.08 s, and homes stopped answering.
        """

        async def scenario(proxy: SessionFixture) -> None:
            proxy.view.proxies = 68
            session = CallerSession(database=PRIMARY)
            await proxy.send(session, Write(item='x', content='1'))
            await anyio.sleep(_LEASE_S + 1)
            began_at = anyio.current_time()
            for _ in range(20):
                await proxy.send(session, Read(item='x'))
                await anyio.sleep(0.1)
            questions = sum(
                member.question_count for member in proxy.group.members.values()
            )
            # All proxies together ask at most 120 times a second, as 9 proxies
            # do at the shortest interval.
            rounds = (anyio.current_time() - began_at) * 120 / 68 + 1
            self.assertLessEqual(questions, 3 * rounds)

        play(scenario)

    def test_write_waits_while_the_primary_is_being_replaced(self) -> None:
        """Guards against writes that hang at a primary without replicas."""

        async def scenario(proxy: SessionFixture) -> None:
            service = proxy.group.service
            await anyio.sleep(_LEASE_S + 0.1)
            proxy.positions.record_replacing((service,))
            session = CallerSession(database=PRIMARY)
            answer = await proxy.send(session, Write(item='x', content='1'))
            self.assertEqual(code(answer), RefusalCode.busy)
            self.assertEqual(proxy.group.member('a').content('x'), '')
            proxy.positions.record_replacing(())
            answer = await proxy.send(session, Write(item='x', content='1'))
            self.assertIsInstance(answer.outcome, Completed)

        play(scenario)

    def test_write_that_ends_while_the_primary_is_being_replaced(self) -> None:
        """Guards against a success that an absent replica confirmed.

        It returned after the promotion was ordered, so that the promoted
        member lacks the commit.
        """

        async def scenario(last: Write | Commit, proxy: SessionFixture) -> None:
            service = proxy.group.service
            session = CallerSession(database=PRIMARY)
            await anyio.sleep(_LEASE_S - 0.5)
            if isinstance(last, Commit):
                await proxy.send(session, Begin(read_only=False))
                await proxy.send(session, Write(item='x', content='1'))
            proxy.positions.record_replacing((service,))
            proxy.group.member('a').statement_s = 0.7
            answer = await proxy.send(session, last)
            self.assertEqual(proxy.group.member('a').content('x'), '1')
            self.assertEqual(code(answer), RefusalCode.unknown)
            self.assertEqual(answer.phase, Phase.idle)

        for last in (Write(item='x', content='1'), Commit()):
            with self.subTest(last=last):
                play(partial(scenario, last))

    def test_lost_control_leader_does_not_stop_writes(self) -> None:
        """Guards against refusing writes for a takeover that ended unseen."""

        async def scenario(proxy: SessionFixture) -> None:
            proxy.positions.record_replacing((proxy.group.service,))
            await anyio.sleep(_LEASE_S + 1)
            session = CallerSession(database=PRIMARY)
            answer = await proxy.send(session, Write(item='x', content='1'))
            self.assertIsInstance(answer.outcome, Completed)

        play(scenario)


def _reads(proxy: SessionFixture, name: str) -> list[object]:
    return [
        execution
        for execution in proxy.group.member(name).executions
        if isinstance(execution.statement, Read)
    ]
