"""How fast a queue empties, overall and for one service class."""

from dataclasses import dataclass, field

from lavendergate.core.service_order.order import (
    TURNS_PER_LESS_URGENT,
    ServiceClass,
)

# Weight of the latest interval and of the latest start in the smoothed values.
_INTERVAL_WEIGHT = 0.1
_START_WEIGHT = 0.05
# Number of measured intervals below which the rate is derived from the
# duration of a statement.
_MIN_INTERVALS = 8
# Age beyond which a measured rate says nothing about the present, in seconds.
_VALIDITY_S = 1.0


@dataclass(kw_only=True, slots=True)
class DrainRate:
    """Rate at which the turns of a queue end while statements wait."""

    _interval_s: float = 0
    _intervals: int = 0
    _ended_at: float | None = None
    _shares: dict[ServiceClass, float] = field(default_factory=dict)

    def record_start(self, of: ServiceClass) -> None:
        """Record the class of a started statement."""
        shares = self._shares
        shares.setdefault(of, 0)
        for each in shares:
            target = 1 if each == of else 0
            shares[each] += _START_WEIGHT * (target - shares[each])

    def record_end(self, now: float, *, is_backlogged: bool) -> None:
        """Record the end of a turn.

        Parameters
        ----------
        now
            Time, in seconds.
        is_backlogged
            Whether statements wait. Intervals between ends without a backlog
            show the rate of arrivals, not that of the member.
        """
        ended_at, self._ended_at = self._ended_at, now
        if not is_backlogged:
            # A later backlog says anew how fast the member is.
            self._ended_at = None
            self._intervals = 0
            return
        if ended_at is None:
            return
        interval_s = now - ended_at
        if not self._intervals or interval_s > _VALIDITY_S:
            self._interval_s = interval_s
            self._intervals = 1
            return
        self._intervals += 1
        self._interval_s += _INTERVAL_WEIGHT * (interval_s - self._interval_s)

    def interval_s(self, now: float, default_s: float) -> float:
        """Return the time between two ends of turns, in seconds.

        Parameters
        ----------
        default_s
            Returned while too few intervals were measured lately.
        """
        is_recent = (
            self._ended_at is not None and now - self._ended_at < _VALIDITY_S
        )
        if not is_recent or self._intervals < _MIN_INTERVALS:
            return default_s
        return self._interval_s

    def share_of(self, own: ServiceClass) -> float:
        """Return the fraction of turns that more urgent classes leave."""
        urgent = sum(share for of, share in self._shares.items() if of < own)
        return max(1 / TURNS_PER_LESS_URGENT, 1 - urgent)
