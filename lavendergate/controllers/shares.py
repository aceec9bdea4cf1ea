"""Grants connections to proxies and reclaims those of ended proxies."""

from collections.abc import Mapping

import anyio

from lavendergate.backends.admin import MemberAddress, MemberAdmin
from lavendergate.controllers.log_port import LogPort
from lavendergate.controllers.share_source import ShareSource
from lavendergate.core.reports import Announcement
from lavendergate.core.share_division import DivisionRule, divide_by_demand
from lavendergate.core.shares import (
    LEASE_S,
    MemberShares,
    ShareReport,
    assign_grants,
    is_freed,
    lapsed_hosts,
    needs_check,
    record_connection_list,
    record_heartbeat,
    register_proxy,
    remove_proxies,
)
from lavendergate.core.types import HostId, UpstreamId
from lavendergate.rpc.messages import HeartbeatRequest, ShareDemand, ShareGrant

TICK_S = 0.25


class ShareController(ShareSource):
    """Divides the connections of all members among the proxies, on the leader.

    Parameters
    ----------
    log
        The replicated log; each host registered in it has a reservation.
    admin
        Lists connections at the members and closes those of proxies whose
        lease has ended.
    rule
        Rule by which the connections of a member are divided.
    tick_s
        Interval of division and checks, in seconds.
    """

    def __init__(
        self,
        *,
        log: LogPort,
        admin: MemberAdmin,
        rule: DivisionRule = divide_by_demand,
        tick_s: float = TICK_S,
    ) -> None:
        self._log = log
        self._admin = admin
        self._rule = rule
        self._tick_s = tick_s
        self._epoch = -1
        self._version = 0
        self._members: dict[UpstreamId, MemberShares] = {}
        self._addresses: dict[UpstreamId, MemberAddress] = {}
        self._retired: dict[tuple[UpstreamId, HostId], set[int]] = {}

    @property
    def version(self) -> int:
        """Number that increases whenever grants change."""
        return self._version

    def record_announcement(
        self, announcement: Announcement, now: float
    ) -> None:
        """Record the limits and the address of a member."""
        self._reset_on_new_epoch()
        upstream_id = announcement.upstream_id
        self._addresses[upstream_id] = MemberAddress(
            host=announcement.host, port=announcement.port
        )
        known = self._members.get(upstream_id)
        self._members[upstream_id] = MemberShares(
            limit=announcement.connection_limit,
            slots=announcement.slots,
            started_at=now if known is None else known.started_at,
            is_checked=known is not None and known.is_checked,
            holders={} if known is None else known.holders,
        )

    def record_heartbeat(self, request: HeartbeatRequest, now: float) -> None:
        """Record the demands of a proxy and renew its leases."""
        self._reset_on_new_epoch()
        demands = {demand.upstream_id: demand for demand in request.demands}
        for upstream_id, shares in list(self._members.items()):
            report = _to_report(demands.get(upstream_id), request.draining)
            updated = record_heartbeat(shares, request.host_id, report, now)
            self._assign(upstream_id, updated, now)
        for retired in request.retired:
            key = (retired.upstream_id, request.host_id)
            self._retired.setdefault(key, set()).add(retired.connection_id)

    def grants(self, host_id: HostId, now: float) -> tuple[ShareGrant, ...]:
        """Return the current grants of a proxy."""
        granted = []
        for upstream_id, shares in self._members.items():
            holder = shares.holders.get(host_id)
            if holder is not None:
                granted.append(
                    ShareGrant(
                        upstream_id=upstream_id,
                        connections=holder.granted,
                        reserved=min(shares.reserved, holder.granted),
                        lease_s=LEASE_S,
                    )
                )
        return tuple(granted)

    def is_freed(self, host_id: HostId) -> bool:
        """Whether a proxy holds no connection and no reservation."""
        return all(
            is_freed(shares, host_id) for shares in self._members.values()
        )

    async def run(self) -> None:
        """Divide and reclaim connections while leading, until cancelled."""
        while True:
            if self._log.is_leader and self._log.has_quorum:
                self._reset_on_new_epoch()
                self._sync_registered_hosts(anyio.current_time())
                await self._check_members()
                await self._close_retired()
            await anyio.sleep(self._tick_s)

    def _reset_on_new_epoch(self) -> None:
        """Discard the shares of all members when a new epoch has begun."""
        if self._log.epoch != self._epoch:
            self._epoch = self._log.epoch
            self._members = {}
            self._version += 1

    def _sync_registered_hosts(self, now: float) -> None:
        hosts = self._log.state.hosts
        for upstream_id, shares in list(self._members.items()):
            for host_id in hosts:
                shares = register_proxy(shares, host_id, now)
            freed = [
                known
                for known in shares.holders
                if known not in hosts and is_freed(shares, known)
            ]
            self._assign(upstream_id, remove_proxies(shares, freed), now)

    def _assign(
        self, upstream_id: UpstreamId, shares: MemberShares, now: float
    ) -> None:
        before = self._members.get(upstream_id)
        after = assign_grants(shares, self._rule, now)
        self._members[upstream_id] = after
        if before is None or _grants_by_host(before) != _grants_by_host(after):
            self._version += 1

    async def _close_retired(self) -> None:
        """Close at the members the connections that proxies have retired.

        The proxies cannot do it themselves: dead connections may use up the
        connection limit of a member, and only the administrator has a
        connection beyond it.
        """
        retired = self._retired
        self._retired = {}
        async with anyio.create_task_group() as tasks:
            for key, connections in retired.items():
                tasks.start_soon(
                    self._close_connections, key, frozenset(connections)
                )

    async def _close_connections(
        self, key: tuple[UpstreamId, HostId], connections: frozenset[int]
    ) -> None:
        upstream_id, host_id = key
        address = self._addresses.get(upstream_id)
        if address is None:
            return
        closed = await self._admin.kill_connections(
            address, host_id, connections
        )
        if closed.is_err():
            # Retried with the next tick: the administrator's only connection
            # may be in use by a failover, or the member may be unreachable.
            self._retired.setdefault(key, set()).update(connections)

    async def _check_members(self) -> None:
        now = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for upstream_id, shares in self._members.items():
                if needs_check(shares, now):
                    tasks.start_soon(self._check_member, upstream_id)

    async def _check_member(self, upstream_id: UpstreamId) -> None:
        """Close connections of lapsed and unknown proxies at a member.

        The member's connection list is recorded before and after. The first
        list shows whether a proxy has reopened its reserved connection since
        the last check.
        """
        address = self._addresses[upstream_id]
        found = await self._record_connection_list(upstream_id)
        shares = self._members[upstream_id]
        ended = lapsed_hosts(shares, anyio.current_time())
        unknown = found - shares.holders.keys()
        if not found & (ended | unknown):
            return
        for host_id in found & (ended | unknown):
            await self._admin.kill_connections(address, host_id)
        await self._record_connection_list(upstream_id)

    async def _record_connection_list(
        self, upstream_id: UpstreamId
    ) -> frozenset[HostId]:
        """Record a member's connection list; return the proxies on it."""
        epoch = self._epoch
        checked_at = anyio.current_time()
        listed = await self._admin.connections_by_host(
            self._addresses[upstream_id]
        )
        if listed.is_err() or epoch != self._log.epoch:
            return frozenset()
        counts = {
            holder: len(connections)
            for holder, connections in listed.unwrap().items()
        }
        now = anyio.current_time()
        self._assign(
            upstream_id,
            record_connection_list(
                self._members[upstream_id], counts, checked_at, now
            ),
            now,
        )
        return frozenset(counts)


def _grants_by_host(shares: MemberShares) -> Mapping[HostId, int]:
    return {
        host_id: holder.granted for host_id, holder in shares.holders.items()
    }


def _to_report(demand: ShareDemand | None, draining: bool) -> ShareReport:
    """Convert the demand of a proxy; None means that it has no connection."""
    if demand is None:
        return ShareReport(opened=0, wanted=0, granted=None, draining=draining)
    return ShareReport(
        opened=demand.open_connections,
        wanted=demand.wanted_connections,
        granted=demand.granted_connections,
        draining=draining,
    )
