"""Tests of keys that are taken away from sessions."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
import trio
from trio.testing import MockClock

from lavendergate.core.customers.table import CustomerTable
from lavendergate.core.sessions.context import StatementContext
from lavendergate.core.sessions.statements import (
    Begin,
    CallerStatement,
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
from lavendergate.observability.session_events import SessionEvent
from lavendergate.tests.customers.customer_fixture import (
    NORTH,
    NORTH_KEY,
    SOUTH,
    SOUTH_KEY,
    table,
    usual_table,
)
from lavendergate.tests.session_fixture import OWN, PRIMARY
from lavendergate.tests.test_session_service import (
    FakeCaller,
    ServiceFixture,
)

_LEASE_S = 5.0
_STEP_S = 0.5
_WRITE = Write(item='x', content='1')


class CustomerFixture(ServiceFixture):
    """A proxy whose callers have keys."""

    def change(self, customers: CustomerTable) -> None:
        """Put a route table with other customers into force."""
        self.customers = customers
        self.publish(self.view.routes.version + 1)


async def ask(caller: FakeCaller, statement: CallerStatement) -> SessionAnswer:
    """Send a statement and return its answer."""
    caller.send(statement)
    await anyio.sleep(_STEP_S)
    return caller.answers[-1]


def code_of(answer: SessionAnswer) -> RefusalCode | None:
    """Return why a statement was refused; None if it ran."""
    outcome = answer.outcome
    return outcome.code if isinstance(outcome, Refused) else None


def play(
    scenario: Callable[[CustomerFixture], Awaitable[None]],
    *,
    key_lease_s: float | None = None,
) -> None:
    """Run a scenario with a mock clock that skips waits."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            proxy = CustomerFixture(tasks=tasks, key_lease_s=key_lease_s)
            proxy.build()
            proxy.change(usual_table())
            await scenario(proxy)
            tasks.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


class SessionStartTest(unittest.TestCase):
    """Who may open a session."""

    def test_unknown_and_missing_keys_are_refused(self) -> None:
        """Guards against callers whom no document allows."""

        async def scenario(proxy: CustomerFixture) -> None:
            for key in ('unknown', None):
                caller = proxy.connect(OWN, key)
                await anyio.sleep(_STEP_S)
                assert caller.refusal is not None
                self.assertEqual(
                    caller.refusal.code, RefusalCode.not_authorized
                )
                self.assertTrue(caller.is_closed)
            self.assertIn(
                SessionEvent.key_refused,
                [one.event for one in proxy.events.occurrences],
            )

        play(scenario)

    def test_public_route_needs_no_key(self) -> None:
        """Guards against refused callers of a public route."""

        async def scenario(proxy: CustomerFixture) -> None:
            proxy.public = frozenset((OWN,))
            proxy.change(usual_table())
            caller = proxy.connect(OWN)
            answer = await ask(caller, _WRITE)
            self.assertIsInstance(answer.outcome, Completed)

        play(scenario)

    def test_no_key_appears_in_events(self) -> None:
        """Guards against keys in logs, for callers of every kind."""

        async def scenario(proxy: CustomerFixture) -> None:
            caller = proxy.connect(OWN, NORTH_KEY)
            proxy.connect(OWN, 'unknown-key-31')
            proxy.connect('no-such-database', SOUTH_KEY)
            await ask(caller, Commit())
            proxy.change(table(south=(SOUTH_KEY,)))
            await ask(caller, Read(item='x'))
            logged = repr(proxy.events.occurrences)
            self.assertIn(NORTH, logged)
            for key in (NORTH_KEY, SOUTH_KEY, 'unknown-key-31'):
                self.assertNotIn(key, logged)

        play(scenario)


