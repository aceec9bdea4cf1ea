"""Hybrid logical clock packed into one integer.

The upper 48 bits of a stamp are milliseconds of wall time, the lower 16 bits
a counter. A stamp of an event is greater than the stamps of all events that
it may depend on, and close to the wall time. A counter that overflows carries
into the milliseconds, so that stamps stay strictly increasing.
"""

from dataclasses import dataclass

from result import Err, Ok, Result

COUNTER_BITS = 16
DEFAULT_MAX_DRIFT_MS = 1000

_MILLISECOND_BITS = 48
_COUNTER_MASK = (1 << COUNTER_BITS) - 1
_MAX_STAMP = (1 << (_MILLISECOND_BITS + COUNTER_BITS)) - 1


@dataclass(frozen=True, kw_only=True, slots=True)
class ClockDrift:
    """A received stamp is too far ahead of this host's wall clock.

    Parameters
    ----------
    drift_ms
        How far the stamp is ahead, in milliseconds.
    max_drift_ms
        How far it may be ahead.
    """

    drift_ms: int
    max_drift_ms: int


def pack(milliseconds: int, counter: int = 0) -> int:
    """Return the stamp of a wall time in milliseconds and a counter."""
    return (milliseconds << COUNTER_BITS) | counter


def milliseconds_of(stamp: int) -> int:
    """Return the milliseconds of a stamp."""
    return stamp >> COUNTER_BITS


def counter_of(stamp: int) -> int:
    """Return the counter of a stamp."""
    return stamp & _COUNTER_MASK


def advance(last: int, wall_ms: int) -> int:
    """Return the stamp of the next local event or sent message.

    Parameters
    ----------
    last
        Last stamp of this host; 0 at first.
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
    """Return the stamp of the receipt of a message.

    A stamp that is too far ahead is refused: one host with a wrong clock
    would otherwise move the stamps of all hosts away from the wall time.

    Parameters
    ----------
    last
        Last stamp of this host.
    received
        Stamp in the message.
    wall_ms
        Wall time of this host, in milliseconds.
    max_drift_ms
        How far a received stamp may be ahead of `wall_ms`.

    Examples
    --------
    >>> merge(pack(10), pack(12, 7), 11).unwrap() == pack(12, 8)
    True
    """
    drift_ms = milliseconds_of(received) - wall_ms
    if drift_ms > max_drift_ms or not 0 <= received <= _MAX_STAMP:
        return Err(ClockDrift(drift_ms=drift_ms, max_drift_ms=max_drift_ms))
    return Ok(advance(max(last, received), wall_ms))
