"""Tests of the connection pool, retries and ejection."""

import unittest

from lavendergate.core.ejection import (
    EjectionState,
    LatencySample,
    evaluate_ejections,
)
from lavendergate.core.pool import (
    Assign,
    Close,
    ConnectionId,
    MemberPool,
    Open,
    OwnerId,
    PoolSettings,
)
from lavendergate.core.retries import (
    Failure,
    RetryBudget,
    backoff_ms,
    failure_of_code,
    may_retry,
)
from lavendergate.core.types import UpstreamId

_A, _B = OwnerId(1), OwnerId(2)
_FIRST, _SECOND = ConnectionId(1), ConnectionId(2)


class PoolTest(unittest.TestCase):
    """Connections of a pool within its share."""

    def setUp(self) -> None:
        """Create a pool with one connection in use by the first owner."""
        settings = PoolSettings(min_open=1, idle_s=30)
        self.pool = MemberPool(share=2, settings=settings)
        self.assertEqual((Open(connection_id=_FIRST),), self.pool.acquire(_A))
        assigned = Assign(owner_id=_A, connection_id=_FIRST)
        self.assertEqual((assigned,), self.pool.opened(_FIRST, 0))

    def test_closing_connections_count(self) -> None:
        """Guards against exceeding the connection limit during a close.

        A connection that is being closed still counts on the member.
        """
        self.pool.change_share(1)
        self.assertEqual((), self.pool.acquire(_B))
        closing = Close(connection_id=_FIRST)
        self.assertEqual((closing,), self.pool.retire(_FIRST))
        self.assertEqual(1, self.pool.open_connections)
        opening = Open(connection_id=_SECOND)
        self.assertEqual((opening,), self.pool.closed(_FIRST))

    def test_late_release_by_a_former_owner(self) -> None:
        """Guards against two transactions on one connection.

        The former owner releases a connection again that was assigned to
        the next owner in the meantime.
        """
        handed_over = Assign(owner_id=_B, connection_id=_FIRST)
        self.pool.acquire(_B)
        self.assertEqual(
            (handed_over,),
            self.pool.release(_FIRST, _A, 1),
        )
        closing = (Close(connection_id=_FIRST),)
        self.assertEqual(closing, self.pool.release(_FIRST, _A, 2))

    def test_idle_connections_close(self) -> None:
        """Guards against idle connections that stay open for no use."""
        self.pool.acquire(_B)
        self.pool.opened(_SECOND, 0)
        self.pool.release(_FIRST, _A, 1)
        self.pool.release(_SECOND, _B, 2)
        self.assertEqual((), self.pool.tick(30))
        closing = (Close(connection_id=_FIRST),)
        self.assertEqual(closing, self.pool.tick(100))
        self.assertEqual((), self.pool.tick(200))
        shrunk = (Close(connection_id=_SECOND),)
        self.assertEqual(shrunk, self.pool.change_share(0))

    def test_failed_opening_is_repeated(self) -> None:
        """Guards against an owner that waits forever after a failed opening."""
        self.pool.acquire(_B)
        self.assertEqual((), self.pool.closed(_SECOND))
        again = Open(connection_id=ConnectionId(3))
        self.assertEqual((again,), self.pool.tick(1))
        self.assertEqual(2, self.pool.wanted_connections)
        self.assertTrue(self.pool.cancel(_B))
        self.assertFalse(self.pool.cancel(_B))


class RetryTest(unittest.TestCase):
    """Retryable failures, retry budget and backoff."""

    def test_unknown_writes_are_not_repeated(self) -> None:
        """Guards against executing a write twice."""
        cases = (
            (Failure.lost_answer, False, False, False),
            (Failure.lost_answer, True, False, True),
            (Failure.refused, False, False, True),
            (Failure.refused, True, True, False),
            (failure_of_code(1290), False, False, True),
            (failure_of_code(2013), False, False, False),
            (failure_of_code(1064), True, False, False),
        )
        for failure, idempotent, in_transaction, expected in cases:
            with self.subTest(failure=failure, idempotent=idempotent):
                allowed = may_retry(
                    failure,
                    is_idempotent=idempotent,
                    has_transaction=in_transaction,
                )
                self.assertIs(expected, allowed)

    def test_budget(self) -> None:
        """Guards against retries that multiply the load of a failure."""
        budget = RetryBudget(percent=10, updated_at=0)
        retries = 0
        for step in range(10_000):
            budget.record_request(step / 1000)
            retries += budget.try_retry(step / 1000)
        self.assertAlmostEqual(1000, retries, delta=5)
        retries = sum(budget.try_retry(10 + tick / 10) for tick in range(100))
        self.assertAlmostEqual(10, retries, delta=1)

    def test_backoff(self) -> None:
        """Guards against synchronized retries and an unbounded backoff."""
        self.assertEqual(
            [5, 10, 500],
            [
                backoff_ms(*case)
                for case in (
                    (1, 0.5),
                    (2, 0.5),
                    (50, 1.0),
                )
            ],
        )


class EjectionTest(unittest.TestCase):
    """Ejection of slow members."""

    def _evaluate(
        self,
        state: EjectionState,
        latencies: dict[str, float],
        now: float,
    ) -> EjectionState:
        samples = {
            UpstreamId(name): LatencySample(median_ms=latency, count=20)
            for name, latency in latencies.items()
        }
        replicas = frozenset((UpstreamId('r1'), UpstreamId('r2')))
        return evaluate_ejections(
            state, samples, now, replicas=replicas, factor=4
        )

    def test_hysteresis_and_return(self) -> None:
        """Guards against ejecting a member for a single slow evaluation."""
        slow = {'p': 2.0, 'r1': 30.0, 'r2': 2.0}
        state = EjectionState()
        for now in range(3):
            self.assertFalse(state.ejected)
            state = self._evaluate(state, slow, now)
        self.assertEqual({'r1'}, state.ejected)
        state = self._evaluate(state, {'p': 2, 'r2': 2}, 6)
        self.assertEqual({'r1'}, state.ejected)
        state = self._evaluate(state, {'p': 2, 'r2': 2}, 7)
        self.assertFalse(state.ejected)

    def test_never_all(self) -> None:
        """Guards against ejecting all replicas."""
        state = EjectionState()
        for now in range(40):
            slow = {'p': 2.0, 'r1': 30.0, 'r2': 40.0}
            state = self._evaluate(state, slow, now)
            self.assertLess(len(state.ejected), 2)
