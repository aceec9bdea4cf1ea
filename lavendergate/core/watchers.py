"""Assignment of watchers to members, and agreement on suspicion."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

from lavendergate.core.records import HostRecord
from lavendergate.core.types import HostId, UpstreamId

WATCHERS_PER_MEMBER = 3
PROBE_ROUND_S = 0.25

_AGREEING_WATCHERS = 2
_FAILED_ROUNDS = 3

# A round (250 ms), its timeout (500 ms) and a heartbeat (500 ms) pass before
# the next result arrives; an older result says nothing about the present.
_RESULT_LIFETIME_S = 1.5


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeTrack:
    """Consecutive failed probe rounds of one watcher for one member."""

    failed_rounds: int
    measured_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Suspicion:
    """What the watchers of a member agree on.

    Parameters
    ----------
    is_agreed
        Whether two watchers report failed probes in three rounds.
    is_unanimous
        Whether all watchers do, and there are at least two.
    """

    is_agreed: bool = False
    is_unanimous: bool = False


NO_SUSPICION = Suspicion()


def watchers_of(
    upstream_id: UpstreamId, hosts: Iterable[HostRecord]
) -> tuple[HostId, ...]:
    """Select the hosts that watch a member.

    Rendezvous hashing keeps the selection when other hosts come and go. The
    watchers are in different failure domains as far as there are enough.
    """
    ranked = sorted(
        hosts, key=lambda host: _weight(upstream_id, host.host_id), reverse=True
    )
    first_of_domain = {
        host.failure_domain: host.host_id for host in reversed(ranked)
    }
    leaders = frozenset(first_of_domain.values())
    spread = [host.host_id for host in ranked if host.host_id in leaders]
    others = [host.host_id for host in ranked if host.host_id not in leaders]
    return tuple((spread + others)[:WATCHERS_PER_MEMBER])


def record_probe(
    track: ProbeTrack | None, *, reachable: bool, measured_at: float
) -> ProbeTrack:
    """Enter the result of a probe.

    A heartbeat repeats the last result until the next round; a result that
    is less than half a round younger is the same one.
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


def agree(
    tracks: Mapping[HostId, ProbeTrack],
    watchers: Iterable[HostId],
    now: float,
) -> Suspicion:
    """Combine the results of a member's watchers."""
    votes = [_suspects(tracks.get(watcher), now) for watcher in watchers]
    is_agreed = sum(votes) >= _AGREEING_WATCHERS
    return Suspicion(is_agreed=is_agreed, is_unanimous=is_agreed and all(votes))


def _weight(upstream_id: UpstreamId, host_id: HostId) -> int:
    return xxhash.xxh3_64_intdigest(f'{upstream_id}\n{host_id}'.encode())


def _suspects(track: ProbeTrack | None, now: float) -> bool:
    if track is None or now - track.measured_at > _RESULT_LIFETIME_S:
        return False
    return track.failed_rounds >= _FAILED_ROUNDS
