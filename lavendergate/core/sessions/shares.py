"""Number of connections that one proxy keeps to a member."""

from dataclasses import dataclass

from lavendergate.core.relays.homes import HOMES_PER_MEMBER
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
# Least number of connections to each member with which a proxy connects
# directly. With one alone, a transaction that waits for its caller keeps every
# other statement of the proxy from the member, also while the member is idle.
_MIN_DIRECT_CONNECTIONS = 2
# Sessions that run through a home need no connection of this proxy.
_RELAYED_LIMIT = 64
# Fraction of the connections that the homes of a member may open together. The
# rest is for proxies that find no home.
_HOME_SHARE = 0.9
# Time after which a home closes a surplus idle connection, in seconds.
_HOME_IDLE_S = 5.0


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
    statements
        Maximum number of statements at the member at the same time; None
        for no limit.
    is_home
        Whether the proxy holds the connections for other proxies, too.
    """

    limit: int
    min_open: int = 1
    idle_s: float = _SURPLUS_IDLE_S
    statements: int | None = None
    is_home: bool = False


def is_scarce(limits: ServiceLimits | None, proxies: int | None) -> bool:
    """Return whether proxies have too few connections to connect directly.

    Parameters
    ----------
    limits
        Limits of the member's service; None if it is in no route table.
    proxies
        Number of proxies that share the member; None while unknown.
    """
    if limits is None or proxies is None:
        return False
    available = limits.max_connections - _MONITORING_CONNECTIONS
    return proxies * _MIN_DIRECT_CONNECTIONS > available


def home_share(
    limits: ServiceLimits | None, slots: int, *, has_customers: bool = False
) -> ConnectionShare:
    """Return the limits of a proxy that is the home of a member.

    Parameters
    ----------
    slots
        Number of statements that the member executes at the same time.
    has_customers
        Whether each connection serves one customer only. All connections
        then stay open, so that a customer with few statements does not
        connect for each of them.
    """
    if limits is None:
        return ConnectionShare(limit=_DEFAULT_LIMIT)
    available = limits.max_connections - _MONITORING_CONNECTIONS
    limit = max(1, int(available * _HOME_SHARE / HOMES_PER_MEMBER))
    # All homes together send more statements than the member executes at the
    # same time, so that its slots do not wait, and fewer than it queues.
    return ConnectionShare(
        limit=limit,
        min_open=limit if has_customers else min(limit, slots),
        idle_s=_HOME_IDLE_S,
        statements=slots,
        is_home=True,
    )


def relayed_share() -> ConnectionShare:
    """Return the limits of a proxy whose statements a home runs."""
    return ConnectionShare(
        limit=_RELAYED_LIMIT, min_open=0, idle_s=_SCARCE_IDLE_S
    )


def fallback_share() -> ConnectionShare:
    """Return the limits of a proxy that finds no home for a member.

    The homes hold most connections, so it opens one when it needs it and
    closes it soon after its use.
    """
    return ConnectionShare(limit=1, min_open=0, idle_s=_SCARCE_IDLE_S)


def connection_share(
    limits: ServiceLimits | None, proxies: int | None
) -> ConnectionShare:
    """Return the limits of a proxy for its connections to each member.

    If there are more proxies than a member accepts connections, a proxy that
    finds no home for the member opens one connection when it needs it and
    closes it soon after its use, so that the other proxies can connect.

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
        return fallback_share()
    proxy_count = _ASSUMED_PROXIES if proxies is None else max(1, proxies)
    return ConnectionShare(limit=max(1, available // proxy_count))
