"""Connection shares as this proxy holds them."""

from collections.abc import Sequence

from lavendergate.controllers.connections import ConnectionPools, MemberPool
from lavendergate.core.types import UpstreamId
from lavendergate.rpc.messages import RetiredConnection, ShareDemand, ShareGrant

REOPEN_LIMIT_S = 1.0


class ProxyShares:
    """Applies grants to the pools and reports demand.

    Beyond its reservation a proxy opens connections only while its lease
    lasts. Afterwards it keeps those that it has, because control takes a
    share away from it only when the member shows that they are closed. A
    reserved connection that was lost is reopened within a second or given
    up, because control checks the member's list twice at a longer distance.
    """

    def __init__(self, *, pools: ConnectionPools) -> None:
        self._pools = pools
        self._grants: dict[UpstreamId, ShareGrant] = {}
        self._expires_at: dict[UpstreamId, float] = {}
        self._lost_at: dict[UpstreamId, float] = {}
        self._retired: list[RetiredConnection] = []
        self._reported = 0

    @property
    def grants(self) -> tuple[ShareGrant, ...]:
        """Grants of the last heartbeat."""
        return tuple(self._grants.values())

    def grant(
        self, grants: Sequence[ShareGrant], *, sent_at: float, now: float
    ) -> None:
        """Take over the grants of a heartbeat.

        A member that the answer does not name keeps its last grant until
        the lease ends: a new leader does not know all members at once, and
        a host that is not the leader names none.

        Parameters
        ----------
        sent_at
            Time at which the heartbeat was sent; leases count from it,
            because control counts from a later moment.
        """
        for grant in grants:
            self._grants[grant.upstream_id] = grant
            self._expires_at[grant.upstream_id] = sent_at + grant.lease_s
        self.enforce(now)

    def enforce(self, now: float) -> None:
        """Set the limits of all pools by the grants and their leases."""
        for pool in self._pools.pools:
            pool.set_limit(self._limit(pool, now))
            pool.tick(now)

    def demands(self, now: float) -> tuple[ShareDemand, ...]:
        """Return connections in use and wanted, by member."""
        return tuple(self._demand(pool, now) for pool in self._pools.pools)

    def retired(self) -> tuple[RetiredConnection, ...]:
        """Return the connections that were closed without an answer.

        They are reported until a heartbeat with them was accepted.
        """
        self._retired.extend(
            RetiredConnection(
                upstream_id=pool.upstream_id, connection_id=connection_id
            )
            for pool in self._pools.pools
            for connection_id in pool.take_retired()
        )
        self._reported = len(self._retired)
        return tuple(self._retired)

    def note_lost(self, upstream_id: UpstreamId, connection_id: int) -> None:
        """Report a connection that is not of a pool, such as a probe's."""
        self._retired.append(
            RetiredConnection(
                upstream_id=upstream_id, connection_id=connection_id
            )
        )

    def note_accepted(self) -> None:
        """Note that the last heartbeat was accepted."""
        self._retired = self._retired[self._reported :]
        self._reported = 0

    def _limit(self, pool: MemberPool, now: float) -> int:
        grant = self._grants.get(pool.upstream_id)
        if grant is None:
            return 0
        if self._is_leased(pool.upstream_id, now):
            self._lost_at.pop(pool.upstream_id, None)
            return grant.connections
        opened = pool.load.open_connections
        kept = min(opened, grant.connections)
        return max(self._kept_reservation(pool, grant, now), kept)

    def _kept_reservation(
        self, pool: MemberPool, grant: ShareGrant, now: float
    ) -> int:
        """Return the reservation unless it was unused for too long."""
        if pool.load.connected:
            self._lost_at.pop(pool.upstream_id, None)
            return grant.reserved
        lost_at = self._lost_at.setdefault(pool.upstream_id, now)
        return grant.reserved if now - lost_at < REOPEN_LIMIT_S else 0

    def _demand(self, pool: MemberPool, now: float) -> ShareDemand:
        load = pool.load
        return ShareDemand(
            upstream_id=pool.upstream_id,
            open_connections=load.open_connections,
            wanted_connections=load.wanted,
            granted_connections=self._obeyed(pool.upstream_id, now),
        )

    def _obeyed(self, upstream_id: UpstreamId, now: float) -> int | None:
        grant = self._grants.get(upstream_id)
        if grant is None:
            return None
        if self._is_leased(upstream_id, now):
            return grant.connections
        return grant.reserved

    def _is_leased(self, upstream_id: UpstreamId, now: float) -> bool:
        return now < self._expires_at.get(upstream_id, 0)
