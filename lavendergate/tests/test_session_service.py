"""Tests of caller sessions, from opening to closing."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
import trio
from trio.testing import MockClock

from lavendergate.core.customers.table import digest_key
from lavendergate.core.sessions.statements import (
    Begin,
    CallerStatement,
    Completed,
    Phase,
    Read,
    RefusalCode,
    Refused,
    SessionAnswer,
    Write,
)
from lavendergate.frontend.caller_channel import (
    CallerChannel,
    CallerDisconnectedError,
    CallerRequest,
    SessionEndRequest,
    SessionStart,
)
from lavendergate.frontend.session_service import SessionService
from lavendergate.observability.exposition import HttpMetrics
from lavendergate.tests.session_fixture import OWN, PRIMARY, SessionFixture


class FakeCaller(CallerChannel):
    """A caller channel whose requests are supplied by a test."""

    def __init__(self, *, database: str, key: str | None = None) -> None:
        self._start = SessionStart(
            database=database,
            key_digest=None if key is None else digest_key(key),
        )
        send, receive = anyio.create_memory_object_stream[
            CallerRequest | SessionEndRequest
        ](10)
        self._send = send
        self._receive = receive
        self.answers: list[SessionAnswer] = []
        self.refusal: Refused | None = None
        self.is_open = False
        self.is_closed = False

    def send(self, statement: CallerStatement | None) -> None:
        """Send a statement; None stands for one that cannot be parsed."""
        self._send.send_nowait(
            CallerRequest(
                request_id=f'r{len(self.answers)}', statement=statement
            )
        )

    def disconnect(self) -> None:
        """Break the connection without ending the session."""
        self._send.close()

    async def receive_start(self) -> SessionStart | None:
        return self._start

    async def accept(self) -> None:
        self.is_open = True

    async def refuse(self, refusal: Refused) -> None:
        self.refusal = refusal

    async def receive(self) -> CallerRequest | SessionEndRequest:
        try:
            return await self._receive.receive()
        except anyio.EndOfStream as error:
            raise CallerDisconnectedError('the caller disconnected') from error

    async def answer(self, answer: SessionAnswer) -> None:
        self.answers.append(answer)

    async def close(self) -> None:
        self.is_closed = True
        self._send.close()
        self._receive.close()


class ServiceFixture(SessionFixture):
    """A proxy that serves fake callers."""

    def connect(self, database: str, key: str | None = None) -> FakeCaller:
        """Open a session; it runs in the background."""
        caller = FakeCaller(database=database, key=key)
        self.tasks.start_soon(self._serve, caller)
        return caller

    async def _serve(self, caller: FakeCaller) -> None:
        await self.service.serve(caller)
        await caller.close()

    def build(self) -> None:
        """Build the service."""
        self.service = SessionService(
            chain=self.chain,
            transactions=self.transactions,
            view=self.view,
            clock=anyio.current_time,
            monotonic=anyio.current_time,
            events=self.events,
            metrics=HttpMetrics(),
            customers=self.registry,
        )


def play(scenario: Callable[[ServiceFixture], Awaitable[None]]) -> None:
    """Run a scenario with a mock clock that skips waits."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            fixture = ServiceFixture(tasks=tasks)
            fixture.build()
            await scenario(fixture)
            tasks.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


