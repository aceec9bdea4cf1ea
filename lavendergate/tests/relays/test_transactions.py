"""Tests of transactions that a home holds for another proxy."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
import msgspec

from lavendergate.core.sessions.statements import (
    Begin,
    Commit,
    Completed,
    Phase,
    RefusalCode,
    Refused,
    Rollback,
    SessionAnswer,
    Write,
)
from lavendergate.core.types import UpstreamId
from lavendergate.filters.sessions.base import CallerSession
from lavendergate.rpc.relay_service import (
    RelayedBegin,
    RelayedCommit,
    RelayedRollback,
    RelayedStatement,
    RelayedWrite,
    RelayReply,
    RelayRequest,
    RelayStatus,
)
from lavendergate.tests.relay_fixture import RelayFixture, RelayingProxy, play
from lavendergate.tests.session_fixture import PRIMARY


def code(answer: SessionAnswer) -> RefusalCode | None:
    """Return the code of a refusal."""
    outcome = answer.outcome
    return outcome.code if isinstance(outcome, Refused) else None


async def begin(proxy: RelayingProxy) -> CallerSession:
    """Return a session with a transaction that has written."""
    session = CallerSession(database=PRIMARY)
    await proxy.send(session, Begin())
    answer = await proxy.send(session, Write(item='x', content='1'))
    assert isinstance(answer.outcome, Completed)
    return session


def change_next(
    fleet: RelayFixture,
    kind: type[RelayedStatement],
    change: Callable[[RelayRequest], RelayRequest],
    *,
    count: int = 1,
) -> None:
    """Change the next requests with statements of a kind."""
    run = fleet.transport.run
    left = count

    async def run_changed(address: str, request: RelayRequest) -> RelayReply:
        nonlocal left
        if left and isinstance(request.statement, kind):
            left -= 1
            request = change(request)
        return await run(address, request)

    fleet.transport.run = run_changed  # type: ignore[method-assign]


def expired(request: RelayRequest) -> RelayRequest:
    """Return a request that arrives too late."""
    return msgspec.structs.replace(request, expires_at_ms=0)


def request_for(
    statement: RelayedStatement,
    *,
    expires_at_ms: int,
    transaction: int | None = None,
) -> RelayRequest:
    """Return a request of another proxy for member `a`."""
    return RelayRequest(
        upstream_id=UpstreamId('a'),
        born=1,
        statement=statement,
        values={},
        request_id='r-1',
        after=None,
        transaction=transaction,
        expires_at_ms=expires_at_ms,
    )


def commits_of(fleet: RelayFixture) -> list[bool]:
    """Return for each COMMIT of member `a` whether it was in a transaction."""
    return [
        run.in_transaction
        for run in fleet.group.member('a').executions
        if isinstance(run.statement, Commit)
    ]


class CommitTest(unittest.TestCase):
    """COMMIT runs where its transaction is, or not at all."""

    def test_commit_that_was_late_is_repeated_in_its_transaction(self) -> None:
        """Guards against an acknowledged COMMIT on another connection.

        A home that refused the COMMIT for want of time named no phase, and the
        proxy forgot the transaction.
        """

        async def scenario(fleet: RelayFixture) -> None:
            proxy = fleet.others('a')[0]
            session = await begin(proxy)
            change_next(fleet, RelayedCommit, expired)
            answer = await proxy.send(session, Commit())
            self.assertIsInstance(answer.outcome, Completed)
            self.assertEqual(commits_of(fleet), [True])
            self.assertEqual(fleet.group.primary.content('x'), '1')

        play(scenario)

    def test_home_runs_no_end_of_a_transaction_that_it_does_not_hold(
        self,
    ) -> None:
        """Guards against a proxy that sends COMMIT without a transaction."""

        async def scenario(fleet: RelayFixture) -> None:
            home = fleet.home_of('a').home
            for statement in (RelayedCommit(), RelayedRollback()):
                for number in (None, 7):
                    reply = await home.handle(
                        request_for(
                            statement,
                            expires_at_ms=home.now_ms() + 1000,
                            transaction=number,
                        )
                    )
                    self.assertEqual(reply.code, RefusalCode.aborted)
                    self.assertIsNone(reply.phase)
            self.assertEqual(commits_of(fleet), [])

        play(scenario)

    def test_commit_that_no_home_received_is_aborted(self) -> None:
        """Guards against UNKNOWN for a COMMIT that was surely not sent."""

        async def scenario(fleet: RelayFixture) -> None:
            proxy = fleet.others('a')[0]
            session = await begin(proxy)
            fleet.transport.stopped.add(fleet.home_of('a').address)
            answer = await proxy.send(session, Commit())
            self.assertEqual(code(answer), RefusalCode.aborted)
            self.assertEqual(session.phase, Phase.idle)

        play(scenario)

    def test_commit_without_an_answer_is_unknown(self) -> None:
        """Guards against a promise for a COMMIT that may have run."""

        async def scenario(fleet: RelayFixture) -> None:
            proxy = fleet.others('a')[0]
            session = await begin(proxy)
            fleet.transport.lost_replies = 1
            answer = await proxy.send(session, Commit())
            self.assertEqual(code(answer), RefusalCode.unknown)
            self.assertEqual(commits_of(fleet), [True])

        play(scenario)


class EndedTransactionTest(unittest.TestCase):
    """Transactions that a home no longer holds."""

    def test_next_caller_gets_no_session_of_an_ended_transaction(self) -> None:
        """Guards against a pooled session that refuses every statement."""

        async def scenario(fleet: RelayFixture) -> None:
            home = fleet.home_of('a')
            proxy = fleet.others('a')[0]
            session = await begin(proxy)
            fleet.transport.homes[home.address] = home.make_home()
            answer = await proxy.send(session, Write(item='x', content='2'))
            self.assertEqual(code(answer), RefusalCode.aborted)
            self.assertEqual(session.phase, Phase.failed)
            other = CallerSession(database=PRIMARY)
            write = Write(item='y', content='1')
            answer = await proxy.send(other, write)
            self.assertIsInstance(answer.outcome, Completed)
            await proxy.send(session, Rollback())
            await proxy.send(session, Begin())
            answer = await proxy.send(session, Write(item='x', content='3'))
            self.assertIsInstance(answer.outcome, Completed)

        play(scenario)

    def test_late_rollback_frees_the_connection_of_the_home(self) -> None:
        """Guards against connections that a home holds after a freeze.

        A rollback that arrived too late left its transaction open until it had
        been idle for some seconds, and other callers got BUSY.
        """

        async def scenario(fleet: RelayFixture) -> None:
            proxy = fleet.others('a')[0]
            session = await begin(proxy)
            change_next(fleet, RelayedRollback, expired, count=2)
            await proxy.send(session, Rollback())
            self.assertTrue(fleet.home_of('a').home.is_idle)
            self.assertEqual(fleet.group.primary.content('x'), '')

        play(scenario)


class ReplyPhaseTest(unittest.TestCase):
    """Phases in the replies of a home."""

    def test_reply_that_ran_nothing_names_no_phase(self) -> None:
        """Guards against a phase from a home that did not see the statement."""
        replies: dict[RelayStatus, RelayReply] = {}

        async def scenario(fleet: RelayFixture) -> None:
            home = fleet.home_of('a')
            other = fleet.others('a')[0].home
            member = fleet.group.member('a')
            in_time = home.home.now_ms() + 500
            write = RelayedWrite(item='x', content='1')

            async def record(reply: Awaitable[RelayReply]) -> None:
                known = await reply
                replies[known.status] = known

            await record(home.home.handle(request_for(write, expires_at_ms=0)))
            request = request_for(write, expires_at_ms=in_time)
            await record(other.handle(request))
            member.lost_answers = 1
            await record(home.home.handle(request))
            member.is_down = True
            await anyio.sleep(1)
            later = home.home.now_ms() + 500
            await record(
                home.home.handle(request_for(write, expires_at_ms=later))
            )

        play(scenario)
        self.assertLessEqual(
            {RelayStatus.not_run, RelayStatus.declined, RelayStatus.lost},
            replies.keys(),
        )
        for status, reply in replies.items():
            with self.subTest(status=status):
                self.assertIsNone(reply.phase)

    def test_begin_names_the_phase_and_the_transaction(self) -> None:
        """Guards against a transaction that its proxy does not know."""

        async def scenario(fleet: RelayFixture) -> None:
            home = fleet.home_of('a').home
            reply = await home.handle(
                request_for(
                    RelayedBegin(read_only=False),
                    expires_at_ms=home.now_ms() + 1000,
                )
            )
            self.assertEqual(reply.phase, Phase.in_transaction)
            self.assertIsNotNone(reply.transaction)

        play(scenario)