class WithdrawalTest(unittest.TestCase):
    """Keys that are taken away from open sessions."""

    def _check_ends(self, caller: FakeCaller, answer: SessionAnswer) -> None:
        self.assertEqual(code_of(answer), RefusalCode.not_authorized)
        self.assertEqual(answer.phase, Phase.idle)
        self.assertTrue(caller.is_closed)

    def test_resting_session_ends_with_its_next_statement(self) -> None:
        """Guards against a check of the key at the start only."""

        async def scenario(proxy: CustomerFixture) -> None:
            caller = proxy.connect(OWN, NORTH_KEY)
            await ask(caller, _WRITE)
            proxy.change(table(south=(SOUTH_KEY,)))
            self._check_ends(caller, await ask(caller, Read(item='x')))

        play(scenario)

    def test_transaction_is_rolled_back_in_each_phase(self) -> None:
        """Guards against a commit for a customer without a key."""
        for begun in ((Begin(),), (Begin(), _WRITE)):
            for last in (_WRITE, Commit()):

                async def scenario(
                    proxy: CustomerFixture,
                    begun: tuple[CallerStatement, ...] = begun,
                    last: CallerStatement = last,
                ) -> None:
                    caller = proxy.connect(PRIMARY, NORTH_KEY)
                    for statement in begun:
                        await ask(caller, statement)
                    proxy.change(table(south=(SOUTH_KEY,)))
                    self._check_ends(caller, await ask(caller, last))
                    other = proxy.connect(PRIMARY, SOUTH_KEY)
                    answer = await ask(other, Read(item='x'))
                    self.assertIsInstance(answer.outcome, Completed)
                    self.assertNotEqual(answer.rows, ('1',))

                play(scenario)

    def test_statement_that_waits_for_a_connection_does_not_run(self) -> None:
        """Guards against a withdrawal while a statement is in a queue."""

        async def scenario(proxy: CustomerFixture) -> None:
            pools = proxy.pools
            entry = proxy.group.member('a').entry
            held = [
                await pools.acquire(
                    entry, {}, anyio.current_time() + 1, context=_context()
                )
                for _ in range(2 * proxy.share.limit)
            ]
            caller = proxy.connect(PRIMARY, NORTH_KEY)
            caller.send(_WRITE)
            await anyio.sleep(0.05)
            self.assertEqual(caller.answers, [])
            proxy.change(table(south=(SOUTH_KEY,)))
            for pooled in held:
                await pools.release(pooled)
            await anyio.sleep(_STEP_S)
            self._check_ends(caller, caller.answers[-1])
            other = proxy.connect(PRIMARY, SOUTH_KEY)
            answer = await ask(other, Read(item='x'))
            self.assertNotEqual(answer.rows, ('1',))

        play(scenario)

    def test_transaction_that_waits_for_a_connection_does_not_begin(
        self,
    ) -> None:
        """Guards against a transaction that begins without a valid key."""

        async def scenario(proxy: CustomerFixture) -> None:
            pools = proxy.pools
            entry = proxy.group.member('a').entry
            held = [
                await pools.acquire(
                    entry, {}, anyio.current_time() + 1, context=_context()
                )
                for _ in range(2 * proxy.share.limit)
            ]
            caller = proxy.connect(PRIMARY, NORTH_KEY)
            await ask(caller, Begin())
            caller.send(_WRITE)
            await anyio.sleep(0.05)
            proxy.change(table(south=(SOUTH_KEY,)))
            for pooled in held:
                await pools.release(pooled)
            await anyio.sleep(_STEP_S)
            self._check_ends(caller, caller.answers[-1])

        play(scenario)

    def test_statement_is_not_retried_after_the_withdrawal(self) -> None:
        """Guards against a retry with a key that was taken away."""

        async def scenario(proxy: CustomerFixture) -> None:
            proxy.group.member('a').is_down = True
            caller = proxy.connect(PRIMARY, NORTH_KEY)
            caller.send(_WRITE)
            await anyio.sleep(0.05)
            proxy.change(table(south=(SOUTH_KEY,)))
            proxy.group.member('a').is_down = False
            await anyio.sleep(1)
            self.assertNotIsInstance(caller.answers[-1].outcome, Completed)
            other = proxy.connect(PRIMARY, SOUTH_KEY)
            answer = await ask(other, Read(item='x'))
            self.assertNotEqual(answer.rows, ('1',))

        play(scenario)

    def test_one_of_two_keys_is_taken_away(self) -> None:
        """Guards against ending sessions with a key that is still valid."""

        async def scenario(proxy: CustomerFixture) -> None:
            proxy.change(table(north=(NORTH_KEY, 'second')))
            callers = [proxy.connect(OWN, key) for key in (NORTH_KEY, 'second')]
            for caller in callers:
                await ask(caller, _WRITE)
            proxy.change(table(north=('second',)))
            answers = [await ask(caller, _WRITE) for caller in callers]
            self._check_ends(callers[0], answers[0])
            self.assertIsInstance(answers[1].outcome, Completed)

        play(scenario)

    def test_key_that_moved_serves_its_new_customer(self) -> None:
        """Guards against running on as the former customer.

        Its transaction runs on a connection in the former name, so it cannot
        be continued.
        """

        async def scenario(proxy: CustomerFixture) -> None:
            caller = proxy.connect(PRIMARY, NORTH_KEY)
            await ask(caller, Begin())
            await ask(caller, _WRITE)
            proxy.change(table(north=(), south=(NORTH_KEY,)))
            answer = await ask(caller, _WRITE)
            self.assertEqual(code_of(answer), RefusalCode.aborted)
            self.assertEqual(answer.phase, Phase.failed)
            answer = await ask(caller, Rollback())
            self.assertEqual(answer.phase, Phase.idle)
            answer = await ask(caller, _WRITE)
            self.assertIsInstance(answer.outcome, Completed)
            names = {
                pooled.customer
                for link in proxy.pools.links.values()
                for pooled in link.idle
            }
            self.assertIn(SOUTH, names)

        play(scenario)


