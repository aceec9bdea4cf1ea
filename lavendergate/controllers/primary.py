"""Connections to the current primary of a group."""

from dataclasses import dataclass

import anyio
from result import Err, Ok, Result

from lavendergate.backends.base import MemberError, UpstreamConnection
from lavendergate.controllers.connections import (
    ConnectionPools,
    MemberPool,
)
from lavendergate.controllers.directory import Directory
from lavendergate.core.errors import (
    NoPrimaryError,
    NotRunError,
    StatementError,
    UnknownGroupError,
)
from lavendergate.core.types import GroupId, Term

_MS_PER_S = 1000
FIRST_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class PrimaryConnection:
    """A connection to a primary, and the term of which it is the primary."""

    term: Term
    pool: MemberPool
    connection: UpstreamConnection

    def release(self) -> None:
        """Return the connection to its pool."""
        self.pool.release(self.connection)


class PrimaryConnector:
    """Finds the primary of a group and acquires connections to it.

    While no primary is confirmed, or it accepts no connection, requests wait
    up to their deadlines instead of failing.
    """

    def __init__(self, *, directory: Directory, pools: ConnectionPools) -> None:
        self._directory = directory
        self._pools = pools

    async def acquire(
        self,
        group_id: GroupId,
        *,
        deadline: float,
        session_statements: tuple[str, ...] = (),
    ) -> Result[PrimaryConnection, StatementError]:
        """Acquire a connection to the current primary before the deadline."""
        started_at = anyio.current_time()
        backoff_s = FIRST_BACKOFF_S
        reason = ''
        while anyio.current_time() < deadline:
            found = self._find_primary(group_id)
            if isinstance(found, Err):
                return found
            if found.ok_value is None:
                await self._directory.wait_for_change(deadline=deadline)
                continue
            term, pool = found.ok_value
            try:
                connection = await pool.acquire(
                    deadline=deadline, session_statements=session_statements
                )
            except (MemberError, TimeoutError) as error:
                reason = str(error)
                await self._back_off(pool, error, backoff_s, deadline)
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                continue
            return Ok(
                PrimaryConnection(term=term, pool=pool, connection=connection)
            )
        return Err(self._timeout_error(group_id, started_at, reason))

    async def _back_off(
        self,
        pool: MemberPool,
        error: Exception,
        backoff_s: float,
        deadline: float,
    ) -> None:
        has_answered = getattr(error, 'has_answered', True)
        if not has_answered:
            self._directory.mark_suspected(pool.upstream_id)
        now = anyio.current_time()
        await self._directory.wait_for_change(
            deadline=min(deadline, now + backoff_s)
        )

    def _find_primary(
        self, group_id: GroupId
    ) -> Result[tuple[Term, MemberPool] | None, StatementError]:
        view = self._directory.group(group_id)
        if view is None:
            return Err(UnknownGroupError(schema=group_id))
        pool = self._pools.get(view.primary) if view.primary else None
        return Ok(None if pool is None else (view.term, pool))

    def _timeout_error(
        self, group_id: GroupId, started_at: float, reason: str
    ) -> StatementError:
        if reason:
            return NotRunError(reason=reason)
        waited_ms = int((anyio.current_time() - started_at) * _MS_PER_S)
        return NoPrimaryError(group_id=group_id, waited_ms=waited_ms)
