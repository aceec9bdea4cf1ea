"""Statements that wait for turns and connections at members in memory."""

import unittest

import anyio

from lavendergate.controllers.members.turns import NoTimeError
from lavendergate.controllers.waiters import OrderedWait
from lavendergate.core.service_order.fair_share import Ticket
from lavendergate.core.sessions.context import StatementContext
from lavendergate.core.sessions.lag_backoff import LagBackoff
from lavendergate.core.sessions.shares import ConnectionShare
from lavendergate.core.types import UpstreamId
from lavendergate.tests.session_fixture import SessionFixture, play

URGENT = StatementContext(route_priority=0)
LEAST = StatementContext(route_priority=2)
_LIMIT_S = 1.0
_HELD_S = 0.01


class ConnectionTest(unittest.TestCase):
    """One connection to a member, and many statements that need it."""

    def test_urgent_statement_gets_the_next_connection(self) -> None:
        """Load: 20 of the least urgent class wait before an urgent one.

        Guards against a race of all waiting statements for each connection.
        """

        async def scenario(proxy: SessionFixture) -> None:
            proxy.share = ConnectionShare(limit=1)
            served: list[StatementContext] = []
            entry = proxy.group.member('b').entry

            async def use(context: StatementContext) -> None:
                deadline = anyio.current_time() + _LIMIT_S
                pooled = await proxy.pools.acquire(
                    entry, {}, deadline, context=context
                )
                served.append(context)
                await anyio.sleep(_HELD_S)
                await proxy.pools.release(pooled)

            async with anyio.create_task_group() as tasks:
                for _ in range(20):
                    tasks.start_soon(use, LEAST)
                await anyio.sleep(_HELD_S / 2)
                tasks.start_soon(use, URGENT)
            self.assertEqual(len(served), 21)
            self.assertEqual(served[1], URGENT)

        play(scenario)

    def test_cancelled_statement_does_not_keep_the_connection(self) -> None:
        """Load: callers leave at the moment in which it is their turn.

        Guards against an idle connection for which statements still wait.
        """

        async def scenario(proxy: SessionFixture) -> None:
            proxy.share = ConnectionShare(limit=1)
            entry = proxy.group.member('b').entry
            held = await proxy.pools.acquire(entry, {}, _LIMIT_S)
            scopes: list[anyio.CancelScope] = []
            served: set[int] = set()

            async def use(number: int) -> None:
                with anyio.CancelScope() as scope:
                    scopes.append(scope)
                    pooled = await proxy.pools.acquire(entry, {}, _LIMIT_S)
                    served.add(number)
                    await proxy.pools.release(pooled)

            async with anyio.create_task_group() as tasks:
                for number in range(3):
                    tasks.start_soon(use, number)
                    await anyio.sleep(_HELD_S)
                await proxy.pools.release(held)
                scopes[0].cancel()
            self.assertLessEqual({1, 2}, served)
            self.assertLess(anyio.current_time(), _LIMIT_S / 2)

        play(scenario)

    def test_woken_task_that_is_cancelled_wakes_the_next(self) -> None:
        """Guards against a notification that is lost with its task."""

        async def scenario(proxy: SessionFixture) -> None:
            wait = OrderedWait()
            scopes: list[anyio.CancelScope] = []
            woken = 0

            async def stay() -> None:
                nonlocal woken
                ticket = Ticket(deadline=1, context=URGENT)
                with anyio.CancelScope() as scope:
                    scopes.append(scope)
                    await wait.wait(ticket, _LIMIT_S)
                    woken += anyio.current_time() < _LIMIT_S

            async with anyio.create_task_group() as tasks:
                for _ in range(2):
                    tasks.start_soon(stay)
                    await anyio.sleep(_HELD_S)
                wait.notify()
                scopes[0].cancel()
            self.assertEqual(woken, 1)

        play(scenario)


class RefusalTest(unittest.TestCase):
    """Statements for which a member has no room in time."""

    def test_refusal_comes_at_once_with_a_time_to_return(self) -> None:
        """Load: 50 statements wait for a member with one slot.

        Guards against a statement that waits for a refusal that is known.
        """

        async def scenario(proxy: SessionFixture) -> None:
            link = proxy.pools.link(proxy.group.member('b').entry)
            link.turns.limit = 1
            await link.take_turn(is_new=True, deadline=1, context=LEAST)
            for _ in range(50):
                link.turns.enqueue(is_new=True, deadline=9, context=LEAST)
            with self.assertRaises(NoTimeError) as caught:
                await link.take_turn(is_new=True, deadline=1, context=LEAST)
            self.assertEqual(anyio.current_time(), 0)
            refusal = caught.exception.refusal
            self.assertGreater(refusal.retry_after_s, 1)
            self.assertIn('50 statements go before it', refusal.text)
            self.assertIn('retry in', refusal.text)

        play(scenario)


class LagBackoffTest(unittest.TestCase):
    """Replicas that are far behind, in front of many reads."""

    def test_lagging_replica_is_asked_less_and_less(self) -> None:
        """Load: reads that no replica has caught up for.

        Guards against refusals of lagging replicas that take the turns of
        reads they could serve.
        """
        backoff = LagBackoff()
        replica = UpstreamId('b')
        asked = 0
        for step in range(100):
            now = step / 100
            if backoff.may_ask(replica, now):
                asked += 1
                backoff.record(replica, now)
        self.assertEqual(asked, 4)
        self.assertTrue(backoff.may_ask(UpstreamId('c'), 0))
