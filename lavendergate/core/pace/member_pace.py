"""Pace of one member: the fraction of its slots that it can use at present.

The pace starts low after a start, a recovery or a promotion, and after
failures. It grows with each good answer and, so that a member without traffic
is not idle for long, with time. A member that is slower than its peers keeps
the fraction of its slots that it works off at their speed.
"""

import enum
import math
from dataclasses import dataclass, field

from lavendergate.core.pace.service_speed import ServiceSpeed, slowness

# Pace after a start or a recovery, and the least pace. The latter still sends
# some reads, which show whether the member has recovered. In
# `benchmarks.member_pace` a start at a quarter serves members that are cold
# better, and members that flap worse, since the others have to carry more.
START_PACE = 0.5
MIN_PACE = 1 / 16
# Least pace of a primary. No other member runs its writes, and a home sends
# up to its full number of slots, of which a half keeps the member busy.
MIN_PRIMARY_PACE = 0.5
# Time in which the pace doubles without failures, in seconds, and the factor
# of each good answer. With 15% a member that fails more than a sixth of its
# statements gets slower, and one that fails fewer gets faster.
DOUBLING_S = 0.5
_ANSWER_FACTOR = 1.15
# Failures that are closer together than this, in seconds, count once: they
# were sent before the first one was known.
_CUT_INTERVAL_S = 0.1
# A member is slow above the first of these ratios to its peers, until it is
# below the second. Random service times alone stay below 2 (three standard
# deviations of the mean at a coefficient of variation of 0.8).
SLOW_RATIO = 2.0
_FAST_RATIO = 1.5
# Time in seconds after which a comparison with the peers says nothing.
COMPARISON_VALIDITY_S = 5.0
# Weight of the latest answer in the error share, and its half-life in seconds.
_ERROR_WEIGHT = 0.1
_ERROR_HALF_LIFE_S = 2.0
# Error share above which the pace grows by good answers only, not by time.
MAX_ERROR_SHARE = 1 / 6


@enum.unique
class PaceReason(enum.Enum):
    """Why the pace of a member is below its full pace."""

    started = 'it has just started'
    recovered = 'it has just recovered'
    promoted = 'it has just been promoted'
    failed = 'it fails statements'
    slow = 'it is slower than the other replicas'


@dataclass(frozen=True, kw_only=True, slots=True)
class PaceChange:
    """Begin or end of a time in which a member is below its full pace.

    Parameters
    ----------
    pace
        New pace, from 0 to 1.
    duration_s
        How long the pace was reduced, in seconds; 0 at the begin.
    """

    reason: PaceReason
    pace: float
    duration_s: float = 0


@dataclass(kw_only=True, slots=True)
class MemberPace:
    """Pace of one member as estimated by one proxy from its answers.

    Parameters
    ----------
    speed
        Service time of its reads.
    """

    speed: ServiceSpeed = field(default_factory=ServiceSpeed)
    _pace: float = 1
    _changed_at: float = 0
    _ceiling: float = 1
    _compared_at: float = 0
    _reason: PaceReason | None = None
    _reduced_at: float = 0
    _is_reported: bool = False
    _cut_at: float = float('-inf')
    _error_share: float = 0
    _error_at: float = 0
    _credit: float = 0

    def pace_at(self, now: float) -> float:
        """Return the pace, from `MIN_PACE` to 1."""
        ceiling = self._ceiling_at(now)
        if self._pace >= ceiling:
            return ceiling
        grown_s = now - max(self._changed_at, self._failing_until())
        doublings = min(max(0, grown_s) / DOUBLING_S, 1 / MIN_PACE)
        return min(ceiling, self._pace * math.exp2(doublings))

    def error_share_at(self, now: float) -> float:
        """Return the share of failed statements, which ages by itself."""
        if not self._error_share:
            return 0
        halvings = (now - self._error_at) / _ERROR_HALF_LIFE_S
        return self._error_share * math.exp2(-halvings)

    def limit(self, slots: int, now: float, *, is_primary: bool) -> int | None:
        """Return the number of statements in flight; None at full pace."""
        pace = self.pace_at(now)
        if is_primary:
            pace = max(pace, MIN_PRIMARY_PACE)
        return None if pace >= 1 else max(1, math.ceil(slots * pace))

    def may_take_read(self, now: float) -> bool:
        """Return whether the next read may go to the member.

        At a pace of a quarter, each fourth one may.
        """
        pace = self.pace_at(now)
        if pace >= 1:
            self._credit = 0
            return True
        self._credit += pace
        if self._credit < 1:
            return False
        self._credit -= 1
        return True

    def restart(self, reason: PaceReason, now: float) -> None:
        """Begin at a low pace, after a start, a recovery or a promotion."""
        self._reduce(min(self.pace_at(now), START_PACE), reason, now)

    def record_answer(
        self, now: float, *, has_failed: bool, read_s: float | None = None
    ) -> None:
        """Record an answer of the member.

        Parameters
        ----------
        has_failed
            Whether the member failed or rejected the statement for want of
            room.
        read_s
            Latency of a read outside of transactions, in seconds.
        """
        error_share = self.error_share_at(now)
        if has_failed:
            error_share += _ERROR_WEIGHT * (1 - error_share)
        else:
            error_share -= _ERROR_WEIGHT * error_share
        self._error_share = error_share
        self._error_at = now
        if has_failed:
            if now - self._cut_at >= _CUT_INTERVAL_S:
                self._cut_at = now
                pace = max(MIN_PACE, self.pace_at(now) / 2)
                self._reduce(pace, PaceReason.failed, now)
            return
        if read_s is not None:
            self.speed.record(read_s, now)
        if self._pace < 1:
            self._pace = min(1, self.pace_at(now) * _ANSWER_FACTOR)
            self._changed_at = now

    def compare(self, peers: tuple[ServiceSpeed, ...], now: float) -> None:
        """Limit the pace of a member that is slower than its peers."""
        self._compared_at = now
        ratio = slowness(self.speed, peers, now)
        limit = SLOW_RATIO if self._ceiling >= 1 else _FAST_RATIO
        if ratio > limit:
            self._ceiling = max(MIN_PACE, 1 / ratio)
            if self._reason is None:
                self._reason = PaceReason.slow
        elif self._ceiling < 1:
            # The pace grows from where it was.
            self._pace = min(self._pace, self._ceiling)
            self._changed_at = now
            self._ceiling = 1

    def pop_change(self, now: float) -> PaceChange | None:
        """Return a change of the pace that was not returned before.

        A change while the pace is reduced is none: one begin and one end are
        reported, however often the member fails in between.
        """
        pace = self.pace_at(now)
        if pace < 1:
            if self._reason is None or self._is_reported:
                return None
            self._is_reported = True
            self._reduced_at = now
            return PaceChange(reason=self._reason, pace=pace)
        reason, self._reason = self._reason, None
        if reason is None or not self._is_reported:
            return None
        self._is_reported = False
        return PaceChange(
            reason=reason, pace=pace, duration_s=now - self._reduced_at
        )

    def _ceiling_at(self, now: float) -> float:
        is_current = now - self._compared_at <= COMPARISON_VALIDITY_S
        return self._ceiling if is_current else 1

    def _failing_until(self) -> float:
        """Return when the error share will have fallen below its limit."""
        excess = self._error_share / MAX_ERROR_SHARE
        if excess <= 1:
            return self._changed_at
        return self._error_at + _ERROR_HALF_LIFE_S * math.log2(excess)

    def _reduce(self, pace: float, reason: PaceReason, now: float) -> None:
        self._pace = pace
        self._changed_at = now
        self._reason = reason
