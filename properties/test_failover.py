"""Random schedules of failover, also with deliberate faults."""

import unittest
from collections.abc import Callable, Iterable, Mapping
from contextlib import AbstractContextManager, nullcontext
from dataclasses import replace
from typing import Any
from unittest import mock

from lavendergate.core import failover_repair, failover_steps
from lavendergate.core.failover_types import (
    Attempt,
    GroupFailover,
    Observed,
    Promoting,
    Step,
)
from lavendergate.core.types import MemberStatus, UpstreamId
from properties.failover_simulation import FailoverSimulation

SCHEDULES = 1_000
FAULT_SCHEDULES = 1_000


def pick_least_advanced(
    event: Observed, attempt: Attempt, fenced: Mapping[UpstreamId, MemberStatus]
) -> UpstreamId:
    """Deliberate fault: pick the least advanced member as candidate."""
    return min(fenced, key=lambda name: fenced[name].last_entry)


def complete_after_one_fence(
    record: object,
    attempt: Attempt,
    fenced: Iterable[UpstreamId],
    *,
    is_wait_over: bool,
) -> bool:
    """Deliberate fault: promote after a single member promised the term."""
    return bool(list(fenced))


def retry_in_same_term(
    state: GroupFailover, phase: Promoting, now: float
) -> Step:
    """Deliberate fault: promote another candidate in the same term.

    The term may have a primary already.
    """
    attempt = replace(phase.attempt, old_primary=phase.candidate)
    return failover_steps.fence_remaining(state, attempt, {}, now)


class FailoverScheduleTest(unittest.TestCase):
    """Acknowledged writes survive, and the group recovers, in each schedule."""

    def test_no_acknowledged_write_is_lost(self) -> None:
        """Guards against lost acknowledged writes and lasting outages."""
        acknowledged = promotions = 0
        for seed in range(SCHEDULES):
            simulation = FailoverSimulation(seed=seed)
            simulation.run()
            self.assertIsNone(simulation.problem, f'seed {seed}')
            acknowledged += simulation.acknowledged
            promotions += simulation.promotions
        self.assertGreater(promotions, 3 * SCHEDULES)
        self.assertGreater(acknowledged, 20 * SCHEDULES)

    def test_candidate_that_lags_is_found(self) -> None:
        """Guards against schedules that never promote a lagging member."""
        self._assert_violation_found(
            _patched('choose_candidate', pick_least_advanced)
        )

    def test_promotion_without_majority_is_found(self) -> None:
        """Guards against schedules in which a majority is always fenced."""
        self._assert_violation_found(
            _patched('fencing_is_complete', complete_after_one_fence)
        )

    def test_second_candidate_in_a_term_is_found(self) -> None:
        """Guards against schedules that lose no answer of a promotion."""
        self._assert_violation_found(
            _patched('promotion_uncertain', retry_in_same_term)
        )

    def test_missing_repair_is_found(self) -> None:
        """Guards against schedules in which no member needs repair."""
        self._assert_violation_found(
            lambda: mock.patch.object(
                failover_repair,
                'repair',
                lambda state, event, now: (state, ()),
            )
        )

    def test_early_acknowledgement_is_found(self) -> None:
        """Guards against schedules whose primaries always replicate."""
        self._assert_violation_found(nullcontext, acknowledges_early=True)

    def test_ignored_fence_is_found(self) -> None:
        """Guards against schedules in which no replaced primary writes."""
        self._assert_violation_found(nullcontext, ignores_fence=True)

    def _assert_violation_found(
        self,
        fault: Callable[[], AbstractContextManager[Any]],
        **options: bool,
    ) -> None:
        with fault():
            for seed in range(FAULT_SCHEDULES):
                simulation = FailoverSimulation(seed=seed, **options)  # type: ignore[arg-type]
                simulation.run()
                if simulation.problem is not None:
                    return
        self.fail(f'no violation in {FAULT_SCHEDULES} schedules with the fault')


def _patched(
    name: str, replacement: Callable[..., Any]
) -> Callable[[], AbstractContextManager[Any]]:
    return lambda: mock.patch.object(failover_steps, name, replacement)
