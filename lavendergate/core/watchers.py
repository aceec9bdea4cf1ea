"""Assignment of watchers to members, and evaluation of their probes.

A watcher is a proxy host that probes the primary of a group: once in each probe
period, and continuously while the primary is suspected to have failed.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

from lavendergate.core.records import HostRecord
from lavendergate.core.types import HostId, UpstreamId

WATCHERS_PER_MEMBER = 3
PROBE_ROUND_S = 0.25

_AGREEING_WATCHERS = 2
_FAILED_ROUNDS = 3

# The next result arrives within 1.25 s: a probe round (250 ms), the time limit
# of the probe (500 ms) and a heartbeat interval (500 ms). The limit is 250 ms
# above that; an older result does not show the current state of the member.
_RESULT_LIFETIME_S = 1.5


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeTrack:
    """Probe results of one watcher for one member.

    Parameters
    ----------
    failed_rounds
        Number of consecutive failed rounds up to the last probe.
    measured_at
        Monotonic time of the last probe, in seconds.
    """

    failed_rounds: int
    measured_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Suspicion:
    """Combined result of the watchers of a member.

    Parameters
    ----------
    is_reported_by_enough
        Whether at least two watchers report three failed rounds in sequence.
    is_reported_by_all
        Whether all watchers, at least two, report this.
    """

    is_reported_by_enough: bool = False
    is_reported_by_all: bool = False


NO_SUSPICION = Suspicion()


def watchers_of(
    upstream_id: UpstreamId, hosts: Iterable[HostRecord]
) -> tuple[HostId, ...]:
    """Select the hosts that probe a member.

    With rendezvous hashing, the selection changes only when a selected host
    leaves or a new host ranks above one of them. The watchers are in different
    failure domains if there are enough domains.
    """
    ranked = sorted(
        hosts, key=lambda host: _weight(upstream_id, host.host_id), reverse=True
    )
    first_of_domain = {
        host.failure_domain: host.host_id for host in reversed(ranked)
    }
    one_per_domain = frozenset(first_of_domain.values())
    in_distinct_domains = [
        host.host_id for host in ranked if host.host_id in one_per_domain
    ]
    others = [
        host.host_id for host in ranked if host.host_id not in one_per_domain
    ]
    return tuple((in_distinct_domains + others)[:WATCHERS_PER_MEMBER])


def record_probe(
    track: ProbeTrack | None, *, reachable: bool, measured_at: float
) -> ProbeTrack:
    """Add the result of a probe to the results of its watcher.

    Heartbeats repeat the last result until the next round, so a result that
    is less than half a round newer than the last one is taken as a repeat.
    """
    if track is None:
        return ProbeTrack(
            failed_rounds=0 if reachable else 1, measured_at=measured_at
        )
    if measured_at - track.measured_at < PROBE_ROUND_S / 2:
        return track
    return ProbeTrack(
        failed_rounds=0 if reachable else track.failed_rounds + 1,
        measured_at=measured_at,
    )


def combine_probe_results(
    tracks: Mapping[HostId, ProbeTrack],
    watchers: Iterable[HostId],
    now: float,
) -> Suspicion:
    """Combine the probe results of the watchers of a member."""
    failure_reports = [
        _reports_failure(tracks.get(watcher), now) for watcher in watchers
    ]
    is_reported_by_enough = sum(failure_reports) >= _AGREEING_WATCHERS
    return Suspicion(
        is_reported_by_enough=is_reported_by_enough,
        is_reported_by_all=is_reported_by_enough and all(failure_reports),
    )


def _weight(upstream_id: UpstreamId, host_id: HostId) -> int:
    return xxhash.xxh3_64_intdigest(f'{upstream_id}\n{host_id}'.encode())


def _reports_failure(track: ProbeTrack | None, now: float) -> bool:
    if track is None or now - track.measured_at > _RESULT_LIFETIME_S:
        return False
    return track.failed_rounds >= _FAILED_ROUNDS
