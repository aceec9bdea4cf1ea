"""How many connections to a member one proxy keeps."""

from lavendergate.core.routes import ServiceLimits

# Connections of each member that are left for the hosts that watch it.
_RESERVED = 2
_WITHOUT_LIMITS = 2
# Number of proxies until control has counted them. After a loss of power
# members hold the connections of before for seconds, and a proxy that takes
# more than a small share of the rest leaves none for the others.
ASSUMED_PROXIES = 16


def connection_share(limits: ServiceLimits | None, proxies: int) -> int:
    """Return the connections that a proxy may keep to each member.

    Parameters
    ----------
    limits
        Limits of the member's service; None if no route table names it.
    proxies
        Number of proxies that share the member.
    """
    if limits is None:
        return _WITHOUT_LIMITS
    available = limits.max_connections - _RESERVED
    return max(1, available // max(1, proxies))
