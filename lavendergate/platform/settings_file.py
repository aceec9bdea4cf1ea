"""The settings file that the platform hands to each process."""

import os
from pathlib import Path

import msgspec

SETTINGS_VARIABLE = 'LAVENDERGATE_BOOT'


class Bounds(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Limits that the platform holds the system to."""

    grace_s: float = 6
    drain_timeout_ms: int = 7000
    config_apply_ms: int = 4000


class ListenAddresses(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses for what the role serves, ``ip:port``."""

    front: str | None = None
    readiness: str | None = None
    control: str | None = None


class PlatformCalls(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Where duties are carried out.

    Parameters
    ----------
    duty_per_s
        Calls that the platform accepts from all hosts together.
    """

    address: str = ''
    duty_per_s: float = 1


class HostSettings(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Settings of one process.

    Parameters
    ----------
    node_name
        Id of the host.
    zone
        Failure domain of the host.
    seeds
        Addresses of some control hosts, ``ip:port``, for the operator's
        and the members' calls.
    internal_ports
        First and last port that is free for calls between hosts.
    bootstrap
        Whether the whole system starts for the first time.
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
    cloud_api: PlatformCalls = PlatformCalls()

    @property
    def internal_address(self) -> str:
        """Where the host serves the other hosts."""
        return f'{self.ip}:{self.internal_ports[0]}'

    @property
    def control_hosts(self) -> tuple[str, ...]:
        """Where the seeds serve the other hosts; all use the same port."""
        port = self.internal_ports[0]
        return tuple(f'{seed.rpartition(":")[0]}:{port}' for seed in self.seeds)


class SettingsFileError(Exception):
    """The settings file cannot be read."""


def load_settings() -> HostSettings:
    """Read the settings file.

    Raises
    ------
    SettingsFileError
        If the file is missing, or a field is missing or of a wrong type.
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
        raise SettingsFileError(f'{path} cannot be used: {error}') from error
