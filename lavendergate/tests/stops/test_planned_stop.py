"""Tests of planned stops with open transactions, at each millisecond."""

import unittest
from collections.abc import Awaitable, Callable

import anyio

from lavendergate.core.sessions.statements import (
    Begin,
    CallerStatement,
    Commit,
    RefusalCode,
    Refused,
    Rollback,
    Write,
)
from lavendergate.frontend.planned_stop import EXIT_MARGIN_S, PlannedStop
from lavendergate.observability.log import MemoryEventLog
from lavendergate.supervision.boundary import Boundary
from lavendergate.tests.relay_fixture import RelayFixture
from lavendergate.tests.relay_fixture import play as play_relays
from lavendergate.tests.session_fixture import PRIMARY
from lavendergate.tests.test_relays import caller as relayed_caller
from lavendergate.tests.test_relays import code
from lavendergate.tests.test_session_service import (
    FakeCaller,
    ServiceFixture,
    play,
)

_GRACE_S = 6.0
_STATEMENT_S = 0.15
_PAUSE_S = 0.2
# One statement and the pause after it, in milliseconds.
_CYCLE_MS = 350
_WRITES = 40
# Time for statements that were on their way when transactions ended.
_ON_THE_WAY_S = 0.03
_MARGIN_S = 0.01


class TransactingCaller:
    """Sends the statements of one long transaction with pauses."""

    def __init__(self, *, channel: FakeCaller) -> None:
        self._channel = channel
        self.sent_at: list[float] = []

    @property
    def answered(self) -> int:
        """Number of answers."""
        return len(self._channel.answers)

    async def run(self) -> None:
        """Send statements until the session ends or refuses one."""
        statements: list[CallerStatement] = [Begin()]
        statements += [
            Write(item='x', content=str(step)) for step in range(_WRITES)
        ]
        for statement in statements:
            self._channel.send(statement)
            self.sent_at.append(anyio.current_time())
            while self.answered < len(self.sent_at):
                if self._channel.is_closed:
                    return
                await anyio.sleep(_MARGIN_S)
            if isinstance(self._channel.answers[-1].outcome, Refused):
                return
            await anyio.sleep(_PAUSE_S)
            if self._channel.is_closed:
                return


class PlannedStopTest(unittest.TestCase):
    """Transactions that are open when the host is stopped."""

    def _stop_at(
        self,
        moment_s: float,
        check: Callable[
            [ServiceFixture, TransactingCaller, float], Awaitable[None]
        ],
    ) -> None:
        async def scenario(proxy: ServiceFixture) -> None:
            proxy.group.member('a').statement_s = _STATEMENT_S
            caller = TransactingCaller(channel=proxy.connect(PRIMARY))
            proxy.tasks.start_soon(caller.run)
            await anyio.sleep(2 + moment_s)
            home = RelayFixture(tasks=proxy.tasks, proxies=1).proxies[0].home
            began_at = anyio.current_time()
            await PlannedStop(
                sessions=proxy.service,
                home=home,
                grace_s=_GRACE_S,
                boundary=Boundary(events=MemoryEventLog()),
            ).run()
            await check(proxy, caller, began_at)

        play(scenario)

    def test_no_statement_is_cut_whenever_the_host_is_stopped(self) -> None:
        """Guards against transactions that go on until the process exits."""

        async def check(
            proxy: ServiceFixture, caller: TransactingCaller, began_at: float
        ) -> None:
            elapsed_s = anyio.current_time() - began_at
            half_s = _GRACE_S / 2
            self.assertLess(elapsed_s, half_s + _STATEMENT_S + 2 * _PAUSE_S)
            last_run = proxy.group.member('a').executions[-1].statement
            self.assertIsInstance(last_run, Rollback | Write)
            late = [
                sent_at
                for number, sent_at in enumerate(caller.sent_at)
                if sent_at > began_at + half_s + _STATEMENT_S + _ON_THE_WAY_S
                and number < caller.answered
            ]
            self.assertFalse(late)
            cut = [
                sent_at
                for sent_at in caller.sent_at[caller.answered :]
                if sent_at < began_at + half_s
            ]
            self.assertFalse(cut)
            self.assertFalse(proxy.group.member('a').log)

        for moment_ms in range(_CYCLE_MS):
            with self.subTest(moment_ms=moment_ms):
                self._stop_at(moment_ms / 1000, check)

    def test_a_statement_that_outlasts_the_grace_period_is_answered(
        self,
    ) -> None:
        """Guards against a connection that breaks off at the exit."""

        async def scenario(proxy: ServiceFixture) -> None:
            proxy.timeout_ms = 20_000
            proxy.publish(2)
            caller = proxy.connect(PRIMARY)
            caller.send(Begin())
            caller.send(Write(item='x', content='1'))
            await anyio.sleep(0.5)
            single = proxy.connect(PRIMARY)
            proxy.group.member('a').statement_s = 100
            single.send(Write(item='y', content='1'))
            caller.send(Commit())
            home = RelayFixture(tasks=proxy.tasks, proxies=1).proxies[0].home
            began_at = anyio.current_time()
            await PlannedStop(
                sessions=proxy.service,
                home=home,
                grace_s=_GRACE_S,
                boundary=Boundary(events=MemoryEventLog()),
            ).run()
            self.assertLessEqual(
                anyio.current_time() - began_at,
                _GRACE_S - EXIT_MARGIN_S + _MARGIN_S,
            )
            for channel in (caller, single):
                outcome = channel.answers[-1].outcome
                assert isinstance(outcome, Refused)
                self.assertEqual(outcome.code, RefusalCode.unknown)
                self.assertTrue(channel.is_closed)

        play(scenario)

    def test_relayed_transaction_ends_after_its_running_statement(
        self,
    ) -> None:
        """Guards against a home whose transactions go on until its exit."""

        async def scenario(fleet: RelayFixture) -> None:
            home = fleet.home_of('a').home
            proxy = fleet.others('a')[0]
            session = relayed_caller()
            await proxy.send(session, Begin())
            await proxy.send(session, Write(item='x', content='1'))
            fleet.group.member('a').statement_s = _STATEMENT_S
            home.stop()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    proxy.send, session, Write(item='x', content='2')
                )
                await anyio.sleep(_STATEMENT_S / 2)
                await home.end_transactions(Boundary(events=MemoryEventLog()))
                self.assertFalse(home.is_idle)
            await anyio.sleep(_STATEMENT_S)
            self.assertTrue(home.is_idle)
            answer = await proxy.send(session, Write(item='x', content='3'))
            self.assertEqual(code(answer), RefusalCode.aborted)

        play_relays(scenario)
