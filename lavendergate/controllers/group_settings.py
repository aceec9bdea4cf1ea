"""Failover settings of a group, looked up in the settings tree."""

from lavendergate.core.failover_types import FailoverSettings
from lavendergate.core.settings.document import (
    ROOT_PATH,
    SettingsDocument,
    SettingValue,
)
from lavendergate.core.types import GroupId, Region

_DEFAULT_ANNOUNCEMENT_TIMEOUT_MS = 600
_DEFAULT_MEMBERS = 3
_DEFAULT_MIN_INTERVAL_S = 10.0
_MS_PER_S = 1000


def failover_settings(
    document: SettingsDocument, region: Region | None, group_id: GroupId
) -> FailoverSettings:
    """Return the failover settings of a group.

    Parameters
    ----------
    region
        Region of the group, or None if unknown; only the values of the root
        node then apply.
    """
    return FailoverSettings(
        enabled=bool(
            _lookup(document, region, group_id, 'failover.enabled', True)
        ),
        members=int(
            _lookup_number(
                document, region, group_id, 'group.members', _DEFAULT_MEMBERS
            )
        ),
        min_interval_s=_lookup_number(
            document,
            region,
            group_id,
            'failover.min_interval_s',
            _DEFAULT_MIN_INTERVAL_S,
        ),
    )


def announcement_timeout_s(
    document: SettingsDocument, region: Region | None, group_id: GroupId
) -> float:
    """Return the silence of a primary after which it is probed, in seconds."""
    timeout_ms = _lookup_number(
        document,
        region,
        group_id,
        'failover.announcement_timeout_ms',
        _DEFAULT_ANNOUNCEMENT_TIMEOUT_MS,
    )
    return timeout_ms / _MS_PER_S


def _lookup_number(
    document: SettingsDocument,
    region: Region | None,
    group_id: GroupId,
    key: str,
    default: float,
) -> float:
    found = _lookup(document, region, group_id, key, default)
    return found if isinstance(found, int | float) else default


def _lookup(
    document: SettingsDocument,
    region: Region | None,
    group_id: GroupId,
    key: str,
    default: SettingValue,
) -> SettingValue:
    paths = (f'/{region}/{group_id}', f'/{region}', ROOT_PATH)
    for path in paths if region else (ROOT_PATH,):
        found = document.nodes.get(path, {}).get(key)
        if found is not None:
            return found
    return default
