"""Decides what happens to a new connection.

Answers the load of more connections than a host can hold: the peer that has
waited longest gives way, since its connection closes without loss, and a
connection that cannot be served is refused at once.
"""

from dataclasses import dataclass

# A connection whose peer has not sent its first message within this time, in
# seconds, may be closed for a new one. Callers that wait for two seconds have
# given up.
FIRST_MESSAGE_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionLoad:
    """State of a listener, with the new connection.

    Parameters
    ----------
    open_count
        Open connections, with the new one.
    limit
        Connections that may be served.
    spare
        Connections above the limit that may be open for a moment.
    waited_s
        Longest time, in seconds, that a connection has waited for the next
        message of its peer; None if none waits.
    """

    open_count: int
    limit: int
    spare: int
    waited_s: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Admit:
    """Serve the connection."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReplaceWaiting:
    """Serve the connection and close the one that has waited longest."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReplaceIdle:
    """Serve the connection if an idle session can be closed for it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Cut:
    """Close the connection without waiting for its first message."""


Admission = Admit | ReplaceWaiting | ReplaceIdle | Cut


def decide_admission(load: ConnectionLoad) -> Admission:
    """Return what happens to a new connection."""
    if load.open_count <= load.limit:
        return Admit()
    if load.open_count > load.limit + load.spare:
        return Cut()
    waited_s = load.waited_s
    if waited_s is not None and waited_s >= FIRST_MESSAGE_S:
        return ReplaceWaiting()
    return ReplaceIdle()
