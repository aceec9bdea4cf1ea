"""Tests of what the roles import before they answer.

Imports take most of a start, and after a loss of power callers wait for the
slowest role.
"""

import subprocess
import sys
import unittest

_SHOW = 'import sys, {module}; print(" ".join(sys.modules))'


def imported_by(module: str) -> set[str]:
    """Return what a process holds once it has imported a module."""
    shown = subprocess.run(
        [sys.executable, '-c', _SHOW.format(module=module)],
        capture_output=True,
        check=True,
        text=True,
    )
    return set(shown.stdout.split())


class StartTest(unittest.TestCase):
    """What is imported before the first answer."""

    def test_control_answers_proxies_before_it_imports_the_rest(self) -> None:
        """Guards against routes that come late after a loss of power.

        Control hosts answered 0.6 s to 1.0 s after they had power, the last
        of all roles (scale-2 of glasrunde-by).
        """
        loaded = imported_by('lavendergate.daemon.hosted_control')
        later = {
            'h11',
            'prometheus_client',
            'lavendergate.controllers.takeover',
            'lavendergate.rpc.messages',
        }
        self.assertEqual(loaded & later, set())

    def test_proxy_does_not_import_what_other_daemons_say(self) -> None:
        """Guards against messages of the door for MySQL in each start."""
        loaded = imported_by('lavendergate.daemon.hosted_proxy')
        other = {
            'lavendergate.rpc.messages',
            'lavendergate.core.reports',
            'lavendergate.controllers.control_node',
        }
        self.assertEqual(loaded & other, set())
