"""Connections of this proxy to the members.

The decisions are in `lavendergate.core.pool`; this module opens and closes
connections and wakes the tasks that wait for one. The control leader grants
each pool its share, so that all proxies together stay within the member's
connection limit.
"""

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio

from lavendergate.backends.base import (
    MemberAddress,
    MemberError,
    UpstreamBackend,
    UpstreamConnection,
    UpstreamUnreachableError,
)
from lavendergate.controllers.waiters import TaskStarter
from lavendergate.core import pool as pool_core
from lavendergate.core.types import GroupId, UpstreamId

# A connection attempt that began under a lease must have ended when the
# control leader checks the member's connection list, 0.5 s after the end of
# the lease.
CONNECT_TIMEOUT_S = 0.5


class NoConnectionError(MemberError):
    """No connection was free before the deadline; nothing was sent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolLoad:
    """Use of a pool at one moment.

    Parameters
    ----------
    open_connections
        Connections that count against the share, also those being opened.
    connected
        Connections that are open.
    busy
        Connections in use.
    waiting
        Tasks that wait for a connection.
    wanted
        Connections that the present demand calls for, whatever the share.
    """

    open_connections: int
    connected: int
    busy: int
    waiting: int
    wanted: int


@dataclass(kw_only=True, slots=True)
class _Waiter:
    """A task that waits until it gets a connection or opening one fails."""

    event: anyio.Event = field(default_factory=anyio.Event)
    connection_id: pool_core.ConnectionId | None = None
    error: MemberError | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class _Checkout:
    """A connection in use, and its present owner in the pool."""

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
        Task group for opening connections.
    """

    def __init__(
        self,
        *,
        upstream_id: UpstreamId,
        group_id: GroupId,
        address: MemberAddress,
        backend: UpstreamBackend,
        tasks: TaskStarter,
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
        self._checkouts: dict[UpstreamConnection, _Checkout] = {}
        self._waiters: dict[pool_core.OwnerId, _Waiter] = {}
        self._last_owner = 0
        self._retired: list[int] = []

    @property
    def upstream_id(self) -> UpstreamId:
        """The member."""
        return self._upstream_id

    @property
    def address(self) -> MemberAddress:
        """Address at which the member accepts connections."""
        return self._address

    @property
    def limit(self) -> int:
        """Largest number of connections that this proxy may have open."""
        return self._core.share

    @property
    def load(self) -> PoolLoad:
        """Use of the pool."""
        return PoolLoad(
            open_connections=self._core.open_connections,
            connected=len(self._connections),
            busy=len(self._checkouts),
            waiting=len(self._waiters),
            wanted=self._core.wanted_connections,
        )

    def set_limit(self, limit: int) -> None:
        """Change the largest number of connections.

        Surplus connections that are in use are closed when released. A limit
        of 0 ends all waits for a connection, because other members may have
        one.
        """
        if limit != self._core.share:
            self._perform(self._core.change_share(limit))
            if not limit:
                self._fail_waiters()

    def tick(self, now: float) -> None:
        """Close connections that are idle too long and open missing ones."""
        self._perform(self._core.tick(now))

    @asynccontextmanager
    async def connection(
        self, *, deadline: float
    ) -> AsyncIterator[UpstreamConnection]:
        """Acquire a connection for the duration of a block."""
        connection = await self.acquire(deadline=deadline)
        try:
            yield connection
        finally:
            self.release(connection)

    async def acquire(
        self, *, deadline: float, session_statements: tuple[str, ...] = ()
    ) -> UpstreamConnection:
        """Acquire a connection; the caller returns it with `release`.

        Parameters
        ----------
        deadline
            Time on the runtime's clock at which waiting ends, in seconds.
        session_statements
            ``SET`` statements of the session that must be in force on the
            connection.

        Raises
        ------
        MemberError
            If no connection is available; no statement of the caller was
            sent.
        """
        while True:
            connection = await self._check_out(deadline)
            statements_in_force = connection.session_statements
            if statements_in_force == session_statements:
                return connection
            if statements_in_force:
                # The settings of another session are in force on it.
                self._retire(connection)
                continue
            await self._apply_session(connection, session_statements, deadline)
            return connection

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool; an unusable one is closed."""
        if not connection.is_usable:
            self._retire(connection)
            return
        checkout = self._checkouts.pop(connection)
        self._perform(
            self._core.release(
                checkout.connection_id, checkout.owner_id, anyio.current_time()
            )
        )

    def pop_unanswered(self) -> tuple[int, ...]:
        """Return and clear the connections that were closed without an answer.

        The member may keep them open for long, if a network device between
        the two ends has lost their state, and they count against its
        connection limit.

        Returns
        -------
        tuple of int
            Connection ids at the member.
        """
        retired = tuple(self._retired)
        self._retired.clear()
        return retired

    async def _check_out(self, deadline: float) -> UpstreamConnection:
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
            return await self._check_out(deadline)
        self._core.cancel(owner_id)
        raise waiter.error or self._no_connection_error()

    async def _wait(
        self, owner_id: pool_core.OwnerId, waiter: _Waiter, deadline: float
    ) -> None:
        try:
            with anyio.CancelScope(deadline=deadline):
                await waiter.event.wait()
        except BaseException:
            self._abandon_wait(owner_id, waiter)
            raise

    def _abandon_wait(
        self, owner_id: pool_core.OwnerId, waiter: _Waiter
    ) -> None:
        self._waiters.pop(owner_id, None)
        self._core.cancel(owner_id)
        if waiter.connection_id is not None:
            self.release(self._connections[waiter.connection_id])

    def _no_connection_error(self) -> NoConnectionError:
        if not self.limit:
            return NoConnectionError(
                f'no connection to {self._upstream_id}: control has granted '
                'none to this proxy yet, or has withdrawn its share'
            )
        return NoConnectionError(
            f'no free connection to {self._upstream_id} before the deadline; '
            f'this proxy may hold {self.limit} connections; none became free'
        )

    async def _apply_session(
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
        checkout = self._checkouts.pop(connection)
        self._perform(self._core.retire(checkout.connection_id))

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
        checkout = _Checkout(connection_id=connection_id, owner_id=owner_id)
        self._checkouts[self._connections[connection_id]] = checkout
        waiter.event.set()

    async def _open(self, connection_id: pool_core.ConnectionId) -> None:
        try:
            connection = await self._backend.connect(
                self._address,
                database=self._group_id,
                timeout_s=CONNECT_TIMEOUT_S,
            )
        except MemberError as error:
            self._record_unanswered_login(error)
            self._perform(self._core.closed(connection_id))
            self._fail_first_waiter(error)
            return
        self._connections[connection_id] = connection
        now = anyio.current_time()
        self._perform(self._core.opened(connection_id, now))

    def _record_unanswered_login(self, error: MemberError) -> None:
        if not isinstance(error, UpstreamUnreachableError):
            return
        if error.connection_id is not None and not error.has_answered:
            self._retired.append(error.connection_id)

    def _fail_first_waiter(self, error: MemberError) -> None:
        """Report the error to the first waiter, which decides about a retry."""
        for owner_id, waiter in self._waiters.items():
            if self._core.cancel(owner_id):
                waiter.error = error
                waiter.event.set()
                return

    def _fail_waiters(self) -> None:
        for owner_id, waiter in self._waiters.items():
            if self._core.cancel(owner_id):
                waiter.error = self._no_connection_error()
                waiter.event.set()

    def _close(self, connection_id: pool_core.ConnectionId) -> None:
        connection = self._connections.pop(connection_id, None)
        if connection is not None:
            if not connection.is_usable:
                self._retired.append(connection.connection_id)
            connection.abort()
        self._perform(self._core.closed(connection_id))


class ConnectionPools:
    """Connection pools of all members that this proxy knows."""

    def __init__(self, *, backend: UpstreamBackend, tasks: TaskStarter) -> None:
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

    def without_share(
        self, members: Iterable[UpstreamId]
    ) -> frozenset[UpstreamId]:
        """Return those of some members that allow this proxy no connection."""
        return frozenset(
            member
            for member in members
            if (pool := self._pools.get(member)) is None or not pool.limit
        )

    def add(
        self,
        *,
        upstream_id: UpstreamId,
        group_id: GroupId,
        address: MemberAddress,
    ) -> MemberPool:
        """Return the pool of a member; create it if new or at a new address."""
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