class LeaseTest(unittest.TestCase):
    """Keys on a proxy that the control hosts do not reach."""

    def test_cut_off_proxy_serves_until_its_lease_ends(self) -> None:
        """Guards against a withdrawal that a cut-off proxy does not see.

        It must not refuse callers before that either.
        """

        async def scenario(proxy: CustomerFixture) -> None:
            proxy.registry.renew(anyio.current_time())
            caller = proxy.connect(OWN, NORTH_KEY)
            await anyio.sleep(_LEASE_S - 1)
            answer = await ask(caller, _WRITE)
            self.assertIsInstance(answer.outcome, Completed)
            await anyio.sleep(1)
            self.assertFalse(proxy.registry.can_admit_keys)
            answer = await ask(caller, _WRITE)
            self.assertEqual(code_of(answer), RefusalCode.busy)
            self.assertFalse(caller.is_closed)
            late = proxy.connect(OWN, NORTH_KEY)
            await anyio.sleep(_STEP_S)
            assert late.refusal is not None
            self.assertEqual(late.refusal.code, RefusalCode.busy)
            proxy.registry.renew(anyio.current_time())
            answer = await ask(caller, _WRITE)
            self.assertIsInstance(answer.outcome, Completed)
            events = [one.event for one in proxy.events.occurrences]
            self.assertEqual(events.count(SessionEvent.key_lease_lost), 1)
            self.assertEqual(events.count(SessionEvent.key_lease_regained), 1)

        play(scenario, key_lease_s=_LEASE_S)

    def test_commit_after_the_end_of_the_lease_is_rolled_back(self) -> None:
        """Guards against a commit that a withdrawal should have prevented."""

        async def scenario(proxy: CustomerFixture) -> None:
            proxy.registry.renew(anyio.current_time())
            await anyio.sleep(_LEASE_S - 1)
            caller = proxy.connect(PRIMARY, NORTH_KEY)
            await ask(caller, Begin())
            caller.send(_WRITE)
            await anyio.sleep(1)
            answer = await ask(caller, Commit())
            self.assertEqual(code_of(answer), RefusalCode.busy)
            self.assertEqual(answer.phase, Phase.idle)
            proxy.registry.renew(anyio.current_time())
            answer = await ask(caller, Read(item='x'))
            self.assertNotEqual(answer.rows, ('1',))

        play(scenario, key_lease_s=_LEASE_S)

    def test_new_process_waits_for_its_first_proof(self) -> None:
        """Guards against keys from the table of a follower after a restart."""

        async def scenario(proxy: CustomerFixture) -> None:
            caller = proxy.connect(OWN, NORTH_KEY)
            await anyio.sleep(_STEP_S)
            self.assertFalse(caller.is_open)
            proxy.registry.renew(anyio.current_time())
            await anyio.sleep(_STEP_S)
            self.assertTrue(caller.is_open)

        play(scenario, key_lease_s=_LEASE_S)


def _context() -> StatementContext:
    return StatementContext(customer=SOUTH)
