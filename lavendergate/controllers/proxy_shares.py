"""Connection shares that the control leader granted to this proxy."""

from collections.abc import Sequence

from lavendergate.controllers.connections import ConnectionPools, MemberPool
from lavendergate.core.types import UpstreamId
from lavendergate.rpc.messages import RetiredConnection, ShareDemand, ShareGrant

REOPEN_LIMIT_S = 1.0


class ProxyShares:
    """Applies grants to the pools and reports demand.

    A proxy opens connections beyond its reservation only while its lease
    lasts. After the lease it keeps those that are open, because control
    reassigns its share only once the member's connection list shows that they
    are closed. A lost reserved connection is reopened within `REOPEN_LIMIT_S`
    or not at all, because control considers it closed after two checks of the
    list, which are further apart than that.
    """

    def __init__(self, *, pools: ConnectionPools) -> None:
        self._pools = pools
        self._grants: dict[UpstreamId, ShareGrant] = {}
        self._expires_at: dict[UpstreamId, float] = {}
        self._disconnected_at: dict[UpstreamId, float] = {}
        self._retired: list[RetiredConnection] = []
        self._reported_count = 0

    @property
    def grants(self) -> tuple[ShareGrant, ...]:
        """Latest grant of each member."""
        return tuple(self._grants.values())

    def apply_grants(
        self, grants: Sequence[ShareGrant], *, sent_at: float, now: float
    ) -> None:
        """Apply the grants of a heartbeat reply.

        A member that the reply does not name keeps its last grant until the
        lease ends: a new leader does not know all members at once, and a host
        that is not the leader grants nothing.

        Parameters
        ----------
        sent_at
            Time at which the heartbeat was sent. Leases start then, so that
            they end here before they end at control, which starts them when
            the heartbeat arrives.
        """
        for grant in grants:
            self._grants[grant.upstream_id] = grant
            self._expires_at[grant.upstream_id] = sent_at + grant.lease_s
        self.enforce(now)

    def enforce(self, now: float) -> None:
        """Set the limits of all pools from the grants and their leases.

        The pools then close idle connections and open missing ones.
        """
        for pool in self._pools.pools:
            pool.set_limit(self._limit(pool, now))
            pool.tick(now)

    def demands(self, now: float) -> tuple[ShareDemand, ...]:
        """Return the open, wanted and granted connections of each member."""
        return tuple(self._demand(pool, now) for pool in self._pools.pools)

    def retired(self) -> tuple[RetiredConnection, ...]:
        """Return the connections that were closed without an answer.

        They are reported again until a heartbeat with them is accepted.
        """
        self._retired.extend(
            RetiredConnection(
                upstream_id=pool.upstream_id, connection_id=connection_id
            )
            for pool in self._pools.pools
            for connection_id in pool.pop_unanswered()
        )
        self._reported_count = len(self._retired)
        return tuple(self._retired)

    def record_lost(self, upstream_id: UpstreamId, connection_id: int) -> None:
        """Report a lost connection outside the pools, such as of a probe."""
        self._retired.append(
            RetiredConnection(
                upstream_id=upstream_id, connection_id=connection_id
            )
        )

    def clear_reported(self) -> None:
        """Clear the retired connections that a heartbeat has reported."""
        self._retired = self._retired[self._reported_count :]
        self._reported_count = 0

    def _limit(self, pool: MemberPool, now: float) -> int:
        grant = self._grants.get(pool.upstream_id)
        if grant is None:
            return 0
        if self._is_leased(pool.upstream_id, now):
            self._disconnected_at.pop(pool.upstream_id, None)
            return grant.connections
        opened = pool.load.open_connections
        kept = min(opened, grant.connections)
        return max(self._usable_reservation(pool, grant, now), kept)

    def _usable_reservation(
        self, pool: MemberPool, grant: ShareGrant, now: float
    ) -> int:
        """Return the reservation, or 0 after too long without connection."""
        if pool.load.connected:
            self._disconnected_at.pop(pool.upstream_id, None)
            return grant.reserved
        disconnected_at = self._disconnected_at.setdefault(
            pool.upstream_id, now
        )
        return grant.reserved if now - disconnected_at < REOPEN_LIMIT_S else 0

    def _demand(self, pool: MemberPool, now: float) -> ShareDemand:
        load = pool.load
        return ShareDemand(
            upstream_id=pool.upstream_id,
            open_connections=load.open_connections,
            wanted_connections=load.wanted,
            granted_connections=self._granted_connections(
                pool.upstream_id, now
            ),
        )

    def _granted_connections(
        self, upstream_id: UpstreamId, now: float
    ) -> int | None:
        grant = self._grants.get(upstream_id)
        if grant is None:
            return None
        if self._is_leased(upstream_id, now):
            return grant.connections
        return grant.reserved

    def _is_leased(self, upstream_id: UpstreamId, now: float) -> bool:
        return now < self._expires_at.get(upstream_id, 0)
