"""Random schedules of failover."""

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


def pick_least(
    event: Observed, attempt: Attempt, fenced: Mapping[UpstreamId, MemberStatus]
) -> UpstreamId:
    """Pick the least advanced member."""
    return min(fenced, key=lambda name: fenced[name].last_entry)


def one_is_enough(
    record: object,
    attempt: Attempt,
    fenced: Iterable[UpstreamId],
    *,
    is_wait_over: bool,
) -> bool:
    """Promote after a single promise."""
    return bool(list(fenced))


def retry_in_same_term(
    state: GroupFailover, phase: Promoting, now: float
) -> Step:
    """Promote another candidate in a term that may have a primary."""
    attempt = replace(phase.attempt, old_primary=phase.candidate)
    return failover_steps.fence_remaining(state, attempt, {}, now)


class FailoverScheduleTest(unittest.TestCase):
    """Acknowledged writes in random schedules."""

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
        self._find(_patched('choose_candidate', pick_least))

    def test_promotion_without_majority_is_found(self) -> None:
        """Guards against schedules in which a majority is always fenced."""
        self._find(_patched('fencing_is_complete', one_is_enough))

    def test_second_candidate_in_a_term_is_found(self) -> None:
        """Guards against schedules that never lose a promotion's answer."""
        self._find(_patched('promotion_uncertain', retry_in_same_term))

    def test_missing_repair_is_found(self) -> None:
        """Guards against schedules after which no member needs repair."""
        self._find(
            lambda: mock.patch.object(
                failover_repair,
                'repair',
                lambda state, event, now: (state, ()),
            )
        )

    def test_early_acknowledgement_is_found(self) -> None:
        """Guards against schedules whose primaries always replicate."""
        self._find(nullcontext, acknowledges_early=True)

    def test_ignored_fence_is_found(self) -> None:
        """Guards against schedules in which no replaced primary writes."""
        self._find(nullcontext, ignores_fence=True)

    def _find(
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
        self.fail('the deliberate fault was not found')


def _patched(
    name: str, replacement: Callable[..., Any]
) -> Callable[[], AbstractContextManager[Any]]:
    return lambda: mock.patch.object(failover_steps, name, replacement)
