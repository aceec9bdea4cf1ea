"""Load of members as measured by one proxy, and load balancing of reads."""

from collections.abc import Mapping
from dataclasses import dataclass

from lavendergate.core.types import MemberView, Region, UpstreamId

# A member that gets no reads for this long gets the next one, so that its
# latency does not stay unknown or outdated. Each failure in a row doubles the
# interval, because a read at a silent member may last until its deadline.
MEASURE_INTERVAL_S = 5.0
_MAX_MEASURE_INTERVAL_S = 80.0


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
        other proxies. 0 before the first statement.
    routed_at
        When the last read was sent to the member, on the clock of the
        runtime, in seconds.
    measure_interval_s
        Time without reads after which the next read measures the latency.
    is_ejected
        Whether the member is ejected because it is slow.
    """

    in_flight: int = 0
    slots: int = 1
    latency_ms: float = 0
    routed_at: float = float('-inf')
    measure_interval_s: float = MEASURE_INTERVAL_S
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

    def is_due(self, now: float) -> bool:
        """Whether the next read should measure the latency of the member."""
        return now - self.routed_at >= self.measure_interval_s

    def record_failure(self) -> None:
        """Double the time until the latency is measured again."""
        doubled_s = 2 * self.measure_interval_s
        self.measure_interval_s = min(doubled_s, _MAX_MEASURE_INTERVAL_S)

    def record_answer(self) -> None:
        """Measure the latency at the usual interval again."""
        self.measure_interval_s = MEASURE_INTERVAL_S


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
        Assumed latency of a statement in another region before one was
        measured, in milliseconds: two times the one-way latency between
        regions.
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
    """Return the expected latency of a statement on a member.

    A measured latency includes the way to another region.
    """
    load = loads.get(member.upstream_id, NO_LOAD)
    if load.latency_ms or member.region == policy.region:
        return load.latency_ms + load.queue_ms
    return policy.cross_region_ms


def least_loaded(
    candidates: list[MemberView],
    loads: Loads,
    policy: RoutingPolicy,
    tie_breaker: float,
) -> MemberView:
    """Return the member that should run the next read.

    Members in the proxy's region come first, unless the best of them has no
    free slot and a member in another region is expected to answer sooner. In
    the proxy's region, the member with the lowest utilization is selected,
    then the one with the lowest latency, then one by `tie_breaker`; in other
    regions the one that is expected to answer first.

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
    if best.region != policy.region or not _is_full(best, loads):
        return best
    return _sooner_elsewhere(best, candidates, loads, policy)


def _rank(
    member: MemberView,
    loads: Loads,
    policy: RoutingPolicy,
) -> tuple[int, float, float]:
    load = loads.get(member.upstream_id, NO_LOAD)
    utilization = load.in_flight / load.slots
    # Latencies are truncated to whole milliseconds, because smaller
    # differences are noise.
    if member.region == policy.region:
        return (0, utilization, int(load.latency_ms))
    return (1, int(expected_latency_ms(member, loads, policy)), utilization)


def _is_full(member: MemberView, loads: Loads) -> bool:
    load = loads.get(member.upstream_id, NO_LOAD)
    return load.in_flight >= load.slots


def _sooner_elsewhere(
    near: MemberView,
    candidates: list[MemberView],
    loads: Loads,
    policy: RoutingPolicy,
) -> MemberView:
    """Return the member that should answer first, the near one if equal."""
    best = near
    best_ms = expected_latency_ms(near, loads, policy)
    for member in candidates:
        if member.region != policy.region:
            latency_ms = expected_latency_ms(member, loads, policy)
            if latency_ms < best_ms:
                best, best_ms = member, latency_ms
    return best
