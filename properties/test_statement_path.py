"""Differential test of the statement path against a naive proxy."""

import unittest

from properties.naive_proxy import NaiveProxyDecisions
from properties.proxy_decisions import ProxyDecisions
from properties.statement_faults import FAULTS
from properties.statement_model import StatementModel

_STEPS = 800
_HISTORIES = 600
_NAIVE_HISTORIES = 200
_FAULT_HISTORIES = 1500


def _first_violation(decisions: ProxyDecisions, seed: int) -> str | None:
    violations = StatementModel(decisions, seed).run(_STEPS)
    return violations[0] if violations else None


class StatementPathTest(unittest.TestCase):
    """Invariants of random histories with lag, loss and failovers."""

    def test_invariants_hold(self) -> None:
        """Guards against writes that are lost, doubled, mixed or not read."""
        for seed in range(_HISTORIES):
            with self.subTest(seed=seed):
                self.assertIsNone(_first_violation(ProxyDecisions(), seed))

    def test_histories_are_eventful(self) -> None:
        """Guards against histories with hardly any writes or promotions."""
        models = [StatementModel(ProxyDecisions(), seed) for seed in range(20)]
        for model in models:
            model.run(_STEPS)
        acknowledged = sum(model.acknowledged_writes for model in models)
        terms = sum(model.term for model in models)
        self.assertGreater(acknowledged, 20 * 5)
        self.assertGreater(terms, 20 * 2)

    def test_naive_version_breaks_the_invariants(self) -> None:
        """Guards against a model in which a naive proxy keeps an invariant."""
        found = {
            violation.partition(':')[0]
            for seed in range(_NAIVE_HISTORIES)
            for violation in StatementModel(NaiveProxyDecisions(), seed).run(
                _STEPS, stop_at_violation=False
            )
        }
        guarded = {'I1', 'I2', 'I3', 'I4', 'I5', 'I6', 'I10'}
        self.assertLessEqual(guarded | {'fresh', 'stated age'}, found)

    def test_each_fault_is_detected(self) -> None:
        """Guards against checks that pass with a faulty decision."""
        for fault, expected in FAULTS:
            with self.subTest(fault=fault.__name__):
                found = any(
                    (_first_violation(fault(), seed) or '').startswith(expected)
                    for seed in range(_FAULT_HISTORIES)
                )
                self.assertTrue(found)