class SessionServiceTest(unittest.TestCase):
    """Sessions of callers."""

    def test_statements_are_answered_in_order(self) -> None:
        """Guards against answers to the wrong statements."""

        async def scenario(proxy: ServiceFixture) -> None:
            caller = proxy.connect(OWN)
            caller.send(Write(item='x', content='1'))
            caller.send(Read(item='x'))
            await anyio.sleep(0.1)
            self.assertEqual(
                [answer.rows for answer in caller.answers], [(), ('1',)]
            )

        play(scenario)

    def test_malformed_statement_is_answered_and_the_session_continues(
        self,
    ) -> None:
        """Guards against malformed input that ends sessions."""

        async def scenario(proxy: ServiceFixture) -> None:
            caller = proxy.connect(OWN)
            caller.send(None)
            caller.send(Read(item='x'))
            await anyio.sleep(0.1)
            first, second = caller.answers
            assert isinstance(first.outcome, Refused)
            self.assertEqual(first.outcome.code, RefusalCode.malformed)
            self.assertIsInstance(second.outcome, Completed)

        play(scenario)

    def test_unknown_database_is_refused_at_the_start(self) -> None:
        """Guards against a session on a database without a route."""

        async def scenario(proxy: ServiceFixture) -> None:
            caller = proxy.connect('other')
            await anyio.sleep(0.1)
            assert caller.refusal is not None
            self.assertEqual(caller.refusal.code, RefusalCode.no_database)
            self.assertTrue(caller.is_closed)

        play(scenario)

    def test_database_is_not_refused_for_good_before_routes_are_known(
        self,
    ) -> None:
        """Guards against callers that give up on a host that just started."""

        async def scenario(proxy: ServiceFixture) -> None:
            proxy.view.__init__(  # type: ignore[misc]
                clock=anyio.current_time
            )
            caller = proxy.connect(OWN)
            await anyio.sleep(2)
            assert caller.refusal is not None
            self.assertEqual(caller.refusal.code, RefusalCode.busy)

        play(scenario)

    def test_idle_transaction_is_ended_and_the_caller_is_told(self) -> None:
        """Guards against connections that idle callers occupy."""

        async def scenario(proxy: ServiceFixture) -> None:
            caller = proxy.connect(PRIMARY)
            caller.send(Begin())
            caller.send(Write(item='x', content='1'))
            await anyio.sleep(4)
            caller.send(Read(item='x'))
            await anyio.sleep(0.1)
            outcome = caller.answers[-1].outcome
            assert isinstance(outcome, Refused)
            self.assertEqual(outcome.code, RefusalCode.aborted)
            self.assertEqual(caller.answers[-1].phase, Phase.failed)
            link = proxy.pools.link(proxy.group.member('a').entry)
            self.assertEqual(len(link.idle), link.opened)

        play(scenario)

    def test_caller_that_disconnects_in_a_transaction_frees_its_connection(
        self,
    ) -> None:
        """Guards against a transaction that outlives its caller."""

        async def scenario(proxy: ServiceFixture) -> None:
            caller = proxy.connect(PRIMARY)
            caller.send(Begin())
            caller.send(Write(item='x', content='1'))
            await anyio.sleep(0.1)
            caller.disconnect()
            await anyio.sleep(0.1)
            link = proxy.pools.link(proxy.group.member('a').entry)
            self.assertEqual(len(link.idle), link.opened)
            self.assertFalse(proxy.group.member('a').log)

        play(scenario)


class DrainTest(unittest.TestCase):
    """Sessions while the host drains."""

    def test_idle_sessions_close_and_open_transactions_continue(self) -> None:
        """Guards against a stop that interrupts a transaction."""

        async def scenario(proxy: ServiceFixture) -> None:
            idle = proxy.connect(OWN)
            busy = proxy.connect(PRIMARY)
            idle.send(Read(item='x'))
            busy.send(Begin())
            busy.send(Write(item='x', content='1'))
            await anyio.sleep(0.1)
            proxy.service.close_idle()
            await anyio.sleep(0.1)
            self.assertTrue(idle.is_closed)
            self.assertFalse(busy.is_closed)
            proxy.service.end_transactions()
            await anyio.sleep(0.1)
            self.assertTrue(busy.is_closed)
            self.assertFalse(proxy.group.member('a').log)

        play(scenario)

    def test_session_that_was_just_opened_is_served_before_it_closes(
        self,
    ) -> None:
        """Guards against refusing a caller that connects during the stop."""

        async def scenario(proxy: ServiceFixture) -> None:
            proxy.service.close_idle()
            caller = proxy.connect(OWN)
            await anyio.sleep(0.01)
            proxy.service.close_idle()
            await anyio.sleep(0.05)
            caller.send(Read(item='x'))
            await anyio.sleep(0.1)
            self.assertIsInstance(caller.answers[0].outcome, Completed)
            self.assertTrue(caller.is_closed)

        play(scenario)

    def test_statement_on_its_way_is_answered_before_the_session_closes(
        self,
    ) -> None:
        """Guards against a statement that arrives at a closed session."""

        async def scenario(proxy: ServiceFixture) -> None:
            caller = proxy.connect(OWN)
            caller.send(Read(item='x'))
            await anyio.sleep(0.1)
            proxy.service.close_idle()
            await anyio.sleep(0.01)
            caller.send(Read(item='x'))
            await anyio.sleep(0.1)
            self.assertEqual(len(caller.answers), 2)
            self.assertTrue(caller.is_closed)

        play(scenario)
