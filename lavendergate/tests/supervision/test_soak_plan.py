"""Tests of the plans of the soak."""

import subprocess
import sys
import unittest

from faults.soak_plan import make_plan

_SEEDS = range(50)


class SoakPlanTest(unittest.TestCase):
    """Plans of seeds."""

    def test_plan_is_the_same_in_another_process(self) -> None:
        """Guards against a failing seed that cannot be played again."""
        printed = subprocess.run(
            [sys.executable, '-m', 'faults.soak', '--plan', '7'],
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertEqual(printed.stdout.strip(), str(make_plan(7)))

    def test_one_proxy_is_left_alone(self) -> None:
        """Guards against a soak whose callers beside are judged nowhere."""
        for seed in _SEEDS:
            plan = make_plan(seed)
            self.assertNotIn(f'proxy-{plan.proxies}', plan.disturbed)

    def test_each_kind_of_step_is_played(self) -> None:
        """Guards against a kind of disturbance that no seed holds."""
        kinds = {step.kind for seed in _SEEDS for step in make_plan(seed).steps}
        self.assertEqual(len(kinds), 10)
