"""Events 6xxx: changes of the settings tree."""

import enum

from lavendergate.observability.event_type import Event, Level, define

_CHANGE_FIELDS = ('author', 'operation_id', 'changes', 'index')


@enum.unique
class SettingsEvent(Event):
    """Events of settings changes. The values of settings are never logged."""

    settings_accepted = define(
        6001,
        Level.info,
        'settings version {settings_version} was accepted',
        extra=_CHANGE_FIELDS,
    )
    settings_conflict = define(
        6002,
        Level.info,
        'a change based on settings version {base_version} was refused, as the '
        'current version is {settings_version}',
        'Compare the two versions and send the change again.',
        extra=_CHANGE_FIELDS,
    )
    settings_refused = define(
        6003,
        Level.info,
        'a change of settings was refused: {reason}',
        'Correct the change and send it again.',
        extra=_CHANGE_FIELDS,
    )
    settings_repeated = define(
        6004,
        Level.info,
        'change {operation_id} was sent again and got its original answer',
        extra=('author', 'settings_version'),
    )
    settings_in_force = define(
        6005,
        Level.info,
        'settings version {settings_version} is in force on this host',
        extra=('previous_version', 'duration_ms'),
    )
    settings_older_ignored = define(
        6006,
        Level.warning,
        'settings version {offered_version} was ignored, as the later version '
        '{settings_version} is in force',
        'Inspect the control host that offered it if this repeats.',
        extra=('peer',),
    )
    settings_stale = define(
        6007,
        Level.warning,
        'settings version {settings_version} was last confirmed {age_s} s ago',
        'Check the connection of this host to control.',
    )
    settings_current = define(
        6008,
        Level.info,
        'settings version {settings_version} is confirmed again',
        extra=('stale_s',),
    )
    settings_everywhere = define(
        6009,
        Level.info,
        'settings version {settings_version} is in force on all {proxies} '
        'live proxies',
        extra=('duration_ms',),
    )
    settings_unreadable = define(
        6010,
        Level.error,
        'settings version {offered_version} could not be read: {reason}',
        'The process is older than the control hosts: update it.',
        extra=('settings_version',),
    )
