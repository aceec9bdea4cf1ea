"""Connections of this proxy to the members.

Each member has one pool. Its limit is the share that the control leader
granted, so that the sum over all proxies stays below the member's limit.
"""

from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio

from lavendergate.backends.base import (
    MemberAddress,
    MemberError,
    UpstreamBackend,
    UpstreamConnection,
)
from lavendergate.core.types import GroupId, UpstreamId

CONNECT_TIMEOUT_S = 2.0


class NoConnectionError(MemberError):
    """No connection was free before the deadline; nothing was sent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolLoad:
    """Use of a pool at one moment."""

    open_connections: int
    busy: int
    waiting: int


class MemberPool:
    """Connections to one member.

    Parameters
    ----------
    upstream_id, group_id, address
        The member; the group's name is the database of its connections.
    backend
        Opens connections.
    """

    def __init__(
        self,
        *,
        upstream_id: UpstreamId,
        group_id: GroupId,
        address: MemberAddress,
        backend: UpstreamBackend,
    ) -> None:
        self.upstream_id = upstream_id
        self.address = address
        self._group_id = group_id
        self._backend = backend
        self._idle: deque[UpstreamConnection] = deque()
        self._waiters: deque[anyio.Event] = deque()
        self._open = 0
        self._limit = 0

    @property
    def limit(self) -> int:
        """Connections that this proxy may hold to the member."""
        return self._limit

    @property
    def load(self) -> PoolLoad:
        """Use of the pool."""
        return PoolLoad(
            open_connections=self._open,
            busy=self._open - len(self._idle),
            waiting=len(self._waiters),
        )

    def set_limit(self, limit: int) -> None:
        """Change the share; busy connections are closed when released."""
        self._limit = limit
        while self._idle and self._open > limit:
            self._discard(self._idle.popleft())
        for _ in range(limit - self._open):
            self._wake_next()

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._discard(self._idle.popleft())

    @asynccontextmanager
    async def connection(
        self, *, deadline: float, session_statements: tuple[str, ...] = ()
    ) -> AsyncIterator[UpstreamConnection]:
        """Lend a connection for the duration of a block.

        Parameters
        ----------
        deadline
            Time on the runtime's clock at which waiting ends, in seconds.
        session_statements
            ``SET`` statements of the session that the connection must carry.

        Raises
        ------
        NoConnectionError, UpstreamUnreachableError
            If there is no connection; nothing was sent.
        """
        connection = await self.acquire(
            deadline=deadline, session_statements=session_statements
        )
        try:
            yield connection
        finally:
            self.release(connection)

    async def acquire(
        self, *, deadline: float, session_statements: tuple[str, ...] = ()
    ) -> UpstreamConnection:
        """Take a connection; the caller gives it back with `release`."""
        while True:
            connection = self._take_idle(session_statements)
            if connection is None and self._open < self._limit:
                connection = await self._open_connection(deadline)
            if connection is None:
                await self._wait(deadline)
                continue
            if connection.session_statements != session_statements:
                await self._prepare(connection, session_statements, deadline)
            return connection

    def release(self, connection: UpstreamConnection) -> None:
        """Give a connection back; an unusable one is closed."""
        if connection.is_usable and self._open <= self._limit:
            self._idle.append(connection)
            self._wake_next()
        else:
            self._discard(connection)

    def _take_idle(
        self, session_statements: tuple[str, ...]
    ) -> UpstreamConnection | None:
        # The last one used is the least likely to have gone silent.
        for connection in reversed(self._idle):
            if connection.session_statements in {(), session_statements}:
                self._idle.remove(connection)
                return connection
        if self._idle and self._open >= self._limit:
            # All idle connections carry the settings of other sessions.
            self._discard(self._idle.popleft())
        return None

    async def _prepare(
        self,
        connection: UpstreamConnection,
        session_statements: tuple[str, ...],
        deadline: float,
    ) -> None:
        connection.session_statements = session_statements
        try:
            with anyio.fail_after(deadline - anyio.current_time()):
                for statement in session_statements:
                    await connection.execute(statement)
        except BaseException:
            self._discard(connection)
            raise

    async def _open_connection(self, deadline: float) -> UpstreamConnection:
        self._open += 1
        timeout_s = min(CONNECT_TIMEOUT_S, deadline - anyio.current_time())
        try:
            return await self._backend.connect(
                self.address, database=self._group_id, timeout_s=timeout_s
            )
        except BaseException:
            self._open -= 1
            self._wake_next()
            raise

    async def _wait(self, deadline: float) -> None:
        waiter = anyio.Event()
        self._waiters.append(waiter)
        scope = anyio.CancelScope(deadline=deadline)
        with scope:
            try:
                await waiter.wait()
            finally:
                self._leave_queue(waiter, was_cancelled=scope.cancel_called)
        if scope.cancelled_caught:
            raise NoConnectionError(
                f'no free connection to {self.upstream_id} before the '
                f'deadline; this proxy may hold {self._limit} connections '
                f'and all are in use'
            )

    def _leave_queue(self, waiter: anyio.Event, *, was_cancelled: bool) -> None:
        if not waiter.is_set():
            self._waiters.remove(waiter)
        elif was_cancelled:
            # The connection offered to this waiter goes to the next one.
            self._wake_next()

    def _discard(self, connection: UpstreamConnection) -> None:
        connection.abort()
        self._open -= 1
        self._wake_next()

    def _wake_next(self) -> None:
        if self._waiters:
            self._waiters.popleft().set()


class ConnectionPools:
    """Pools of all members that this proxy knows."""

    def __init__(self, *, backend: UpstreamBackend) -> None:
        self._backend = backend
        self._pools: dict[UpstreamId, MemberPool] = {}

    @property
    def pools(self) -> tuple[MemberPool, ...]:
        """All pools."""
        return tuple(self._pools.values())

    def get(self, upstream_id: UpstreamId) -> MemberPool | None:
        """Return the pool of a member, or None if it is unknown."""
        return self._pools.get(upstream_id)

    def add(
        self,
        *,
        upstream_id: UpstreamId,
        group_id: GroupId,
        address: MemberAddress,
    ) -> MemberPool:
        """Return the pool of a member; a changed address makes a new one."""
        pool = self._pools.get(upstream_id)
        if pool is not None and pool.address == address:
            return pool
        if pool is not None:
            pool.set_limit(0)
        pool = MemberPool(
            upstream_id=upstream_id,
            group_id=group_id,
            address=address,
            backend=self._backend,
        )
        self._pools[upstream_id] = pool
        return pool
