"""Division of one member's connections into reserved and leased shares.

Each proxy has a bound: the maximum number of connections that it can hold,
whichever messages were lost. The sum of the bounds is raised only up to the
limit minus the connection for probes; after the limit was lowered, the sum may
be higher for a while. A bound is lowered when the proxy reports that it applies
a smaller grant, or when its lease has ended and the member's connection list
shows that its connections are closed.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from lavendergate.core.share_division import Capacity, Demand, DivisionRule
from lavendergate.core.types import HostId

LEASE_S = 3.0
PROBE_CONNECTIONS = 1

# Timeout for opening a connection. A connection whose opening began just before
# the lease ended can appear in the member's connection list this much later.
OPENING_LIMIT_S = 0.5

# Time after which no lease of a former leader is in force any more. A former
# leader may grant leases until it notices the loss of its quorum, at most one
# election timeout (600 ms) after its successor was elected.
LEADER_WAIT_S = LEASE_S + 0.6 + OPENING_LIMIT_S

# A proxy without contact to the control hosts reopens a lost reserved
# connection within one second, or releases the reservation. Of two checks of
# the member's connection list at this interval, at least one therefore shows
# the connection of a proxy that still uses its reservation.
RESERVATION_CHECK_S = 2.0

# Reserved connections per proxy. A proxy may still hold its reserved connection
# when a later limit no longer allows reservations.
_RESERVED = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class ShareReport:
    """Use of a member's connections by a proxy, from a heartbeat.

    Parameters
    ----------
    opened
        Number of connections that the proxy has open.
    wanted
        Number of connections that it would use now.
    granted
        Grant that the proxy applies; None if it has none.
    """

    opened: int
    wanted: int
    granted: int | None
    draining: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Holder:
    """A proxy that holds, or may hold, connections to the member.

    Parameters
    ----------
    granted
        Number of connections of the last grant, including the reserved one.
    bound
        Maximum number of connections that the proxy can hold.
    seen_at
        Time of its last heartbeat, in seconds.
    closed_at
        Time when its connections were first found closed after the end of
        its lease, in seconds; None before.
    """

    granted: int = 0
    bound: int = 0
    wanted: int = 0
    draining: bool = False
    seen_at: float
    closed_at: float | None = None

    def has_lapsed(self, now: float) -> bool:
        """Whether the lease and all openings begun under it have ended.

        This is `OPENING_LIMIT_S` after the end of the lease.
        """
        return now - self.seen_at >= LEASE_S + OPENING_LIMIT_S


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberShares:
    """Shares of one member, as known to the present leader.

    Parameters
    ----------
    started_at
        Time when this leader learned of the member, in seconds.
    is_checked
        Whether a connection list requested at least `LEADER_WAIT_S` after
        `started_at` showed no connection of an unknown proxy.
    """

    limit: int
    slots: int
    started_at: float
    is_checked: bool = False
    holders: Mapping[HostId, Holder] = field(default_factory=dict)

    @property
    def available(self) -> int:
        """Number of connections that may be divided among proxies."""
        return max(0, self.limit - PROBE_CONNECTIONS)

    @property
    def reserved(self) -> int:
        """Number of connections reserved for each registered proxy, 0 or 1."""
        return _RESERVED if len(self.holders) <= self.available else 0

    @property
    def free(self) -> int:
        """Number of available connections that are outside all bounds.

        Negative if the sum of the bounds exceeds `available`, for instance
        after the limit was lowered.
        """
        bounds = sum(holder.bound for holder in self.holders.values())
        return self.available - bounds

    def may_raise_grants(self, now: float) -> bool:
        """Whether grants may be raised.

        The leases of a former leader must have ended, and the connection list
        must have shown no connection of an unknown proxy.
        """
        return self.is_checked and now - self.started_at >= LEADER_WAIT_S


def register_proxy(
    shares: MemberShares, host_id: HostId, now: float
) -> MemberShares:
    """Add a registered proxy that has sent no heartbeat to this leader."""
    if host_id in shares.holders:
        return shares
    holder = Holder(bound=_RESERVED, seen_at=now)
    return _with_holder(shares, host_id, holder)


def remove_proxies(
    shares: MemberShares, host_ids: Iterable[HostId]
) -> MemberShares:
    """Remove proxies that are no longer registered."""
    removed = frozenset(host_ids)
    holders = {
        known: holder
        for known, holder in shares.holders.items()
        if known not in removed
    }
    return replace(shares, holders=holders)


def record_heartbeat(
    shares: MemberShares, host_id: HostId, report: ShareReport, now: float
) -> MemberShares:
    """Update the holder of a proxy from its heartbeat.

    A proxy sends one heartbeat at a time, so a report that contains a grant
    proves that no earlier, larger grant can still reach the proxy.
    """
    holder = shares.holders.get(host_id)
    if holder is None:
        holder = Holder(seen_at=now)
    applied_grant = holder.bound if report.granted is None else report.granted
    return _with_holder(
        shares,
        host_id,
        replace(
            holder,
            bound=max(applied_grant, report.opened),
            wanted=report.wanted,
            draining=report.draining,
            seen_at=now,
            closed_at=None,
        ),
    )


def assign_grants(
    shares: MemberShares, rule: DivisionRule, now: float
) -> MemberShares:
    """Compute the grants; a grant is raised only by free connections."""
    targets = _targets(shares, rule, now)
    holders = dict(shares.holders)
    free = shares.free if shares.may_raise_grants(now) else 0
    for host_id in _in_grant_order(shares, targets):
        holder = holders[host_id]
        growth = min(targets[host_id] - holder.bound, max(0, free))
        granted = min(targets[host_id], holder.bound + max(0, growth))
        bound = max(holder.bound, granted)
        free -= bound - holder.bound
        holders[host_id] = replace(holder, granted=granted, bound=bound)
    return replace(shares, holders=holders)


def lapsed_hosts(shares: MemberShares, now: float) -> frozenset[HostId]:
    """Return the proxies with `has_lapsed` and a bound above 0.

    Their connections are to be closed, and the member's connection list is to
    be checked for them.
    """
    return frozenset(
        host_id
        for host_id, holder in shares.holders.items()
        if holder.has_lapsed(now) and holder.bound > 0
    )


def needs_check(shares: MemberShares, now: float) -> bool:
    """Whether the member's connection list must be requested now."""
    is_first_check_due = (
        now - shares.started_at >= LEADER_WAIT_S and not shares.is_checked
    )
    return is_first_check_due or bool(lapsed_hosts(shares, now))


