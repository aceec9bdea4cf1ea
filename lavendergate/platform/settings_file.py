"""Settings file that the platform provides to each process."""

import os
from pathlib import Path

import msgspec

SETTINGS_VARIABLE = 'LAVENDERGATE_BOOT'


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

    grace_s: float = 6
    drain_timeout_ms: int = 7000
    config_apply_ms: int = 4000
    strict_revoke: bool = False
    revoke_ms: int = 5000
    quota_window_s: float = 5
    quota_overage: float = 0
    quota_slack: float = 0


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

    front: str | None = None
    readiness: str | None = None
    control: str | None = None


class PlatformApi(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """API of the platform that carries out promotions.

    Parameters
    ----------
    address
        Address of the API, ``ip:port``.
    duty_per_s
        Calls per second that the platform accepts from all hosts together.
    """

    address: str = ''
    duty_per_s: float = 1


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
    """

    node_name: str
    ip: str
    zone: str
    region: str
    internal_ports: tuple[int, int]
    seeds: tuple[str, ...] = ()
    bootstrap: bool = False
    data_dir: str | None = None
    heartbeat_ms: int = 1000
    bind_addrs: ListenAddresses = ListenAddresses()
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
    cloud_api: PlatformApi = PlatformApi()

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


def load_settings() -> HostSettings:
    """Read the settings file.

    Raises
    ------
    SettingsFileError
        If the file is missing, or a field is missing or has a wrong type.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        raise SettingsFileError(
            f'{SETTINGS_VARIABLE} is not set: set it to the path of the '
            'settings file'
        )
    try:
        content = Path(path).read_bytes()
        return msgspec.toml.decode(content, type=HostSettings)
    except (OSError, msgspec.MsgspecError, ValueError) as error:
        raise SettingsFileError(
            f'cannot load settings file {path}: {error}'
        ) from error
