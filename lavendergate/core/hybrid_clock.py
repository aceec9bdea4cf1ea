"""Hybrid logical clock packed into one integer.

The upper 48 bits of a timestamp are milliseconds of wall time, the lower 16
bits a counter. The timestamp of an event is greater than those of all events
that it may depend on, and close to the wall time. A counter overflow carries
into the milliseconds, so that timestamps are strictly increasing.
"""

from dataclasses import dataclass

from result import Err, Ok, Result

COUNTER_BITS = 16
DEFAULT_MAX_DRIFT_MS = 1000

_MILLISECOND_BITS = 48
_COUNTER_MASK = (1 << COUNTER_BITS) - 1
_MAX_TIMESTAMP = (1 << (_MILLISECOND_BITS + COUNTER_BITS)) - 1


@dataclass(frozen=True, kw_only=True, slots=True)
class ClockDrift:
    """A received timestamp is out of range or too far ahead of the wall clock.

    Parameters
    ----------
    drift_ms
        How far the timestamp is ahead of this host's wall clock, in
        milliseconds.
    max_drift_ms
        Maximum of `drift_ms` that is accepted, in milliseconds.
    """

    drift_ms: int
    max_drift_ms: int


def pack(milliseconds: int, counter: int = 0) -> int:
    """Return the timestamp for a wall time in milliseconds and a counter."""
    return (milliseconds << COUNTER_BITS) | counter


def milliseconds_of(timestamp: int) -> int:
    """Return the wall time of a timestamp, in milliseconds."""
    return timestamp >> COUNTER_BITS


def counter_of(timestamp: int) -> int:
    """Return the counter of a timestamp."""
    return timestamp & _COUNTER_MASK


def advance(last: int, wall_ms: int) -> int:
    """Return the timestamp of the next local event or sent message.

    Parameters
    ----------
    last
        Last timestamp of this host; 0 if there is none yet.
    wall_ms
        Wall time of this host, in milliseconds.
    """
    return max(last + 1, pack(wall_ms))


def merge(
    last: int,
    received: int,
    wall_ms: int,
    *,
    max_drift_ms: int = DEFAULT_MAX_DRIFT_MS,
) -> Result[int, ClockDrift]:
    """Return the timestamp of the receipt of a message.

    A timestamp that is too far ahead is refused: otherwise one host with a
    wrong clock would move the timestamps of all hosts away from the wall
    time.

    Parameters
    ----------
    last
        Last timestamp of this host.
    received
        Timestamp in the message.
    wall_ms
        Wall time of this host, in milliseconds.
    max_drift_ms
        How far `received` may be ahead of `wall_ms`, in milliseconds.

    Examples
    --------
    >>> merge(pack(10), pack(12, 7), 11).unwrap() == pack(12, 8)
    True
    """
    drift_ms = milliseconds_of(received) - wall_ms
    if drift_ms > max_drift_ms or not 0 <= received <= _MAX_TIMESTAMP:
        return Err(ClockDrift(drift_ms=drift_ms, max_drift_ms=max_drift_ms))
    return Ok(advance(max(last, received), wall_ms))
