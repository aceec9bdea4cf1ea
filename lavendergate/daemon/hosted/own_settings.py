"""Settings of a hosted process that the platform's file does not hold."""

from collections.abc import Mapping
from typing import Annotated

import msgspec

from lavendergate.platform.settings_file import SettingsFileError

_PREFIX = 'LAVENDERGATE_'
_MS_PER_S = 1000
_MAX_HOLD_MS = 10_000


class OwnSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings from environment variables, ``LAVENDERGATE_`` and their name.

    Parameters
    ----------
    first_write_hold_ms
        Longest time for which the first writes to a promoted member wait for
        its replicas, in milliseconds; 0 for no wait.
    """

    first_write_hold_ms: Annotated[int, msgspec.Meta(ge=0, le=_MAX_HOLD_MS)] = (
        300
    )

    @property
    def first_write_hold_s(self) -> float:
        """Longest wait of the first writes, in seconds."""
        return self.first_write_hold_ms / _MS_PER_S


def read_own_settings(environment: Mapping[str, str]) -> OwnSettings:
    """Read the settings of this process from its environment.

    Raises
    ------
    SettingsFileError
        If a value cannot be read or is out of its bounds.
    """
    values = {
        name: environment[_PREFIX + name.upper()]
        for name in OwnSettings.__struct_fields__
        if environment.get(_PREFIX + name.upper())
    }
    try:
        return msgspec.convert(values, OwnSettings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsFileError(
            f'the environment variables {_PREFIX}* hold {values!r}: {error}'
        ) from error
