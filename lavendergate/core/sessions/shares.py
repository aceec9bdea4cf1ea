"""Number of connections that one proxy keeps to a member."""

from dataclasses import dataclass

from lavendergate.core.routes import ServiceLimits

# Connections to each member that are left for the hosts that monitor it.
_MONITORING_CONNECTIONS = 2
_DEFAULT_LIMIT = 2
# Number of proxies that is assumed until the control hosts have counted them.
# After a power failure, members still count the connections from before it for
# seconds; a proxy that opens more than a small share of the rest leaves none
# for the other proxies.
_ASSUMED_PROXIES = 16
# Time in seconds after which a surplus idle connection is closed. Members keep
# connections of hosts that lost power for a while, so part of their connection
# limit must stay free for the restart of these hosts.
_SURPLUS_IDLE_S = 0.3
# The same if there are more proxies than connections. It is longer than the
# pause between the statements of one request.
_SCARCE_IDLE_S = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionShare:
    """Limits of one proxy for its connections to a member.

    Parameters
    ----------
    limit
        Maximum number of connections at the same time.
    min_open
        Number of connections that stay open while idle.
    idle_s
        Time after which other idle connections are closed, in seconds.
    """

    limit: int
    min_open: int = 1
    idle_s: float = _SURPLUS_IDLE_S


def connection_share(
    limits: ServiceLimits | None, proxies: int | None
) -> ConnectionShare:
    """Return the limits of a proxy for its connections to each member.

    If there are more proxies than a member accepts connections, each proxy
    opens one connection when it needs it and closes it soon after its use, so
    that the other proxies can connect.

    Parameters
    ----------
    limits
        Limits of the member's service; None if it is in no route table.
    proxies
        Number of proxies that share the member; None while unknown.
    """
    if limits is None:
        return ConnectionShare(limit=_DEFAULT_LIMIT)
    available = limits.max_connections - _MONITORING_CONNECTIONS
    if proxies is not None and proxies > available:
        return ConnectionShare(limit=1, min_open=0, idle_s=_SCARCE_IDLE_S)
    proxy_count = _ASSUMED_PROXIES if proxies is None else max(1, proxies)
    return ConnectionShare(limit=max(1, available // proxy_count))
