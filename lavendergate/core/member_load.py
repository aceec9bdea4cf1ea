"""Load of members as one proxy sees it, and the choice between members."""

from collections.abc import Mapping
from dataclasses import dataclass

from lavendergate.core.types import MemberView, Region, UpstreamId


@dataclass(kw_only=True, slots=True)
class MemberLoad:
    """Load of one member; drivers update it in place.

    Parameters
    ----------
    in_flight
        Statements of this proxy that are running or waiting on the member.
    slots
        Statements that the member executes at the same time.
    latency_ms
        Recent latency of a statement, the network included and waits for
        confirmation excluded. It also shows the load by other proxies.
    is_ejected
        Whether the member is ejected for being slow.
    """

    in_flight: int = 0
    slots: int = 1
    latency_ms: float = 0
    is_ejected: bool = False

    @property
    def utilization(self) -> float:
        """Statements in flight for each slot."""
        return self.in_flight / self.slots

    @property
    def queue_ms(self) -> float:
        """Estimated time that a new statement waits for a slot."""
        queued = self.in_flight + 1 - self.slots
        return self.latency_ms * queued / self.slots if queued > 0 else 0


Loads = Mapping[UpstreamId, MemberLoad]
NO_LOAD = MemberLoad()


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingPolicy:
    """Settings and place of the proxy that routes.

    Parameters
    ----------
    region
        Region of the proxy.
    replica_wait_ms
        Longest wait for a replica, from the setting `read.replica_wait_ms`.
    cross_region_ms
        Additional time of a statement in another region, in milliseconds:
        two times the one-way latency between regions.
    spill_factor
        A read goes to the primary if that is expected to take less than
        this fraction's inverse of the time on the best replica.
    """

    region: Region
    replica_wait_ms: int = 5
    cross_region_ms: int = 40
    spill_factor: float = 2


def cost_ms(member: MemberView, loads: Loads, policy: RoutingPolicy) -> float:
    """Return the expected time of a statement on a member."""
    load = loads.get(member.upstream_id, NO_LOAD)
    cost = load.latency_ms + load.queue_ms
    if member.region == policy.region:
        return cost
    return cost + policy.cross_region_ms


def least_loaded(
    candidates: list[MemberView],
    loads: Loads,
    policy: RoutingPolicy,
    tie: float,
) -> MemberView:
    """Return the member that should run the next read.

    Members in the proxy's region come first unless the wait for a slot
    there takes longer than the way to another region. Then the lowest
    utilization wins, then the lowest latency, then the tie number.

    Parameters
    ----------
    candidates
        At least one member.
    tie
        Random number from 0 to 1.
    """
    count = len(candidates)
    if count == 1:
        return candidates[0]
    first = int(tie * count)
    best = candidates[first % count]
    best_rank = _rank(best, loads, policy)
    for offset in range(1, count):
        member = candidates[(first + offset) % count]
        rank = _rank(member, loads, policy)
        if rank < best_rank:
            best, best_rank = member, rank
    return best


def _rank(
    member: MemberView,
    loads: Loads,
    policy: RoutingPolicy,
) -> tuple[int, float, int]:
    load = loads.get(member.upstream_id, NO_LOAD)
    place = 0 if member.region == policy.region else 1
    is_queued = load.in_flight >= load.slots
    if is_queued and load.queue_ms > policy.cross_region_ms:
        place += 2
    # Whole milliseconds: smaller differences are noise.
    return (place, load.in_flight / load.slots, int(load.latency_ms))
