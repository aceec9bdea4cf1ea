"""Connection pool of one member, without input or output.

The pool only makes decisions. The controller performs the effects that each
method returns and reports when they are done. A connection counts against the
share from the decision to open it until the controller reports it closed.
"""

import enum
from collections import deque
from dataclasses import dataclass
from typing import NewType

ConnectionId = NewType('ConnectionId', int)
OwnerId = NewType('OwnerId', int)


@enum.unique
class ConnectionState(enum.Enum):
    """State of one connection."""

    opening = 'opening'
    idle = 'idle'
    busy = 'busy'
    closing = 'closing'


@dataclass(frozen=True, kw_only=True, slots=True)
class Assign:
    """The owner may use the connection for one transaction."""

    owner_id: OwnerId
    connection_id: ConnectionId


@dataclass(frozen=True, kw_only=True, slots=True)
class Open:
    """Open a connection, then report `opened` or `closed`."""

    connection_id: ConnectionId


@dataclass(frozen=True, kw_only=True, slots=True)
class Close:
    """Close the connection, then report `closed`."""

    connection_id: ConnectionId


def is_reusable(
    *,
    is_answered: bool,
    has_transaction: bool,
    is_pinned: bool = False,
) -> bool:
    """Return whether a connection may go back to the pool.

    Otherwise, it must be closed with `MemberPool.retire`.

    Parameters
    ----------
    is_answered
        Whether the member has answered every statement in full.
    has_transaction
        Whether a transaction may be open. This includes connections with a
        lost answer.
    is_pinned
        Whether a statement changed the state of the connection, such as a
        user variable.
    """
    return is_answered and not has_transaction and not is_pinned


PoolEffect = Assign | Open | Close
Effects = tuple[PoolEffect, ...]
_NO_EFFECTS: Effects = ()


@dataclass(kw_only=True, slots=True)
class _Connection:
    state: ConnectionState
    owner_id: OwnerId | None = None
    idle_since: float = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolSettings:
    """Settings of a pool.

    Parameters
    ----------
    min_open
        Minimum number of connections that stay open while idle, because
        opening one takes 12 to 30 ms.
    idle_s
        Time in seconds after which additional idle connections are closed,
        from the setting `connection.idle_s`.
    """

    min_open: int = 1
    idle_s: float = 30


