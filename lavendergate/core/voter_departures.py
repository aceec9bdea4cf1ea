"""Control hosts that announced that they stop.

A host that receives a stop signal does not know whether it is restarted or
stops for good, so the announcement is forgotten once the host answers again.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from lavendergate.core.types import HostId
from lavendergate.core.voter_changes import NodeProgress

# Time for which a host may still answer after its announcement, in seconds:
# twice the time that it takes to stop. A later answer is one of its next run.
_STOP_S = 1.5
# Time without an answer after which a host has stopped, in seconds. It is
# four heartbeats, so a new leader has asked the host before.
_STOPPED_AFTER_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class AnnouncedStop:
    """Announcement of a host that it stops.

    Parameters
    ----------
    announced_at
        Monotonic time of the announcement, in seconds.
    """

    incarnation: str
    announced_at: float


def without_returned(
    stops: Mapping[HostId, AnnouncedStop],
    progress: Mapping[HostId, NodeProgress],
    now: float,
) -> dict[HostId, AnnouncedStop]:
    """Return the announcements of the hosts that have not answered since.

    Parameters
    ----------
    progress
        Replication state of the nodes other than the leader.
    now
        Time on the monotonic clock, in seconds.
    """
    return {
        host_id: stop
        for host_id, stop in stops.items()
        if not _has_returned(stop, progress.get(host_id), now)
    }


def leaving_hosts(
    stops: Mapping[HostId, AnnouncedStop],
    progress: Mapping[HostId, NodeProgress],
    now: float,
) -> frozenset[HostId]:
    """Return the hosts that are stopping or have stopped.

    A leader that was elected after the announcement waits for an answer
    first, because the host may have been restarted meanwhile.
    """
    return frozenset(
        host_id
        for host_id, stop in without_returned(stops, progress, now).items()
        if _is_stopping(stop, progress.get(host_id), now)
    )


def _has_returned(
    stop: AnnouncedStop, node: NodeProgress | None, now: float
) -> bool:
    if node is None or not node.has_answered:
        return False
    if node.incarnation != stop.incarnation:
        return True
    return now - node.since_answer_s > stop.announced_at + _STOP_S


def _is_stopping(
    stop: AnnouncedStop, node: NodeProgress | None, now: float
) -> bool:
    if now - stop.announced_at <= _STOP_S:
        return True
    return node is not None and node.since_answer_s >= _STOPPED_AFTER_S
