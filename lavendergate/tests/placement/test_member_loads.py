"""Tests of the latencies that a proxy measures at members."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
import trio
from trio.testing import MockClock

from lavendergate.controllers.loads import MemberLoads
from lavendergate.core.member_load import MEASURE_INTERVAL_S
from lavendergate.core.types import UpstreamId

MEMBER = UpstreamId('r')


class MemberLoadsTest(unittest.TestCase):
    """Latency of one member over pauses between its reads."""

    def setUp(self) -> None:
        self.loads = MemberLoads()

    def test_outdated_latency_is_replaced(self) -> None:
        """Guards against a failure that keeps reads away for a minute."""

        async def scenario() -> None:
            self.loads.record_failure(MEMBER)
            await anyio.sleep(MEASURE_INTERVAL_S)
            await self._run_statement(0.004)
            self.assertAlmostEqual(self._latency_ms(), 4)
            await self._run_statement(0.014)
            self.assertAlmostEqual(self._latency_ms(), 6)

        _run(scenario)

    def test_one_read_measures_a_member(self) -> None:
        """Guards against many reads at a member whose state is not known."""

        async def scenario() -> None:
            self.loads.set_slots(MEMBER, 2)
            for _ in range(2):
                self.assertTrue(self._is_due())
                self.loads.record_read(MEMBER)
                self.assertFalse(self._is_due())
                await anyio.sleep(MEASURE_INTERVAL_S)

        _run(scenario)

    async def _run_statement(self, duration_s: float) -> None:
        started_at = self.loads.begin_statement(MEMBER)
        await anyio.sleep(duration_s)
        self.loads.end_statement(MEMBER, started_at)

    def _latency_ms(self) -> float:
        return self.loads.by_member[MEMBER].latency_ms

    def _is_due(self) -> bool:
        return self.loads.by_member[MEMBER].is_due(anyio.current_time())


def _run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario in virtual time."""
    trio.run(scenario, clock=MockClock(autojump_threshold=0))
