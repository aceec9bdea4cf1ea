"""Connections of this proxy to the members.

The decisions are in `lavendergate.core.pool`; this module opens and closes
connections and wakes those who wait. Each pool's share is what the control
leader granted, so that the sum over all proxies stays below the member's
limit.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from lavendergate.backends.base import (
    MemberAddress,
    MemberError,
    UpstreamBackend,
    UpstreamConnection,
    UpstreamUnreachableError,
)
from lavendergate.core import pool as pool_core
from lavendergate.core.types import GroupId, UpstreamId

# An opening that began under a lease must have ended when control checks the
# member's connection list, 0.5 s after the end of the lease.
CONNECT_TIMEOUT_S = 0.5


class NoConnectionError(MemberError):
    """No connection was free before the deadline; nothing was sent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolLoad:
    """Use of a pool at one moment."""

    open_connections: int
    connected: int
    busy: int
    waiting: int
    wanted: int


@dataclass(kw_only=True, slots=True)
class _Waiter:
    """Someone who waits for a connection, or for the error of opening one."""

    event: anyio.Event = field(default_factory=anyio.Event)
    connection_id: pool_core.ConnectionId | None = None
    error: MemberError | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class _Loan:
    connection_id: pool_core.ConnectionId
    owner_id: pool_core.OwnerId


