"""Tests of the latencies that a proxy measures at members."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
import trio
from trio.testing import MockClock

from lavendergate.controllers.loads import MemberLoads
from lavendergate.core.ejection import (
    LOWEST_PERIOD_S,
    MIN_SAMPLES,
    SLOW_EVALUATIONS,
    RecentLowest,
)
from lavendergate.core.member_load import MEASURE_INTERVAL_S
from lavendergate.core.types import (
    LOG_START,
    FailureDomain,
    GroupId,
    GroupView,
    MemberRole,
    MemberStatus,
    MemberView,
    Region,
    Term,
    UpstreamId,
)

MEMBER = UpstreamId('r')
PRIMARY, NEAR, FAR = (UpstreamId(name) for name in ('p', 'near', 'far'))
NEAR_MS, WAY_MS = 4, 40
EJECTION_FACTOR = 4


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

    def test_silent_member_is_measured_less_and_less(self) -> None:
        """Guards against a read every 5 s that lasts until its deadline."""

        async def scenario() -> None:
            for expected_s in (10, 20, 40, 80, 80):
                self.loads.record_read(MEMBER)
                self.loads.record_failure(MEMBER)
                await anyio.sleep(expected_s - 0.1)
                self.assertFalse(self._is_due())
                await anyio.sleep(0.1)
                self.assertTrue(self._is_due())
            self.loads.record_read(MEMBER)
            self.loads.record_answer(MEMBER)
            await anyio.sleep(MEASURE_INTERVAL_S)
            self.assertTrue(self._is_due())

        _run(scenario)

    async def _run_statement(self, duration_s: float) -> None:
        started_at = self.loads.begin_statement(MEMBER)
        await anyio.sleep(duration_s)
        self.loads.end_statement(MEMBER, started_at)

    def _latency_ms(self) -> float:
        return self.loads.by_member[MEMBER].latency_ms

    def _is_due(self) -> bool:
        return self.loads.by_member[MEMBER].is_due(anyio.current_time())


class EjectionTest(unittest.TestCase):
    """Ejection of a replica in another region than the proxy."""

    def test_long_way_does_not_make_a_replica_slow(self) -> None:
        """Guards against ejecting a healthy replica for its distance."""
        self.assertFalse(self._is_ejected(FAR, far_ms=NEAR_MS + WAY_MS))

    def test_slow_replica_at_the_end_of_a_long_way(self) -> None:
        """Guards against a distance that excuses any latency."""
        self.assertTrue(self._is_ejected(FAR, far_ms=3 * WAY_MS))

    def test_slow_replica_near_the_proxy(self) -> None:
        """Guards against taking a slow replica for a distant one."""
        self.assertTrue(
            self._is_ejected(NEAR, far_ms=NEAR_MS + WAY_MS, near_ms=WAY_MS)
        )

    def test_lowest_latency_is_forgotten(self) -> None:
        """Guards against a distance measured before a member moved."""
        lowest = RecentLowest(started_at=0)
        for now, latency_ms, expected_ms in (
            (0, 4, 4),
            (LOWEST_PERIOD_S, 44, 4),
            (2 * LOWEST_PERIOD_S - 1, 45, 4),
            (2 * LOWEST_PERIOD_S, 46, 44),
        ):
            lowest.record(latency_ms, now)
            self.assertEqual(lowest.value_ms, expected_ms)

    def _is_ejected(
        self, replica: UpstreamId, *, far_ms: int, near_ms: int = NEAR_MS
    ) -> bool:
        """Evaluate reads of the given latencies after ordinary ones."""
        loads = MemberLoads()

        async def scenario() -> None:
            await _read_and_evaluate(loads, NEAR_MS, NEAR_MS + WAY_MS)
            await _read_and_evaluate(loads, near_ms, far_ms)

        _run(scenario)
        return loads.by_member[replica].is_ejected


async def _read_and_evaluate(
    loads: MemberLoads, near_ms: int, far_ms: int
) -> None:
    view = GroupView(
        group_id=GroupId('g'),
        term=Term(1),
        primary=PRIMARY,
        member_ids=frozenset((PRIMARY, NEAR, FAR)),
        members=(
            _member(PRIMARY, 'here'),
            _member(NEAR, 'here'),
            _member(FAR, 'there'),
        ),
        term_history=(),
    )
    latencies = {PRIMARY: NEAR_MS, NEAR: near_ms, FAR: far_ms}
    for _ in range(SLOW_EVALUATIONS):
        for upstream_id, latency_ms in latencies.items():
            for _ in range(MIN_SAMPLES):
                started_at = loads.begin_statement(upstream_id)
                await anyio.sleep(latency_ms / 1000)
                loads.end_statement(upstream_id, started_at)
        loads.evaluate_ejection(
            view, factor=EJECTION_FACTOR, region=Region('here')
        )


def _member(upstream_id: UpstreamId, region: str) -> MemberView:
    return MemberView(
        upstream_id=upstream_id,
        group_id=GroupId('g'),
        region=Region(region),
        failure_domain=FailureDomain(region),
        host='127.0.0.1',
        port=3306,
        connection_limit=16,
        slots=2,
        leaving=False,
        status=MemberStatus(
            promised_term=Term(1),
            last_entry=LOG_START,
            role=MemberRole.replica,
            primary_contact_ms=0,
            applied_age_ms=0,
            connections=1,
        ),
        observed_at=0,
    )


def _run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario in virtual time."""
    trio.run(scenario, clock=MockClock(autojump_threshold=0))
