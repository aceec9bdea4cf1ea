"""Load of members as measured by one proxy, and load balancing of reads."""

from collections.abc import Mapping
from dataclasses import dataclass

from lavendergate.core.types import MemberView, Region, UpstreamId


@dataclass(kw_only=True, slots=True)
class MemberLoad:
    """Load of one member; controllers update it in place.

    Parameters
    ----------
    in_flight
        Number of statements of this proxy that are running or waiting on the
        member.
    slots
        Number of statements that the member executes concurrently.
    latency_ms
        Recent latency of a statement in milliseconds, including the network
        and excluding waits for confirmation. It also reflects the load from
        other proxies.
    is_ejected
        Whether the member is ejected because it is slow.
    """

    in_flight: int = 0
    slots: int = 1
    latency_ms: float = 0
    is_ejected: bool = False

    @property
    def utilization(self) -> float:
        """Number of statements in flight per slot."""
        return self.in_flight / self.slots

    @property
    def queue_ms(self) -> float:
        """Estimated wait of a new statement for a slot, in milliseconds."""
        queued = self.in_flight + 1 - self.slots
        return self.latency_ms * queued / self.slots if queued > 0 else 0


Loads = Mapping[UpstreamId, MemberLoad]
NO_LOAD = MemberLoad()


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingPolicy:
    """Routing settings and location of a proxy.

    Parameters
    ----------
    region
        Region of the proxy.
    replica_wait_ms
        Maximum wait for a replica in milliseconds, from the setting
        `read.replica_wait_ms`.
    cross_region_ms
        Additional latency of a statement in another region, in
        milliseconds: two times the one-way latency between regions.
    primary_read_factor
        A read goes to the primary if the expected latency on the best
        replica is more than this factor times that on the primary.
    """

    region: Region
    replica_wait_ms: int = 5
    cross_region_ms: int = 40
    primary_read_factor: float = 2


def expected_latency_ms(
    member: MemberView, loads: Loads, policy: RoutingPolicy
) -> float:
    """Return the expected latency of a statement on a member."""
    load = loads.get(member.upstream_id, NO_LOAD)
    latency_ms = load.latency_ms + load.queue_ms
    if member.region == policy.region:
        return latency_ms
    return latency_ms + policy.cross_region_ms


def least_loaded(
    candidates: list[MemberView],
    loads: Loads,
    policy: RoutingPolicy,
    tie_breaker: float,
) -> MemberView:
    """Return the member that should run the next read.

    Members in the proxy's region come first, unless the wait for a slot
    there is longer than the additional latency to another region. Next the
    member with the lowest utilization is selected, then the one with the
    lowest latency, then one by `tie_breaker`.

    Parameters
    ----------
    candidates
        Members to select from, at least one.
    tie_breaker
        Random number from 0 to 1 that selects among equal members.
    """
    count = len(candidates)
    if count == 1:
        return candidates[0]
    first = int(tie_breaker * count)
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
    region_rank = 0 if member.region == policy.region else 1
    is_full = load.in_flight >= load.slots
    if is_full and load.queue_ms > policy.cross_region_ms:
        region_rank += 2
    # The latency is truncated to whole milliseconds, because smaller
    # differences are noise.
    return (region_rank, load.in_flight / load.slots, int(load.latency_ms))
