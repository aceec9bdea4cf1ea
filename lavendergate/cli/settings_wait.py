"""Waits until a version of the settings is in force everywhere."""

import anyio

from lavendergate.cli.control_client import ControlClient
from lavendergate.cli.outcome import refused
from lavendergate.cli.tables import write_text
from lavendergate.core.types import SettingsVersion
from lavendergate.rpc.messages import ProxyStatus, StatusReply

_POLL_S = 0.25
# A proxy whose lease of 3 s ended counts as failed, not as late.
_LIVE_MS = 3000


def late_proxies(status: StatusReply, version: int) -> tuple[ProxyStatus, ...]:
    """Return the live proxies with an older version of the settings."""
    return tuple(
        proxy
        for proxy in status.proxies
        if proxy.age_ms <= _LIVE_MS and proxy.settings_version < version
    )


async def wait_for_version(
    client: ControlClient, version: SettingsVersion | None, limit_s: float
) -> None:
    """Poll control until all live proxies have a version.

    Parameters
    ----------
    version
        Version to wait for; None is the current one.
    limit_s
        Longest time to wait, in seconds.

    Raises
    ------
    CommandError
        If some proxies do not have the version in time.
    """
    ends_at = anyio.current_time() + limit_s
    while True:
        status = await client.status()
        if version is None:
            version = status.settings.version
        late = late_proxies(status, version)
        if not late and status.settings.version >= version:
            _report(status, version)
            return
        if anyio.current_time() >= ends_at:
            raise refused(_describe(late, version, status))
        await anyio.sleep(_POLL_S)


def _report(status: StatusReply, version: int) -> None:
    live = [proxy for proxy in status.proxies if proxy.age_ms <= _LIVE_MS]
    silent = [
        proxy.host_id for proxy in status.proxies if proxy.age_ms > _LIVE_MS
    ]
    write_text(f'version {version} is in force on all {len(live)} live proxies')
    if silent:
        write_text(f'without heartbeat, not counted: {", ".join(silent)}')


def _describe(
    late: tuple[ProxyStatus, ...], version: int, status: StatusReply
) -> str:
    if not late:
        return (
            f'control has version {status.settings.version}, version '
            f'{version} was never accepted'
        )
    names = ', '.join(
        f'{proxy.host_id} (version {proxy.settings_version})' for proxy in late
    )
    return (
        f'version {version} is not yet in force on {names}; look at these '
        'hosts and at their connection to control'
    )
