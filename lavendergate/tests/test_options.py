"""Tests of the daemon's options."""

import unittest

from result import Err, Ok

from lavendergate.daemon.options import read_options

FLAGS = {
    'host_id': 'entry-1',
    'roles': 'proxy,control',
    'region': 'franken',
    'failure_domain': 'nue-sued',
    'listen': '127.0.0.1:6033',
    'rpc_listen': '127.0.0.1:7033',
    'control': '127.0.0.1:7033,127.0.0.1:7034',
    'data_directory': 'data',
}
ENVIRONMENT = {
    'LAVENDERGATE_CALLERS': f'tablet=*{"0" * 40}',
    'LAVENDERGATE_UPSTREAM_USER': 'app',
    'LAVENDERGATE_ADMIN_USER': 'admin',
    'LAVENDERGATE_ANNOUNCE_KEY': 'key',
}


class OptionsTest(unittest.TestCase):
    """Validation of flags and environment variables."""

    def test_flag_goes_before_its_variable(self) -> None:
        """Guards against a variable that overrides the command line."""
        environment = {**ENVIRONMENT, 'LAVENDERGATE_REGION': 'schwaben'}
        options = read_options(FLAGS, environment)
        self.assertIsInstance(options, Ok)
        self.assertEqual(options.unwrap().region, 'franken')

    def test_every_fault_is_named_at_once(self) -> None:
        """Guards against a start that reports only the first fault."""
        flags = {
            **FLAGS,
            'listen': '1.2.3:99',
            'host_id': None,
            'roles': 'prox',
        }
        environment = {'LAVENDERGATE_CALLERS': 'tablet=plain-password'}
        faults = read_options(flags, environment)
        self.assertIsInstance(faults, Err)
        text = '\n'.join(faults.unwrap_err())
        self.assertIn('--host-id is missing', text)
        self.assertIn("--roles has the value 'prox'", text)
        self.assertIn("--listen has the value '1.2.3:99'", text)
        self.assertIn("caller 'tablet'", text)
        self.assertNotIn('plain-password', text)