class MemberPool:
    """Connections to one member.

    Parameters
    ----------
    upstream_id, group_id, address
        The member; the group's name is the database of its connections.
    backend
        Opens connections.
    tasks
        Task group in which connections are opened.
    """

    def __init__(
        self,
        *,
        upstream_id: UpstreamId,
        group_id: GroupId,
        address: MemberAddress,
        backend: UpstreamBackend,
        tasks: TaskGroup,
    ) -> None:
        self._upstream_id = upstream_id
        self._address = address
        self._group_id = group_id
        self._backend = backend
        self._tasks = tasks
        self._core = pool_core.MemberPool(
            share=0, settings=pool_core.PoolSettings()
        )
        self._connections: dict[pool_core.ConnectionId, UpstreamConnection] = {}
        self._loans: dict[UpstreamConnection, _Loan] = {}
        self._waiters: dict[pool_core.OwnerId, _Waiter] = {}
        self._last_owner = 0
        self._retired: list[int] = []

    @property
    def upstream_id(self) -> UpstreamId:
        """The member."""
        return self._upstream_id

    @property
    def address(self) -> MemberAddress:
        """Where the member accepts connections."""
        return self._address

    @property
    def limit(self) -> int:
        """Connections that this proxy may hold to the member."""
        return self._core.share

    @property
    def load(self) -> PoolLoad:
        """Use of the pool."""
        return PoolLoad(
            open_connections=self._core.open_connections,
            connected=len(self._connections),
            busy=len(self._loans),
            waiting=len(self._waiters),
            wanted=self._core.wanted_connections,
        )

    def set_limit(self, limit: int) -> None:
        """Change the share; busy connections are closed when released."""
        if limit != self._core.share:
            self._perform(self._core.change_share(limit))

    def tick(self, now: float) -> None:
        """Close connections that are idle for long, open missing ones."""
        self._perform(self._core.tick(now))

    @asynccontextmanager
    async def connection(
        self, *, deadline: float
    ) -> AsyncIterator[UpstreamConnection]:
        """Lend a connection for the duration of a block."""
        connection = await self.acquire(deadline=deadline)
        try:
            yield connection
        finally:
            self.release(connection)

    async def acquire(
        self, *, deadline: float, session_statements: tuple[str, ...] = ()
    ) -> UpstreamConnection:
        """Take a connection; the caller gives it back with `release`.

        Parameters
        ----------
        deadline
            Time on the runtime's clock at which waiting ends, in seconds.
        session_statements
            ``SET`` statements of the session that the connection must carry.

        Raises
        ------
        MemberError
            If there is no connection; the caller's statement was not sent.
        """
        while True:
            connection = await self._take(deadline)
            carried = connection.session_statements
            if carried == session_statements:
                return connection
            if carried:
                # It carries the settings of another session.
                self._retire(connection)
                continue
            await self._prepare(connection, session_statements, deadline)
            return connection

    def release(self, connection: UpstreamConnection) -> None:
        """Give a connection back; an unusable one is closed."""
        if not connection.is_usable:
            self._retire(connection)
            return
        loan = self._loans.pop(connection)
        self._perform(
            self._core.release(
                loan.connection_id, loan.owner_id, anyio.current_time()
            )
        )

    def take_retired(self) -> tuple[int, ...]:
        """Return the connections that were closed without an answer.

        The member may hold them open for long, if something between the two
        ends has lost track of them, and they use up its connection limit.
        """
        retired = tuple(self._retired)
        self._retired.clear()
        return retired

    async def _take(self, deadline: float) -> UpstreamConnection:
        self._last_owner += 1
        owner_id = pool_core.OwnerId(self._last_owner)
        waiter = _Waiter()
        self._waiters[owner_id] = waiter
        self._perform(self._core.acquire(owner_id))
        if waiter.connection_id is None:
            await self._wait(owner_id, waiter, deadline)
        self._waiters.pop(owner_id, None)
        if waiter.connection_id is not None:
            connection = self._connections[waiter.connection_id]
            if connection.is_usable:
                return connection
            self._retire(connection)
            return await self._take(deadline)
        self._core.cancel(owner_id)
        raise waiter.error or self._no_connection()

    async def _wait(
        self, owner_id: pool_core.OwnerId, waiter: _Waiter, deadline: float
    ) -> None:
        try:
            with anyio.CancelScope(deadline=deadline):
                await waiter.event.wait()
        except BaseException:
            self._give_up(owner_id, waiter)
            raise

    def _give_up(self, owner_id: pool_core.OwnerId, waiter: _Waiter) -> None:
        self._waiters.pop(owner_id, None)
        self._core.cancel(owner_id)
        if waiter.connection_id is not None:
            self.release(self._connections[waiter.connection_id])

    def _no_connection(self) -> NoConnectionError:
        return NoConnectionError(
            f'no free connection to {self._upstream_id} before the deadline; '
            f'this proxy may hold {self.limit} connections and all are in use'
        )

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
            self._retire(connection)
            raise

    def _retire(self, connection: UpstreamConnection) -> None:
        loan = self._loans.pop(connection)
        self._perform(self._core.retire(loan.connection_id))

    def _perform(self, effects: pool_core.Effects) -> None:
        for effect in effects:
            match effect:
                case pool_core.Assign(
                    owner_id=owner_id, connection_id=connection_id
                ):
                    self._assign(owner_id, connection_id)
                case pool_core.Open(connection_id=connection_id):
                    self._tasks.start_soon(self._open, connection_id)
                case pool_core.Close(connection_id=connection_id):
                    self._close(connection_id)

    def _assign(
        self, owner_id: pool_core.OwnerId, connection_id: pool_core.ConnectionId
    ) -> None:
        waiter = self._waiters[owner_id]
        waiter.connection_id = connection_id
        loan = _Loan(connection_id=connection_id, owner_id=owner_id)
        self._loans[self._connections[connection_id]] = loan
        waiter.event.set()

    async def _open(self, connection_id: pool_core.ConnectionId) -> None:
        try:
            connection = await self._backend.connect(
                self._address,
                database=self._group_id,
                timeout_s=CONNECT_TIMEOUT_S,
            )
        except MemberError as error:
            self._note_lost_login(error)
            self._perform(self._core.closed(connection_id))
            self._fail_first_waiter(error)
            return
        self._connections[connection_id] = connection
        now = anyio.current_time()
        self._perform(self._core.opened(connection_id, now))

    def _note_lost_login(self, error: MemberError) -> None:
        if not isinstance(error, UpstreamUnreachableError):
            return
        if error.connection_id is not None and not error.has_answered:
            self._retired.append(error.connection_id)

    def _fail_first_waiter(self, error: MemberError) -> None:
        """Report the error to one who waits; the next attempt is theirs."""
        for owner_id, waiter in self._waiters.items():
            if self._core.cancel(owner_id):
                waiter.error = error
                waiter.event.set()
                return

    def _close(self, connection_id: pool_core.ConnectionId) -> None:
        connection = self._connections.pop(connection_id, None)
        if connection is not None:
            if not connection.is_usable:
                self._retired.append(connection.connection_id)
            connection.abort()
        self._perform(self._core.closed(connection_id))


class ConnectionPools:
    """Pools of all members that this proxy knows."""

    def __init__(self, *, backend: UpstreamBackend, tasks: TaskGroup) -> None:
        self._backend = backend
        self._tasks = tasks
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
        known = self._pools.get(upstream_id)
        if known is not None and known.address == address:
            return known
        if known is not None:
            known.set_limit(0)
        added = MemberPool(
            upstream_id=upstream_id,
            group_id=group_id,
            address=address,
            backend=self._backend,
            tasks=self._tasks,
        )
        self._pools[upstream_id] = added
        return added
