"""Tests of the execution of session statements by a proxy."""

import unittest

import anyio

from lavendergate.core.sessions.statements import (
    Begin,
    Commit,
    Completed,
    Phase,
    Read,
    RefusalCode,
    Refused,
    Rollback,
    SessionAnswer,
    Write,
)
from lavendergate.filters.sessions.base import CallerSession
from lavendergate.tests.session_fixture import (
    BOUNDED,
    OWN,
    PRIMARY,
    SessionFixture,
    play,
)


def code(answer: SessionAnswer) -> RefusalCode | None:
    """Return the code of a refusal."""
    outcome = answer.outcome
    return outcome.code if isinstance(outcome, Refused) else None


class SingleStatementTest(unittest.TestCase):
    """Statements outside of transactions."""

    def test_read_follows_an_acknowledged_write_of_another_session(
        self,
    ) -> None:
        """Guards against a stale read on a primary route."""

        async def scenario(proxy: SessionFixture) -> None:
            proxy.group.member('b').is_apply_stopped = True
            proxy.group.member('c').is_apply_stopped = True
            writer = CallerSession(database=PRIMARY)
            reader = CallerSession(database=PRIMARY)
            await proxy.send(writer, Write(item='x', content='1'))
            answer = await proxy.send(reader, Read(item='x'))
            self.assertEqual(answer.rows, ('1',))

        play(scenario)

    def test_session_reads_its_own_write_from_no_lagging_replica(
        self,
    ) -> None:
        """Guards against a read on a replica that lacks the session's write."""

        async def scenario(proxy: SessionFixture) -> None:
            session = CallerSession(database=OWN)
            await proxy.send(session, Read(item='x'))
            proxy.group.member('b').is_apply_stopped = True
            proxy.group.member('c').is_apply_stopped = True
            await proxy.send(session, Write(item='x', content='1'))
            answer = await proxy.send(session, Read(item='x'))
            self.assertEqual(answer.rows, ('1',))

        play(scenario)

    def test_bounded_read_lacks_no_commit_older_than_the_bound(self) -> None:
        """Guards against using a position that is older than the bound."""

        async def scenario(proxy: SessionFixture) -> None:
            reader = CallerSession(database=BOUNDED)
            await proxy.send(reader, Read(item='x'))
            proxy.group.member('b').is_apply_stopped = True
            proxy.group.member('c').is_apply_stopped = True
            # The commit bypasses this proxy, so the proxy does not know of it.
            proxy.group.commit(proxy.group.primary, {'x': '1'})
            await anyio.sleep(1.6)
            answer = await proxy.send(reader, Read(item='x'))
            self.assertEqual(answer.rows, ('1',))

        play(scenario)

    def test_reads_go_to_replicas_within_the_bound(self) -> None:
        """Guards against bounded reads that use up the primary's slots."""

        async def scenario(proxy: SessionFixture) -> None:
            reader = CallerSession(database=BOUNDED)
            for _ in range(20):
                await proxy.send(reader, Read(item='x'))
            self.assertFalse(proxy.group.member('a').executions)

        play(scenario)

    def test_write_with_a_lost_answer_is_unknown_and_not_repeated(
        self,
    ) -> None:
        """Guards against executing a write twice, or reporting `not run`."""

        async def scenario(proxy: SessionFixture) -> None:
            proxy.group.member('a').lost_answers = 1
            session = CallerSession(database=PRIMARY)
            answer = await proxy.send(session, Write(item='x', content='1'))
            self.assertEqual(code(answer), RefusalCode.unknown)
            self.assertEqual(len(proxy.group.member('a').log), 1)

        play(scenario)

    def test_read_with_a_lost_answer_is_served_elsewhere(self) -> None:
        """Guards against failing a read that another member can serve."""

        async def scenario(proxy: SessionFixture) -> None:
            session = CallerSession(database=OWN)
            for name in 'bc':
                proxy.group.member(name).lost_answers = 1
            answer = await proxy.send(session, Read(item='x'))
            self.assertIsInstance(answer.outcome, Completed)

        play(scenario)

    def test_write_that_did_not_run_is_retried(self) -> None:
        """Guards against refusing a write that a retry can execute."""

        async def scenario(proxy: SessionFixture) -> None:
            proxy.group.member('a').refusals = [RefusalCode.busy] * 3
            session = CallerSession(database=PRIMARY)
            answer = await proxy.send(session, Write(item='x', content='1'))
            self.assertIsInstance(answer.outcome, Completed)
            self.assertEqual(len(proxy.group.member('a').log), 1)

        play(scenario)

    def test_write_without_a_primary_is_refused_early(self) -> None:
        """Guards against a caller that waits until its deadline for nothing."""

        async def scenario(proxy: SessionFixture) -> None:
            proxy.group.member('a').is_down = True
            session = CallerSession(database=PRIMARY)
            started_at = anyio.current_time()
            answer = await proxy.send(session, Write(item='x', content='1'))
            waited_s = anyio.current_time() - started_at
            self.assertEqual(code(answer), RefusalCode.busy)
            self.assertLess(waited_s, 0.5)

        play(scenario)

    def test_position_that_a_promotion_rolled_back_is_dropped(self) -> None:
        """Guards against reads that wait for a commit lost in a rollback."""

        async def scenario(proxy: SessionFixture) -> None:
            group = proxy.group
            session = CallerSession(database=BOUNDED)
            for name in 'bc':
                group.member(name).is_replication_cut = True
            group.commit(group.member('a'), {'x': 'lost'})
            await proxy.send(session, Read(item='x'))
            group.member('a').is_down = True
            group.promote('b')
            proxy.notice('b', 2)
            await anyio.sleep(2)
            answer = await proxy.send(session, Read(item='x'))
            self.assertIsInstance(answer.outcome, Completed)

        play(scenario)

    def test_unknown_database_is_refused(self) -> None:
        """Guards against executing a statement on a removed route."""

        async def scenario(proxy: SessionFixture) -> None:
            session = CallerSession(database=OWN)
            proxy.publish(2, (PRIMARY,))
            answer = await proxy.send(session, Read(item='x'))
            self.assertEqual(code(answer), RefusalCode.no_database)

        play(scenario)


