"""Connection shares as this proxy holds them."""

from collections.abc import Sequence

from lavendergate.controllers.connections import ConnectionPools, MemberPool
from lavendergate.core.types import UpstreamId
from lavendergate.rpc.messages import ShareDemand, ShareGrant


class ProxyShares:
    """Applies grants to the pools and reports demand.

    Beyond its reservation a proxy opens connections only while its lease
    lasts. Afterwards it keeps those that it has, because control takes a
    share away from it only when the member shows that they are closed.
    """

    def __init__(self, *, pools: ConnectionPools) -> None:
        self._pools = pools
        self._grants: dict[UpstreamId, ShareGrant] = {}
        self._expires_at: float = 0

    @property
    def grants(self) -> tuple[ShareGrant, ...]:
        """Grants of the last heartbeat."""
        return tuple(self._grants.values())

    def grant(
        self, grants: Sequence[ShareGrant], *, sent_at: float, now: float
    ) -> None:
        """Take over the grants of a heartbeat.

        Parameters
        ----------
        sent_at
            Time at which the heartbeat was sent; leases count from it,
            because control counts from a later moment.
        """
        self._grants = {grant.upstream_id: grant for grant in grants}
        leases = [grant.lease_s for grant in grants]
        self._expires_at = sent_at + min(leases, default=0)
        self.enforce(now)

    def enforce(self, now: float) -> None:
        """Set the limits of all pools by the grants and their leases."""
        for pool in self._pools.pools:
            pool.set_limit(self._limit(pool, now))
            pool.tick(now)

    def demands(self) -> tuple[ShareDemand, ...]:
        """Return connections in use and wanted, by member."""
        return tuple(self._demand(pool) for pool in self._pools.pools)

    def _limit(self, pool: MemberPool, now: float) -> int:
        grant = self._grants.get(pool.upstream_id)
        if grant is None:
            return 0
        if now < self._expires_at:
            return grant.connections
        kept = min(pool.load.open_connections, grant.connections)
        return max(grant.reserved, kept)

    def _demand(self, pool: MemberPool) -> ShareDemand:
        load = pool.load
        return ShareDemand(
            upstream_id=pool.upstream_id,
            open_connections=load.open_connections,
            wanted_connections=load.wanted,
        )
