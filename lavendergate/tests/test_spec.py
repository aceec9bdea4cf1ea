"""Verification of the Promela models with spin."""

import unittest

from spec.check import check_model


class SpecificationTest(unittest.TestCase):
    """Each model has its properties, and each deliberate fault breaks one."""

    def test_failover(self) -> None:
        """Guards against losing acknowledged writes by a promotion."""
        self._check('failover')

    def test_settings(self) -> None:
        """Guards against settings changes that are applied twice or lost."""
        self._check('settings')

    def test_log_reconfiguration(self) -> None:
        """Guards against losing entries when a control host is replaced."""
        self._check('log_reconfiguration')

    def _check(self, model: str) -> None:
        for run in check_model(model):
            self.assertTrue(run.is_expected, run.line())
