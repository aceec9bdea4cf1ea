"""Waits until a settings version is in force on all live proxies."""

import anyio

from lavendergate.cli.control_client import ControlClient
from lavendergate.cli.errors import problem_error
from lavendergate.cli.tables import print_text
from lavendergate.core.types import SettingsVersion
from lavendergate.rpc.messages import ProxyStatus, StatusReply

_POLL_INTERVAL_S = 0.25
# A proxy without heartbeat for the lease time of 3 s counts as failed and is
# not waited for.
_LIVE_MAX_AGE_MS = 3000


def outdated_proxies(
    status: StatusReply, version: int
) -> tuple[ProxyStatus, ...]:
    """Return the live proxies that have an older settings version."""
    return tuple(
        proxy
        for proxy in status.proxies
        if proxy.age_ms <= _LIVE_MAX_AGE_MS and proxy.settings_version < version
    )


async def wait_for_version(
    client: ControlClient, version: SettingsVersion | None, limit_s: float
) -> None:
    """Poll the control hosts until all live proxies have a settings version.

    Parameters
    ----------
    version
        Version to wait for; None selects the current one.
    limit_s
        Maximum time to wait, in seconds.

    Raises
    ------
    CommandError
        If some live proxies do not have the version in time.
    """
    ends_at = anyio.current_time() + limit_s
    while True:
        status = await client.status()
        if version is None:
            version = status.settings.version
        outdated = outdated_proxies(status, version)
        if not outdated and status.settings.version >= version:
            _print_in_force(status, version)
            return
        if anyio.current_time() >= ends_at:
            raise problem_error(_describe_failure(outdated, version, status))
        await anyio.sleep(_POLL_INTERVAL_S)


def _print_in_force(status: StatusReply, version: int) -> None:
    live = [
        proxy for proxy in status.proxies if proxy.age_ms <= _LIVE_MAX_AGE_MS
    ]
    expired = [
        proxy.host_id
        for proxy in status.proxies
        if proxy.age_ms > _LIVE_MAX_AGE_MS
    ]
    print_text(f'version {version} is in force on all {len(live)} live proxies')
    if expired:
        print_text(f'without heartbeat, not counted: {", ".join(expired)}')


def _describe_failure(
    outdated: tuple[ProxyStatus, ...], version: int, status: StatusReply
) -> str:
    if not outdated:
        return (
            'the control hosts have settings version '
            f'{status.settings.version}; version {version} is not known to them'
        )
    names = ', '.join(
        f'{proxy.host_id} (version {proxy.settings_version})'
        for proxy in outdated
    )
    return (
        f'version {version} is not yet in force on {names}; check these '
        'hosts and their connections to the control hosts'
    )
