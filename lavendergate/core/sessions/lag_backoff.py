"""When a read asks a replica again that had not applied its position.

While replicas are far behind, each of their refusals takes a turn at a
member and a place in the queue of its home, and tells nothing new.
"""

from dataclasses import dataclass, field

from lavendergate.core.types import UpstreamId

# Pauses before the same replica is asked again, in seconds. The first is the
# time for which a report of a replica's position is used elsewhere.
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 0.8


@dataclass(kw_only=True, slots=True)
class LagBackoff:
    """Replicas that were behind the position of one read."""

    _again_at: dict[UpstreamId, float] = field(default_factory=dict)
    _pause_s: dict[UpstreamId, float] = field(default_factory=dict)

    def record(self, member: UpstreamId, now: float) -> None:
        """Record that a member was behind.

        Parameters
        ----------
        now
            Time, in seconds.
        """
        pause_s = self._pause_s.get(member, _FIRST_PAUSE_S)
        self._again_at[member] = now + pause_s
        self._pause_s[member] = min(2 * pause_s, _LONGEST_PAUSE_S)

    def may_ask(self, member: UpstreamId, now: float) -> bool:
        """Return whether a member may have caught up."""
        return now >= self._again_at.get(member, now)
