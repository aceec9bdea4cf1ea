"""Division of one member's connections into reserved and leased shares.

Each proxy has a bound: the most connections that it may hold, whatever
messages were lost. The sum of the bounds never exceeds the limit minus the
connection for probes. A bound falls when the proxy reports that it obeys a
smaller grant, or when its lease has ended and the member's connection list
shows that its connections are closed.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from lavendergate.core.share_division import Claim, DivisionRule, Supply
from lavendergate.core.types import HostId

LEASE_S = 3.0
PROBE_CONNECTIONS = 1

# A connection whose opening began just before the end of the lease appears
# in the member's list after the time limit of an opening.
OPENING_LIMIT_S = 0.5

# A former leader may grant leases until it notices that it lost its quorum,
# at most one election timeout (600 ms) after its successor was elected.
LEADER_WAIT_S = LEASE_S + 0.6 + OPENING_LIMIT_S

# Without contact to control, a proxy reopens a lost reserved connection
# within one second or gives the reservation up. Two checks of the member's
# list at this distance therefore see a proxy that still uses it.
RESERVATION_CHECK_S = 2.0

# A proxy may hold this from a time when the limit allowed reservations, even
# if it no longer does.
_RESERVED = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """What a heartbeat tells about a proxy and a member.

    Parameters
    ----------
    granted
        Grant that the proxy obeys; None if it has none.
    """

    opened: int
    wanted: int
    granted: int | None
    draining: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Holder:
    """A proxy that holds or may hold connections.

    Parameters
    ----------
    granted
        Connections of the last grant that was sent, the reserved included.
    bound
        Most connections that the proxy may hold.
    seen_at
        Arrival of its last heartbeat.
    closed_at
        When its connections were first seen closed after its lease ended.
    """

    granted: int = 0
    bound: int = 0
    wanted: int = 0
    draining: bool = False
    seen_at: float
    closed_at: float | None = None

    def has_lapsed(self, now: float) -> bool:
        """Whether its lease and the openings begun under it have ended."""
        return now - self.seen_at >= LEASE_S + OPENING_LIMIT_S


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberShares:
    """Shares of one member, as the present leader knows them.

    Parameters
    ----------
    started_at
        When this leader began to know the member.
    is_checked
        Whether the member's list showed no connection of an unknown proxy
        since one lease time after that.
    """

    limit: int
    slots: int
    started_at: float
    is_checked: bool = False
    holders: Mapping[HostId, Holder] = field(default_factory=dict)

    @property
    def available(self) -> int:
        """Connections that may be divided."""
        return max(0, self.limit - PROBE_CONNECTIONS)

    @property
    def reserved(self) -> int:
        """Connections reserved for each registered proxy: one or none."""
        return _RESERVED if len(self.holders) <= self.available else 0

    @property
    def free(self) -> int:
        """Connections that no proxy may hold; negative if overdrawn."""
        bounds = sum(holder.bound for holder in self.holders.values())
        return self.available - bounds

    def may_grow(self, now: float) -> bool:
        """Whether grants of the previous leader can no longer interfere."""
        return self.is_checked and now - self.started_at >= LEADER_WAIT_S


def register(shares: MemberShares, host_id: HostId, now: float) -> MemberShares:
    """Add a registered proxy that this leader has not heard yet."""
    if host_id in shares.holders:
        return shares
    holder = Holder(bound=_RESERVED, seen_at=now)
    return _with_holder(shares, host_id, holder)


def remove(shares: MemberShares, host_ids: Iterable[HostId]) -> MemberShares:
    """Forget proxies that are no longer registered."""
    removed = frozenset(host_ids)
    holders = {
        known: holder
        for known, holder in shares.holders.items()
        if known not in removed
    }
    return replace(shares, holders=holders)


def hear(
    shares: MemberShares, host_id: HostId, report: Report, now: float
) -> MemberShares:
    """Enter a heartbeat.

    A proxy sends one heartbeat at a time, so a report that names a grant
    proves that no earlier, larger grant can reach it any more.
    """
    holder = shares.holders.get(host_id)
    if holder is None:
        holder = Holder(seen_at=now)
    obeyed = holder.bound if report.granted is None else report.granted
    return _with_holder(
        shares,
        host_id,
        replace(
            holder,
            bound=max(obeyed, report.opened),
            wanted=report.wanted,
            draining=report.draining,
            seen_at=now,
            closed_at=None,
        ),
    )


def assign(
    shares: MemberShares, rule: DivisionRule, now: float
) -> MemberShares:
    """Compute the grants; they grow only into free connections."""
    targets = _targets(shares, rule, now)
    holders = dict(shares.holders)
    free = shares.free if shares.may_grow(now) else 0
    for host_id in _in_order_of_need(shares, targets):
        holder = holders[host_id]
        growth = min(targets[host_id] - holder.bound, max(0, free))
        granted = min(targets[host_id], holder.bound + max(0, growth))
        bound = max(holder.bound, granted)
        free -= bound - holder.bound
        holders[host_id] = replace(holder, granted=granted, bound=bound)
    return replace(shares, holders=holders)


def lapsed_hosts(shares: MemberShares, now: float) -> frozenset[HostId]:
    """Return the proxies whose connections are to be closed and checked."""
    return frozenset(
        host_id
        for host_id, holder in shares.holders.items()
        if holder.has_lapsed(now) and holder.bound > 0
    )


def needs_check(shares: MemberShares, now: float) -> bool:
    """Whether the member's connection list is needed now."""
    is_due = now - shares.started_at >= LEADER_WAIT_S and not shares.is_checked
    return is_due or bool(lapsed_hosts(shares, now))


