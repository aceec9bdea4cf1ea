"""Settings file that the platform provides to each process."""

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from lavendergate.core.bounds.decoding import CODEC_ERRORS, decode_toml
from lavendergate.core.bounds.ranges import (
    Address,
    AddressOrNone,
    Amount,
    DurationMs,
    DurationS,
    Ip,
    Name,
    Port,
    PositiveS,
    Word,
)

SETTINGS_VARIABLE = 'LAVENDERGATE_BOOT'

# Keys that the platform writes into every file. The last tables stand at its
# end, so that a file of which only the begin has been written lacks one.
_EXPECTED_KEYS = frozenset(
    (
        'seeds',
        'bootstrap',
        'bindAddrs',
        'bounds',
        'bounds.graceS',
        'cloudApi',
        'cloudApi.address',
    )
)
# Time after which a valid file that lacks expected keys is taken for whole if
# it has not changed, in seconds.
SETTLE_S = 3.0
_LOAD_ERRORS = (OSError, *CODEC_ERRORS)
# Taken for a key of a file whose last line is complete, so that a later file
# whose last number was cut off is recognised.
_FINAL_LINE_END = 'the end of its last line'


class Bounds(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Limits that the platform imposes on the system.

    Parameters
    ----------
    grace_s
        Time within which a process must end after the stop signal, in
        seconds.
    drain_timeout_ms, config_apply_ms
        Not used.
    strict_revoke
        Whether a key that was taken away must stop working on every proxy,
        also on one without contact to the control hosts.
    revoke_ms
        Time for that after the acknowledgement, in milliseconds.
    quota_window_s
        Length of the sliding window of a customer's limit, in seconds.
    quota_overage, quota_slack
        Tolerated excess over a limit: a fraction of it, and a number of
        operations.
    """

    grace_s: DurationS = 6
    drain_timeout_ms: int = 7000
    config_apply_ms: int = 4000
    strict_revoke: bool = False
    revoke_ms: DurationMs = 5000
    quota_window_s: PositiveS = 5
    quota_overage: Amount = 0
    quota_slack: Amount = 0


class ListenAddresses(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses that the role listens on, ``ip:port``.

    Parameters
    ----------
    front
        Address for callers.
    readiness
        Address for readiness checks.
    control
        Address for the calls of members and operators.
    """

    front: Address | None = None
    readiness: Address | None = None
    control: Address | None = None


class PlatformApi(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """API of the platform that carries out promotions.

    Parameters
    ----------
    address
        Address of the API, ``ip:port``.
    duty_per_s
        Calls per second that the platform accepts from all hosts together.
    """

    address: AddressOrNone = ''
    duty_per_s: Amount = 1


class Limits(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Resources that the platform gives to the process.

    Parameters
    ----------
    max_fds
        File descriptors, of which some are reserved for files; None if
        unlimited.
    memory_mb
        Memory in megabytes above which the process is killed; None if
        unlimited.
    """

    max_fds: int | None = None
    memory_mb: float | None = None


class HostSettings(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Settings of one process.

    Parameters
    ----------
    node_name
        Id of the host.
    zone
        Failure domain of the host.
    seeds
        Addresses of some control hosts, ``ip:port``, on which they serve
        the calls of operators and members.
    internal_ports
        First and last port available for calls between hosts.
    bootstrap
        Whether this is the first start of the whole system.
    heartbeat_ms
        Not used.
    given_keys
        Keys that the file held, those of tables as ``table.key``.
    """

    node_name: Word
    ip: Ip
    zone: Name
    region: Name
    internal_ports: tuple[Port, Port]
    seeds: tuple[Address, ...] = ()
    bootstrap: bool = False
    data_dir: str | None = None
    heartbeat_ms: int = 1000
    bind_addrs: ListenAddresses = ListenAddresses()
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
    cloud_api: PlatformApi = PlatformApi()
    given_keys: frozenset[str] = frozenset()

    @property
    def internal_address(self) -> str:
        """Address on which this host serves other hosts, ``ip:port``."""
        return f'{self.ip}:{self.internal_ports[0]}'

    @property
    def internal_control_addresses(self) -> tuple[str, ...]:
        """Addresses on which the seeds serve other hosts, ``ip:port``.

        All hosts use the same internal port.
        """
        port = self.internal_ports[0]
        return tuple(f'{seed.rpartition(":")[0]}:{port}' for seed in self.seeds)


class SettingsFileError(Exception):
    """The settings file is missing or invalid."""


class SettingsVariableError(SettingsFileError):
    """The process was not told where its settings file is."""


class IncompleteSettingsError(SettingsFileError):
    """The settings file is valid, but lacks keys that it should hold.

    Parameters
    ----------
    settings
        The settings, with default values for the missing keys.
    """

    def __init__(self, message: str, *, settings: HostSettings) -> None:
        super().__init__(message)
        self.settings = settings


def load_settings(previous: HostSettings | None = None) -> HostSettings:
    """Read the settings file.

    Parameters
    ----------
    previous
        Settings in force. A file must hold every key that theirs held, so
        that one of which only the begin has been written sets no value back
        to its default.

    Raises
    ------
    SettingsFileError
        If the file is missing or incomplete, or a field is missing, has a
        wrong type or is out of its bounds.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        raise SettingsVariableError(
            f'{SETTINGS_VARIABLE} is not set: set it to the path of the '
            'settings file'
        )
    try:
        content = Path(path).read_bytes()
        fields = decode_toml(content, dict[str, Any])
        settings = msgspec.convert(fields, HostSettings, str_keys=True)
    except _LOAD_ERRORS as error:
        raise SettingsFileError(
            f'cannot load settings file {path}: {error}'
        ) from error
    given_keys = _keys_of(fields)
    if content.endswith(b'\n'):
        given_keys |= {_FINAL_LINE_END}
    settings = msgspec.structs.replace(settings, given_keys=given_keys)
    expected = _EXPECTED_KEYS if previous is None else previous.given_keys
    missing = sorted(expected - settings.given_keys)
    if missing:
        raise IncompleteSettingsError(
            f'settings file {path} is incomplete, it lacks '
            f'{", ".join(missing)}: write all keys, and rename a complete '
            'file into its place',
            settings=settings,
        )
    return settings


def _keys_of(fields: Mapping[str, Any]) -> frozenset[str]:
    keys = set(fields)
    for name, table in fields.items():
        if isinstance(table, dict):
            keys.update(f'{name}.{key}' for key in table)
    return frozenset(keys)