class TransactionTest(unittest.TestCase):
    """Transactions."""

    def test_transaction_keeps_one_connection_to_its_end(self) -> None:
        """Guards against running statements outside their transaction."""

        async def scenario(proxy: SessionFixture) -> None:
            session = CallerSession(database=PRIMARY)
            other = CallerSession(database=PRIMARY)
            await proxy.send(session, Begin())
            await proxy.send(session, Write(item='x', content='1'))
            await proxy.send(other, Write(item='y', content='2'))
            await proxy.send(session, Write(item='z', content='3'))
            await proxy.send(session, Commit())
            inside = [
                execution.in_transaction
                for execution in proxy.group.member('a').executions
            ]
            self.assertEqual(inside, [True, False, True, True])
            self.assertEqual(session.phase, Phase.idle)

        play(scenario)

    def test_lost_answer_before_the_commit_aborts_the_transaction(self) -> None:
        """Guards against reporting `unknown` before a commit was sent."""

        async def scenario(proxy: SessionFixture) -> None:
            session = CallerSession(database=PRIMARY)
            await proxy.send(session, Begin())
            await proxy.send(session, Write(item='x', content='1'))
            proxy.group.member('a').lost_answers = 1
            answer = await proxy.send(session, Write(item='y', content='1'))
            self.assertEqual(code(answer), RefusalCode.aborted)
            self.assertEqual(answer.phase, Phase.failed)
            refused = await proxy.send(session, Read(item='x'))
            self.assertEqual(code(refused), RefusalCode.malformed)
            await proxy.send(session, Rollback())
            self.assertEqual(session.phase, Phase.idle)
            self.assertFalse(proxy.group.member('a').log)

        play(scenario)

    def test_commit_with_a_lost_answer_is_unknown(self) -> None:
        """Guards against reporting a committed transaction as not committed."""

        async def scenario(proxy: SessionFixture) -> None:
            session = CallerSession(database=PRIMARY)
            await proxy.send(session, Begin())
            await proxy.send(session, Write(item='x', content='1'))
            proxy.group.member('a').lost_answers = 1
            answer = await proxy.send(session, Commit())
            self.assertEqual(code(answer), RefusalCode.unknown)

        play(scenario)

    def test_former_primary_runs_no_statement_of_a_transaction(self) -> None:
        """Guards against a stale read in a transaction after a promotion."""

        async def scenario(proxy: SessionFixture) -> None:
            session = CallerSession(database=PRIMARY)
            await proxy.send(session, Begin())
            proxy.group.promote('b')
            await anyio.sleep(0.01)
            proxy.notice('b', 2)
            answer = await proxy.send(session, Read(item='x'))
            self.assertIsInstance(answer.outcome, Completed)
            self.assertFalse(proxy.group.member('a').executions)

        play(scenario)

    def test_disconnected_caller_holds_no_connection(self) -> None:
        """Guards against connections that stay with abandoned transactions."""

        async def scenario(proxy: SessionFixture) -> None:
            session = CallerSession(database=PRIMARY)
            await proxy.send(session, Begin())
            await proxy.send(session, Write(item='x', content='1'))
            await proxy.transactions.end(session)
            link = proxy.pools.link(proxy.group.member('a').entry)
            self.assertEqual(len(link.idle), link.opened)
            self.assertFalse(proxy.group.member('a').log)

        play(scenario)

    def test_read_only_transaction_runs_on_a_replica(self) -> None:
        """Guards against reads that use up the primary's slots."""

        async def scenario(proxy: SessionFixture) -> None:
            session = CallerSession(database=BOUNDED)
            await proxy.send(session, Begin(read_only=True))
            await proxy.send(session, Read(item='x'))
            answer = await proxy.send(session, Commit())
            self.assertIsInstance(answer.outcome, Completed)
            self.assertFalse(proxy.group.member('a').executions)

        play(scenario)