def checked(
    shares: MemberShares,
    connections: Mapping[HostId, int],
    checked_at: float,
    now: float,
) -> MemberShares:
    """Enter the member's connection list.

    Parameters
    ----------
    checked_at
        When the list was requested.
    """
    if checked_at - shares.started_at >= LEADER_WAIT_S:
        is_clear = connections.keys() <= shares.holders.keys()
        shares = replace(shares, is_checked=shares.is_checked or is_clear)
    holders = {
        host_id: replace(
            holder, bound=max(holder.bound, connections.get(host_id, 0))
        )
        for host_id, holder in shares.holders.items()
    }
    for host_id in lapsed_hosts(shares, checked_at):
        holders[host_id] = _checked_holder(
            holders[host_id], connections.get(host_id, 0), now
        )
    return replace(shares, holders=holders)


def is_freed(shares: MemberShares, host_id: HostId) -> bool:
    """Whether a proxy holds no connection and no reservation any more."""
    holder = shares.holders.get(host_id)
    return holder is None or holder.bound == 0


def _with_holder(
    shares: MemberShares, host_id: HostId, holder: Holder
) -> MemberShares:
    return replace(shares, holders={**shares.holders, host_id: holder})


def _targets(
    shares: MemberShares, rule: DivisionRule, now: float
) -> dict[HostId, int]:
    """Return what each live proxy is to hold in the end."""
    live = {
        host_id: holder
        for host_id, holder in shares.holders.items()
        if not holder.draining and now - holder.seen_at < LEASE_S
    }
    reserved = shares.reserved
    supply = Supply(
        connections=shares.available - reserved * len(shares.holders),
        slots=shares.slots,
    )
    claims = {
        host_id: _claim(max(0, holder.wanted - reserved))
        for host_id, holder in live.items()
    }
    extra = rule(supply, claims)
    return {
        host_id: reserved + extra[host_id] if host_id in live else 0
        for host_id in shares.holders
    }


def _claim(wanted: int) -> Claim:
    """A proxy does not report statements: each connection may run one."""
    return Claim(connections=wanted, slots=wanted)


def _in_order_of_need(
    shares: MemberShares, targets: Mapping[HostId, int]
) -> list[HostId]:
    """Return the proxies, those without their reservation first."""
    return sorted(
        targets, key=lambda host_id: (shares.holders[host_id].bound, host_id)
    )


def _checked_holder(holder: Holder, found: int, now: float) -> Holder:
    if found:
        return replace(holder, closed_at=None)
    if holder.closed_at is None:
        bound = min(holder.bound, _RESERVED)
        return replace(holder, bound=bound, granted=0, closed_at=now)
    if now - holder.closed_at >= RESERVATION_CHECK_S:
        return replace(holder, bound=0)
    return holder
