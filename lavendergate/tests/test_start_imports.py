"""Tests of the modules that the roles import before they serve.

Imports take most of the start time, and after a power failure callers wait
for the slowest role.
"""

import subprocess
import sys
import unittest

_PRINT_MODULES = 'import sys, {module}; print(" ".join(sys.modules))'


def imported_by(module: str) -> set[str]:
    """Return all modules that are loaded by importing a module."""
    process = subprocess.run(
        [sys.executable, '-c', _PRINT_MODULES.format(module=module)],
        capture_output=True,
        check=True,
        text=True,
    )
    return set(process.stdout.split())


class StartTest(unittest.TestCase):
    """Modules that are loaded before a role serves."""

    def test_control_answers_proxies_before_it_imports_the_rest(self) -> None:
        """Guards against a late start of routing after a power failure.

        Control hosts used to answer only 0.6 s to 1.0 s after power-on,
        later than all other roles (measured in run scale-2).
        """
        loaded = imported_by('lavendergate.daemon.hosted_control')
        deferred = {
            'h11',
            'prometheus_client',
            'lavendergate.controllers.takeover',
            'lavendergate.rpc.messages',
        }
        self.assertEqual(loaded & deferred, set())

    def test_proxy_does_not_import_modules_of_other_daemons(self) -> None:
        """Guards against a slower start by imports for other daemons.

        The proxy on the hosting platform needs neither the RPC messages of
        the MySQL daemon nor the control node.
        """
        loaded = imported_by('lavendergate.daemon.hosted_proxy')
        unneeded = {
            'lavendergate.rpc.messages',
            'lavendergate.core.reports',
            'lavendergate.controllers.control_node',
        }
        self.assertEqual(loaded & unneeded, set())
