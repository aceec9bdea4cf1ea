"""How far a replica is expected to be behind its primary.

A read that a replica rejects as lagging costs a round trip, and the member an
arrival. On the calm day of a deployment with two lagging replicas every one of
the rejected arrivals was such a read: each proxy kept asking both of them.
"""

import math
from dataclasses import dataclass

# Lag in seconds that replicas have in normal operation. Within it, lag varies
# from commit to commit, so that one served read proves little.
NORMAL_LAG_S = 0.6
# Longest lag that is expected, in seconds. It exceeds the staleness bounds in
# use, so that a replica can be left out of all bounded reads.
_MAX_LAG_S = 5.0
# Fraction that remains of the expectation after a replica was recent enough.
_DECAY_BY_ANSWER = 0.97
# Time in which the expectation halves without answers, in seconds.
_HALF_LIFE_S = 5.0
# A refused read proves only that the lag is longer than its age.
_MARGIN = 1.25
# Pauses in seconds before a read that the replica is expected to refuse is
# tried there again. They bound the refusals by each proxy during one lag.
_FIRST_PAUSE_S = 0.4
_LONGEST_PAUSE_S = 2.0
# Time in seconds in which the answer to such a read is expected. Until then,
# other reads go elsewhere: under load, many would be refused together.
_TRIAL_S = 0.3


@dataclass(kw_only=True, slots=True)
class ReplicaLag:
    """Expected lag of one replica, from the reads that it served or refused.

    Parameters
    ----------
    seconds
        Lag at the time of the last answer, in seconds.
    recorded_at
        Time of the last answer, in seconds.
    refused_at, pause_s
        Time of the last refusal, and how long reads of a position that is
        older than the normal lag are sent elsewhere after it, in seconds.
    tried_at
        Time of the last read that was sent after a pause, in seconds.
    """

    seconds: float = 0
    recorded_at: float = float('-inf')
    refused_at: float = float('-inf')
    tried_at: float = float('-inf')
    pause_s: float = 0

    def expected_s(self, now: float) -> float:
        """Return the lag that is expected now, in seconds."""
        if not self.seconds:
            return 0
        halvings = (now - self.recorded_at) / _HALF_LIFE_S
        return self.seconds * math.exp2(-halvings)

    def is_behind(self, age_s: float, now: float) -> bool:
        """Return whether the replica would refuse a read.

        Parameters
        ----------
        age_s
            Time since the position of the read was reached, in seconds.
        """
        if age_s > NORMAL_LAG_S:
            return self.refuses(age_s, now)
        return age_s < self.expected_s(now)

    def refuses(self, age_s: float, now: float) -> bool:
        """Return whether a read would be sent to the replica in vain.

        The replica refused reads of older positions lately.
        """
        return now < self.refused_at + self.pause_s and age_s < self.seconds

    def take_trial(self, age_s: float, now: float) -> bool:
        """Return whether this read may show that the lag is over.

        One read may, after each pause.
        """
        if age_s >= self.seconds or not self.pause_s:
            return True
        if self.refuses(age_s, now) or now < self.tried_at + _TRIAL_S:
            return False
        self.tried_at = now
        return True

    def record_refusal(self, age_s: float, now: float) -> None:
        """Record a read of this age that was refused as lagging."""
        is_long = max(age_s, self.seconds) > NORMAL_LAG_S
        if is_long and now >= self.refused_at + self.pause_s:
            # Refusals of reads that were under way together count once.
            self.pause_s = min(
                max(_FIRST_PAUSE_S, 2 * self.pause_s), _LONGEST_PAUSE_S
            )
            self.refused_at = now
        longer_s = min(_MARGIN * age_s, _MAX_LAG_S)
        self.seconds = max(self.expected_s(now), longer_s)
        self.recorded_at = now

    def record_served(self, age_s: float, now: float) -> None:
        """Record a read of this age that was served."""
        expected_s = self.expected_s(now)
        if NORMAL_LAG_S < age_s <= self.seconds:
            # A read of this age was refused before, so the longer lag is over.
            expected_s = min(expected_s, NORMAL_LAG_S)
            self.pause_s = 0
        self.seconds = expected_s * _DECAY_BY_ANSWER
        self.recorded_at = now
