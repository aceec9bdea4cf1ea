"""How long control hosts have been silent, kept over a change of leader.

A leader counts silence from its election on. Without the times that its
predecessor counted, a group whose leaders change would keep a voter that is
gone for ever.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from lavendergate.core.types import HostId
from lavendergate.core.voter_changes import NodeProgress

# Time without an answer to this leader itself before an inherited silence
# counts, in seconds: two heartbeats, in which a host that is back answers.
_OWN_SILENCE_S = 0.5
# Time after the last report of a leader for which a silence is kept, in
# seconds: an election after which the winner is lost, too, and a second one.
# Without an end, a host that missed the end of a silence would count it for a
# voter that is only restarted much later.
_KEPT_S = 6.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Silence:
    """Silence of one start of a host's disk.

    Parameters
    ----------
    since
        Monotonic time of the last answer that any leader got, in seconds.
    reported_at
        Monotonic time at which a leader last missed the host, or reported
        that it does, in seconds.
    """

    incarnation: str
    since: float
    reported_at: float


Silences = Mapping[HostId, Silence]


def current_silences(known: Silences, now: float) -> dict[HostId, Silence]:
    """Return the silences that a leader missed or reported recently.

    Parameters
    ----------
    now
        Time on the monotonic clock, in seconds.
    """
    return {
        host_id: silence
        for host_id, silence in known.items()
        if now - silence.reported_at <= _KEPT_S
    }


def observed_silences(
    known: Silences, progress: Mapping[HostId, NodeProgress], now: float
) -> dict[HostId, Silence]:
    """Return the silences as the leader knows them.

    Parameters
    ----------
    known
        Silences that this host knew before.
    progress
        Replication state of the nodes other than the leader.
    now
        Time on the monotonic clock, in seconds.
    """
    silences: dict[HostId, Silence] = {}
    current = current_silences(known, now)
    for host_id, node in progress.items():
        if node.has_answered and node.since_answer_s <= _OWN_SILENCE_S:
            continue
        earlier = current.get(host_id)
        since = now - node.since_answer_s
        if earlier is not None and earlier.incarnation == node.incarnation:
            since = min(since, earlier.since)
        silences[host_id] = Silence(
            incarnation=node.incarnation, since=since, reported_at=now
        )
    return silences


def longest_silences(
    known: Silences, reported: Silences
) -> dict[HostId, Silence]:
    """Return the longer silence of each host.

    A reported silence of another incarnation is ignored, and so is one of a
    host that this leader does not miss.
    """
    longest = dict(known)
    for host_id, silence in known.items():
        other = reported.get(host_id)
        if other is not None and other.incarnation == silence.incarnation:
            longest[host_id] = min(silence, other, key=_since)
    return longest


def with_silences(
    progress: Mapping[HostId, NodeProgress], silences: Silences, now: float
) -> dict[HostId, NodeProgress]:
    """Return the replication state with the silences counted before.

    A silence counts once the host has not answered this leader for a while
    either.
    """
    return {
        host_id: _with_silence(node, silences.get(host_id), now)
        for host_id, node in progress.items()
    }


def _with_silence(
    node: NodeProgress, silence: Silence | None, now: float
) -> NodeProgress:
    if silence is None or node.since_answer_s < _OWN_SILENCE_S:
        return node
    if silence.incarnation != node.incarnation:
        return node
    return replace(
        node, since_answer_s=max(node.since_answer_s, now - silence.since)
    )


def _since(silence: Silence) -> float:
    return silence.since