class MemberPool:
    """Connections of this proxy to one member.

    Parameters
    ----------
    share
        Maximum number of connections of this proxy to the member.
    """

    def __init__(self, *, share: int, settings: PoolSettings) -> None:
        """Create a pool without connections."""
        self._share = share
        self._settings = settings
        self._connections: dict[ConnectionId, _Connection] = {}
        # A stack: the most recently used connection is assigned first, so
        # that surplus connections stay idle long enough to be closed.
        self._idle: list[ConnectionId] = []
        self._waiters: deque[OwnerId] = deque()
        self._opening = 0
        self._closing = 0
        self._last_id = 0

    @property
    def share(self) -> int:
        """Maximum number of connections of this proxy to the member."""
        return self._share

    @property
    def open_connections(self) -> int:
        """Number of connections that count against the share."""
        return len(self._connections)

    @property
    def wanted_connections(self) -> int:
        """Number of connections that the present demand would use."""
        busy = sum(
            connection.state is ConnectionState.busy
            for connection in self._connections.values()
        )
        return max(busy + len(self._waiters), self._settings.min_open)

    def acquire(self, owner_id: OwnerId) -> Effects:
        """Request a connection for one transaction.

        If no `Assign` is returned, the owner waits until a later call
        returns one for it.
        """
        if self._idle and not self._waiters:
            return (self._assign(self._idle.pop(), owner_id),)
        self._waiters.append(owner_id)
        return self._open_for_waiters()

    def cancel(self, owner_id: OwnerId) -> bool:
        """Cancel a pending request; return False if there was none."""
        if owner_id not in self._waiters:
            return False
        self._waiters.remove(owner_id)
        return True

    def release(
        self,
        connection_id: ConnectionId,
        owner_id: OwnerId,
        now: float,
    ) -> Effects:
        """Return a connection after the confirmed end of its transaction.

        Every statement that was sent on it must have been answered in full;
        otherwise the owner must `retire` it. A release by another owner
        than the present one retires the connection, because its state is
        uncertain.
        """
        connection = self._connections.get(connection_id)
        if connection is None or connection.state is ConnectionState.closing:
            return _NO_EFFECTS
        if connection.owner_id != owner_id:
            return self.retire(connection_id)
        connection.owner_id = None
        if self._unclosed_count() > self._share:
            return self.retire(connection_id)
        return self._assign_or_idle(connection_id, connection, now)

    def retire(self, connection_id: ConnectionId) -> Effects:
        """Begin to close a connection, which is not used again."""
        connection = self._connections.get(connection_id)
        if connection is None or connection.state is ConnectionState.closing:
            return _NO_EFFECTS
        if connection.state is ConnectionState.opening:
            self._opening -= 1
        if connection.state is ConnectionState.idle:
            self._idle.remove(connection_id)
        connection.state = ConnectionState.closing
        connection.owner_id = None
        self._closing += 1
        return (Close(connection_id=connection_id),)

    def opened(self, connection_id: ConnectionId, now: float) -> Effects:
        """Assign a connection that the controller has opened, or keep it idle.

        It is closed if it exceeds a share that was lowered in the meantime.
        """
        connection = self._connections.get(connection_id)
        if connection is None:
            return (Close(connection_id=connection_id),)
        if connection.state is not ConnectionState.opening:
            return _NO_EFFECTS
        self._opening -= 1
        if self._unclosed_count() > self._share:
            connection.state = ConnectionState.busy
            return self.retire(connection_id)
        return self._assign_or_idle(connection_id, connection, now)

    def closed(self, connection_id: ConnectionId) -> Effects:
        """Remove a connection that is closed or failed to open."""
        connection = self._connections.pop(connection_id, None)
        if connection is None:
            return _NO_EFFECTS
        if connection.state is ConnectionState.opening:
            # The controller calls `tick` after a backoff, which opens
            # another connection.
            self._opening -= 1
            return _NO_EFFECTS
        if connection.state is ConnectionState.idle:
            self._idle.remove(connection_id)
        if connection.state is ConnectionState.closing:
            self._closing -= 1
        return self._open_for_waiters()

    def change_share(self, share: int) -> Effects:
        """Apply a new share.

        Surplus idle connections are closed at once, surplus busy ones when
        they are released.
        """
        self._share = share
        surplus = self._unclosed_count() - share
        closing: list[PoolEffect] = []
        for connection_id in tuple(self._idle)[: max(surplus, 0)]:
            closing.extend(self.retire(connection_id))
        return (*closing, *self._open_for_waiters())

    def tick(self, now: float) -> Effects:
        """Close connections that were idle too long and open needed ones.

        They are needed for waiting owners or to reach the minimum `min_open`.
        """
        idle_before = now - self._settings.idle_s
        effects: list[PoolEffect] = []
        for connection_id in tuple(self._idle):
            is_old = self._connections[connection_id].idle_since <= idle_before
            if is_old and self._unclosed_count() > self._settings.min_open:
                effects.extend(self.retire(connection_id))
        effects.extend(self._open_for_waiters())
        while self._may_open() and self._unclosed_count() < (
            self._settings.min_open
        ):
            effects.append(self._open())
        return tuple(effects)

    def _assign_or_idle(
        self,
        connection_id: ConnectionId,
        connection: _Connection,
        now: float,
    ) -> Effects:
        if self._waiters:
            return (self._assign(connection_id, self._waiters.popleft()),)
        connection.state = ConnectionState.idle
        connection.idle_since = now
        self._idle.append(connection_id)
        return _NO_EFFECTS

    def _assign(
        self,
        connection_id: ConnectionId,
        owner_id: OwnerId,
    ) -> Assign:
        connection = self._connections[connection_id]
        connection.state = ConnectionState.busy
        connection.owner_id = owner_id
        return Assign(owner_id=owner_id, connection_id=connection_id)

    def _open_for_waiters(self) -> Effects:
        effects: list[PoolEffect] = []
        while self._may_open() and self._opening < len(self._waiters):
            effects.append(self._open())
        return tuple(effects)

    def _may_open(self) -> bool:
        return len(self._connections) < self._share

    def _open(self) -> Open:
        self._last_id += 1
        self._opening += 1
        connection_id = ConnectionId(self._last_id)
        self._connections[connection_id] = _Connection(
            state=ConnectionState.opening,
        )
        return Open(connection_id=connection_id)

    def _unclosed_count(self) -> int:
        return len(self._connections) - self._closing
