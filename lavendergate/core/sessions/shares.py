"""How many connections to a member one proxy keeps."""

from dataclasses import dataclass

from lavendergate.core.routes import ServiceLimits

# Connections of each member that are left for the hosts that watch it.
_RESERVED = 2
_WITHOUT_LIMITS = 2
# Number of proxies until control has counted them. After a loss of power
# members hold the connections of before for seconds, and a proxy that takes
# more than a small share of the rest leaves none for the others.
_ASSUMED_PROXIES = 16
# A connection that is not needed is closed after this time, in seconds.
# Members hold connections of hosts that lost power for a while, so some of
# their limit must stay free for a restart.
_SURPLUS_IDLE_S = 0.3
# The same where not every proxy can have a connection. It outlasts the pause
# between the statements of one request.
_SCARCE_IDLE_S = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionShare:
    """What one proxy may keep open to a member.

    Parameters
    ----------
    limit
        Connections at the same time.
    kept
        Connections that stay open when unused.
    idle_s
        Time after which the others are closed when unused, in seconds.
    """

    limit: int
    kept: int = 1
    idle_s: float = _SURPLUS_IDLE_S


def connection_share(
    limits: ServiceLimits | None, proxies: int | None
) -> ConnectionShare:
    """Return the connections that a proxy may keep to each member.

    Answers load from more proxies than a member takes connections: each
    opens one when it needs it, and leaves it to the others soon after.

    Parameters
    ----------
    limits
        Limits of the member's service; None if no route table names it.
    proxies
        Number of proxies that share the member; None while it is not known.
    """
    if limits is None:
        return ConnectionShare(limit=_WITHOUT_LIMITS)
    available = limits.max_connections - _RESERVED
    if proxies is not None and proxies > available:
        return ConnectionShare(limit=1, kept=0, idle_s=_SCARCE_IDLE_S)
    sharing = _ASSUMED_PROXIES if proxies is None else max(1, proxies)
    return ConnectionShare(limit=max(1, available // sharing))