def record_connection_list(
    shares: MemberShares,
    connections: Mapping[HostId, int],
    checked_at: float,
    now: float,
) -> MemberShares:
    """Update the shares from the member's connection list.

    Parameters
    ----------
    connections
        Number of connections by proxy.
    checked_at
        Time when the list was requested, in seconds.
    """
    if checked_at - shares.started_at >= LEADER_WAIT_S:
        has_no_unknown_proxy = connections.keys() <= shares.holders.keys()
        shares = replace(
            shares, is_checked=shares.is_checked or has_no_unknown_proxy
        )
    holders = {
        host_id: replace(
            holder, bound=max(holder.bound, connections.get(host_id, 0))
        )
        for host_id, holder in shares.holders.items()
    }
    for host_id in lapsed_hosts(shares, checked_at):
        holders[host_id] = _update_lapsed_holder(
            holders[host_id], connections.get(host_id, 0), now
        )
    return replace(shares, holders=holders)


def is_freed(shares: MemberShares, host_id: HostId) -> bool:
    """Whether a proxy no longer holds any connection or reservation."""
    holder = shares.holders.get(host_id)
    return holder is None or holder.bound == 0


def _with_holder(
    shares: MemberShares, host_id: HostId, holder: Holder
) -> MemberShares:
    return replace(shares, holders={**shares.holders, host_id: holder})


def _targets(
    shares: MemberShares, rule: DivisionRule, now: float
) -> dict[HostId, int]:
    """Return the number of connections that each proxy is to hold.

    It is 0 for proxies that drain or whose lease has ended.
    """
    live = {
        host_id: holder
        for host_id, holder in shares.holders.items()
        if not holder.draining and now - holder.seen_at < LEASE_S
    }
    reserved = shares.reserved
    capacity = Capacity(
        connections=shares.available - reserved * len(shares.holders),
        slots=shares.slots,
    )
    demands = {
        host_id: _demand(max(0, holder.wanted - reserved))
        for host_id, holder in live.items()
    }
    extra = rule(capacity, demands)
    return {
        host_id: reserved + extra[host_id] if host_id in live else 0
        for host_id in shares.holders
    }


def _demand(wanted: int) -> Demand:
    """Return the demand of a proxy.

    A proxy does not report its statements, so each connection counts as one
    statement.
    """
    return Demand(connections=wanted, slots=wanted)


def _in_grant_order(
    shares: MemberShares, targets: Mapping[HostId, int]
) -> list[HostId]:
    """Return the proxies by ascending bound.

    Proxies without their reserved connection come first.
    """
    return sorted(
        targets, key=lambda host_id: (shares.holders[host_id].bound, host_id)
    )


def _update_lapsed_holder(holder: Holder, found: int, now: float) -> Holder:
    if found:
        return replace(holder, closed_at=None)
    if holder.closed_at is None:
        bound = min(holder.bound, _RESERVED)
        return replace(holder, bound=bound, granted=0, closed_at=now)
    if now - holder.closed_at >= RESERVATION_CHECK_S:
        return replace(holder, bound=0)
    return holder
