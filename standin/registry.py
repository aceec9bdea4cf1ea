"""Registry of the open connections of a member."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from standin.errors import MemberError

if TYPE_CHECKING:
    from standin.connection import MemberConnection


class ConnectionRegistry:
    """Open connections of a member, and the limit on their number.

    One connection of the administrator is exempt from the limit, so that the
    administrator can log in when callers have used it up.

    Parameters
    ----------
    limit
        Connections that the member allows.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._connections: dict[int, MemberConnection] = {}
        self._last_id = 0

    def __iter__(self) -> Iterator['MemberConnection']:
        return iter(list(self._connections.values()))

    def __len__(self) -> int:
        return len(self._connections)

    def new_id(self) -> int:
        """Return an identifier that no other connection had."""
        self._last_id += 1
        return self._last_id

    def add(self, connection: 'MemberConnection') -> None:
        """Register a connection that has logged in.

        Raises
        ------
        MemberError
            With number 1040 if the limit is reached.
        """
        administrators = sum(
            other.is_administrator for other in self._connections.values()
        )
        counted = len(self._connections) - min(administrators, 1)
        is_exempt = connection.is_administrator and not administrators
        if counted >= self._limit and not is_exempt:
            raise MemberError(1040, 'Too many connections')
        self._connections[connection.connection_id] = connection

    def remove(self, connection: 'MemberConnection') -> None:
        """Remove a connection, if it is registered."""
        self._connections.pop(connection.connection_id, None)

    def find(self, connection_id: int) -> 'MemberConnection':
        """Return a connection by its identifier.

        Raises
        ------
        MemberError
            With number 1094 if it does not exist.
        """
        connection = self._connections.get(connection_id)
        if connection is None:
            raise MemberError(1094, f'Unknown thread id: {connection_id}')
        return connection
