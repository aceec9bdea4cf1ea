"""Tests of how a proxy applies its connection shares."""

import unittest
from typing import cast

from lavendergate.controllers.connections import ConnectionPools, PoolLoad
from lavendergate.controllers.proxy_shares import REOPEN_LIMIT_S, ProxyShares
from lavendergate.core.types import UpstreamId
from lavendergate.rpc.messages import ShareGrant

MEMBER = UpstreamId('a')
LEASE_S = 3.0


class _Pool:
    """A pool with a settable number of connections."""

    def __init__(self) -> None:
        self.upstream_id = MEMBER
        self.limit = 0
        self.opened = 0

    @property
    def load(self) -> PoolLoad:
        return PoolLoad(
            open_connections=self.opened,
            connected=self.opened,
            busy=0,
            waiting=0,
            wanted=1,
        )

    def set_limit(self, limit: int) -> None:
        self.limit = limit

    def tick(self, now: float) -> None:
        """Do nothing."""


class _Pools:
    def __init__(self, pool: _Pool) -> None:
        self.pools = (pool,)


class ProxySharesTest(unittest.TestCase):
    """Limits of a pool over the life of a lease."""

    def setUp(self) -> None:
        self.pool = _Pool()
        self.shares = ProxyShares(
            pools=cast(ConnectionPools, _Pools(self.pool))
        )
        grant = ShareGrant(
            upstream_id=MEMBER, connections=4, reserved=1, lease_s=LEASE_S
        )
        self.shares.apply_grants((grant,), sent_at=0, now=0.1)

    def test_answer_without_grants_takes_nothing_away(self) -> None:
        """Guards against closing connections when the leader changes."""
        self.shares.apply_grants((), sent_at=1, now=1.1)
        self.assertEqual(self.pool.limit, 4)

    def test_lapsed_lease_keeps_open_connections(self) -> None:
        """Guards against failing statements when control loses its majority."""
        self.pool.opened = 3
        self.shares.enforce(LEASE_S + 60)
        self.assertEqual(self.pool.limit, 3)
        (demand,) = self.shares.demands(LEASE_S + 60)
        self.assertEqual(demand.granted_connections, 1)

    def test_unused_reservation_is_given_up(self) -> None:
        """Guards against two proxies that use the same reserved connection."""
        self.shares.enforce(LEASE_S)
        self.assertEqual(self.pool.limit, 1)
        self.shares.enforce(LEASE_S + REOPEN_LIMIT_S)
        self.assertEqual(self.pool.limit, 0)
