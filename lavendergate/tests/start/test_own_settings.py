"""Tests of the settings of hosted processes from environment variables."""

import unittest

from lavendergate.daemon.hosted.own_settings import read_own_settings
from lavendergate.platform.settings_file import SettingsFileError

_NAME = 'LAVENDERGATE_FIRST_WRITE_HOLD_MS'


class OwnSettingsTest(unittest.TestCase):
    """The bound of the first writes to a promoted member."""

    def test_value_is_read_in_milliseconds(self) -> None:
        """Guards against a bound that is taken for seconds."""
        self.assertEqual(
            read_own_settings({_NAME: '150'}).first_write_hold_s, 0.15
        )
        for unset in ({}, {_NAME: ''}):
            self.assertEqual(read_own_settings(unset).first_write_hold_s, 0.3)

    def test_odd_value_is_refused_with_its_name(self) -> None:
        """Guards against a typing error that turns the hold off."""
        for odd in ('-1', 'no', '10001', '1e9', '9' * 30):
            with (
                self.subTest(odd),
                self.assertRaisesRegex(SettingsFileError, 'hold'),
            ):
                read_own_settings({_NAME: odd})
