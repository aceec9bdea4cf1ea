"""Time that a member takes for a read, made comparable between members."""

import math
from dataclasses import dataclass

# Weight of the latest answer in the recent and in the usual speed. The mean of
# the logarithms is used, since single slow statements are part of any load.
_RECENT_WEIGHT = 0.1
_USUAL_WEIGHT = 0.01
# Answers after which each of them says something about the member.
_RECENT_ANSWERS = 8
_USUAL_ANSWERS = 50
# Age in seconds after which the recent speed says nothing.
_VALIDITY_S = 5.0
# Least service time that is told apart, in seconds.
_RESOLUTION_S = 0.005


@dataclass(kw_only=True, slots=True)
class ServiceSpeed:
    """Mean service time of the reads of one member, as a logarithm.

    The shortest latency stands for the network, so that near and far members
    can be compared.

    Parameters
    ----------
    shortest_s
        Shortest latency of a read, in seconds.
    recent, usual
        Logarithm of the mean service time lately and in the long run.
    answers
        Number of recorded answers.
    answered_at
        Time of the last one, in seconds.
    """

    shortest_s: float = math.inf
    recent: float = 0
    usual: float = 0
    answers: int = 0
    answered_at: float = float('-inf')

    def record(self, latency_s: float, now: float) -> None:
        """Record the latency of a read, in seconds."""
        self.shortest_s = min(self.shortest_s, latency_s)
        value = math.log(latency_s - self.shortest_s + _RESOLUTION_S)
        if not self.answers:
            self.recent = value
            self.usual = value
        self.answers += 1
        self.answered_at = now
        # The first answers count in full: the first latency is the shortest.
        recent_weight = max(_RECENT_WEIGHT, 1 / self.answers)
        usual_weight = max(_USUAL_WEIGHT, 1 / self.answers)
        self.recent += recent_weight * (value - self.recent)
        self.usual += usual_weight * (value - self.usual)

    def recent_at(self, now: float) -> float | None:
        """Return the recent speed; None if too few or old answers show it."""
        is_known = self.answers >= _RECENT_ANSWERS
        return self.recent if is_known and self._is_current(now) else None

    def usual_at(self, now: float) -> float | None:
        """Return the usual speed; None if too few or old answers show it."""
        is_known = self.answers >= _USUAL_ANSWERS
        return self.usual if is_known and self._is_current(now) else None

    def _is_current(self, now: float) -> bool:
        return now - self.answered_at <= _VALIDITY_S


def slowness(
    member: ServiceSpeed, peers: tuple[ServiceSpeed, ...], now: float
) -> float:
    """Return how many times slower a member is than its fastest peer.

    Without a peer that answered lately, it is compared with itself in the long
    run. 1 if nothing can be compared, so that a service all of whose members
    are slow keeps its pace.
    """
    own = member.recent_at(now)
    recent = [peer.recent_at(now) for peer in peers]
    known = [speed for speed in recent if speed is not None]
    reference = min(known) if known else member.usual_at(now)
    if own is None or reference is None:
        return 1
    return max(1, math.exp(own - reference))
