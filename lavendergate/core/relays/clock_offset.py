"""Estimate of another host's clock from its dated messages."""

from dataclasses import dataclass

# Largest difference between the rates of two clocks, as a fraction.
_DRIFT = 0.0005
# Time after which an estimate is not used any more, in seconds. The host may
# have been replaced by another one at its address.
_VALID_S = 30.0
# Longest time between a question and its answer for which the answer counts,
# in seconds. It may have waited in a socket while this host was suspended.
_MAX_UNCERTAINTY_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class ClockSample:
    """Time of another host, read between a question and its answer.

    Parameters
    ----------
    sent_at, received_at
        Times of the question and the answer here, on a clock that also
        advances while this host is suspended, in seconds.
    remote_time
        Time that the other host read in between, on its clock, in seconds.
    """

    sent_at: float
    received_at: float
    remote_time: float

    @property
    def uncertainty_s(self) -> float:
        """Width of the interval in which the offset lies, in seconds."""
        return self.received_at - self.sent_at

    @property
    def least_offset_s(self) -> float:
        """Least time that the other clock is ahead, in seconds."""
        return self.remote_time - self.received_at


class RemoteClock:
    """Offset of another host's clock that is never estimated too high.

    A sample is exact to the time between question and answer, and becomes less
    exact as the clocks drift. The most exact one is kept.
    """

    def __init__(self) -> None:
        self._sample: ClockSample | None = None

    def is_known(self, now: float) -> bool:
        """Return whether there is an estimate that is recent enough."""
        sample = self._sample
        return sample is not None and now - sample.received_at <= _VALID_S

    def record(self, sample: ClockSample) -> None:
        """Take a sample into account."""
        if sample.uncertainty_s > _MAX_UNCERTAINTY_S:
            return
        known = self._sample
        if known is not None and self.is_known(sample.received_at):
            age_s = sample.received_at - known.received_at
            if sample.uncertainty_s > known.uncertainty_s + _DRIFT * age_s:
                return
        self._sample = sample

    def forget(self) -> None:
        """Remove the estimate, because the host may be another one."""
        self._sample = None

    def earliest_time(self, local_time: float) -> float | None:
        """Return the least time on the other clock at a time here.

        None if nothing recent is known.
        """
        sample = self._sample
        if sample is None or not self.is_known(local_time):
            return None
        age_s = local_time - sample.received_at
        return local_time + sample.least_offset_s - _DRIFT * age_s
