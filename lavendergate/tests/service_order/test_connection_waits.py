"""Statements that wait for a connection or a turn, and what they leave."""

import unittest

import anyio

from lavendergate.backends.sessions import MemberRefusedError
from lavendergate.controllers.members.turns import NoConnectionError
from lavendergate.core.customers.table import CustomerName
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.service_order.drain import DrainRate
from lavendergate.core.service_order.queue import ServiceQueue
from lavendergate.core.sessions.context import (
    SYSTEM_CONTEXT,
    StatementContext,
)
from lavendergate.core.sessions.shares import ConnectionShare
from lavendergate.core.sessions.state import SessionState
from lavendergate.core.sessions.statements import (
    Begin,
    Read,
    RefusalCode,
    Refused,
)
from lavendergate.filters.sessions.base import CallerSession
from lavendergate.tests.session_fixture import SessionFixture, play

_URGENT = StatementContext(route_priority=0, customer=CustomerName('u'))
_LESS_URGENT = StatementContext(route_priority=2, customer=CustomerName('v'))


async def use(
    proxy: SessionFixture,
    entry: MemberEntry,
    wait_s: float,
    context: StatementContext = SYSTEM_CONTEXT,
) -> float | None:
    """Return how long a statement waited for a connection, in seconds.

    None if it got none in time.
    """
    started_at = anyio.current_time()
    try:
        pooled = await proxy.pools.acquire(
            entry, {}, started_at + wait_s, context=context
        )
    except NoConnectionError:
        return None
    waited_s = anyio.current_time() - started_at
    await pooled.run(Read(item='1'), state=SessionState(), timeout_s=1)
    await anyio.sleep(0.05)
    await proxy.pools.release(pooled)
    return waited_s


class ConnectionWaitTest(unittest.TestCase):
    """A member accepts few connections, and many statements wait for them."""

    def test_waiting_statement_connects_once_the_member_accepts(self) -> None:
        """Guards against a wait until the deadline at an idle member."""

        async def scenario(proxy: SessionFixture) -> None:
            proxy.share = ConnectionShare(limit=4)
            entry = proxy.group.member('b').entry
            dial = proxy.pools._dialer.dial
            full_until = anyio.current_time() + 0.2

            async def refuse(
                member: MemberEntry, context: StatementContext
            ) -> object:
                if anyio.current_time() < full_until:
                    refusal = Refused(code=RefusalCode.connection_limit)
                    raise MemberRefusedError(refusal=refusal)
                return await dial(member, context)

            proxy.pools._dialer.dial = refuse  # type: ignore
            waits: list[float | None] = []

            async def wait_behind_the_first() -> None:
                waits.append(await use(proxy, entry, 2))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(use, proxy, entry, 0.1)
                await anyio.sleep(0.05)
                tasks.start_soon(wait_behind_the_first)
            self.assertIsNotNone(waits[0])
            self.assertLess(waits[0] or 9, 0.6)

        play(scenario)

    def test_urgent_statement_replaces_a_connection_first(self) -> None:
        """Guards against a less urgent statement that takes its place.

        The connection of another customer has to be closed first, and a
        socket takes a moment for that.
        """

        async def scenario(proxy: SessionFixture) -> None:
            proxy.share = ConnectionShare(limit=1)
            entry = proxy.group.member('b').entry
            context = StatementContext(customer=CustomerName('x'))
            pooled = await proxy.pools.acquire(
                entry, {}, anyio.current_time() + 1, context=context
            )
            await pooled.run(Read(item='1'), state=SessionState(), timeout_s=1)
            close = pooled.session.close

            async def close_slowly() -> None:
                await anyio.sleep(0.002)
                await close()

            pooled.session.close = close_slowly  # type: ignore[method-assign]
            order: list[str] = []

            async def run(name: str, priority: int) -> None:
                context = StatementContext(
                    route_priority=priority, customer=CustomerName(name)
                )
                await use(proxy, entry, 2, context)
                order.append(name)

            async with anyio.create_task_group() as tasks:
                for name, priority in (('low', 2), ('low2', 2), ('urgent', 0)):
                    tasks.start_soon(run, name, priority)
                    await anyio.sleep(0.001)
                await proxy.pools.release(pooled)
            self.assertEqual('urgent', order[0])

        play(scenario)

    def test_rollback_without_a_turn_leaves_no_connection(self) -> None:
        """Guards against transactions that stay open at a silent member."""

        async def scenario(proxy: SessionFixture) -> None:
            proxy.share = ConnectionShare(limit=8, statements=1)
            entry = proxy.group.member('a').entry
            soon = anyio.current_time() + 1
            left = await proxy.pools.acquire(entry, {}, soon)
            begin = Begin(read_only=False)
            await left.run(begin, state=SessionState(), timeout_s=1)
            # It keeps the only turn, as a statement without an answer does.
            silent = await proxy.pools.acquire(entry, {}, soon)
            session = CallerSession(database='')
            await proxy.transactions._roll_back(left, session)
            self.assertEqual(1, left.link.opened)
            await proxy.pools.release(silent)
            self.assertEqual(1, len(left.link.idle))
            self.assertEqual(0, left.link.turns.running)

        play(scenario)


class PredictedWaitTest(unittest.TestCase):
    """Statements are refused by the predicted wait, so it must not be high."""

    def test_turns_without_a_backlog_say_nothing_about_shares(self) -> None:
        """Guards against refusing less urgent statements at a free member."""
        queue = ServiceQueue(limit=4)
        for step in range(100):
            self.assertTrue(queue.try_start(_URGENT))
            queue.finish(step / 10)
        for _ in range(4):
            queue.try_start(_URGENT)
        wait_s = queue.expected_wait_s(_LESS_URGENT, 0.04, 10)
        self.assertLessEqual(wait_s, 0.0101)

    def test_urgent_backlog_delays_by_the_turns_it_gets(self) -> None:
        """Guards against counting waiting urgent statements twice."""
        queue = ServiceQueue(limit=1)
        queue.try_start(_URGENT)
        for _ in range(40):
            queue.enqueue(is_new=True, deadline=9, context=_URGENT)
        for step in range(30):
            queue.finish(step * 0.02)
            queue.take_next()
        wait_s = queue.expected_wait_s(_LESS_URGENT, 0.02, 0.6)
        self.assertLessEqual(wait_s, 8 * 0.02 + 0.001)

    def test_pace_of_an_earlier_backlog_is_forgotten(self) -> None:
        """Guards against predictions from a fault that is long over."""
        drain = DrainRate()
        for step in range(20):
            drain.record_end(step * 0.9, is_backlogged=True)
        drain.record_end(18.5, is_backlogged=False)
        drain.record_end(3600, is_backlogged=True)
        drain.record_end(3600.01, is_backlogged=True)
        self.assertEqual(0.005, drain.interval_s(3600.02, 0.005))


if __name__ == '__main__':
    unittest.main()
