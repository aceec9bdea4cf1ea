"""Confirmed positions of primaries, for reads without a token.

A round asks the primary for its position and then has the replicas confirm
that their promised term is unchanged. After that every write that was
acknowledged before the round began is at or below the position.
"""

from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from lavendergate.backends.base import MemberError
from lavendergate.controllers.confirmation import (
    GroupConfirmer,
    primary_status,
)
from lavendergate.controllers.connections import ConnectionPools
from lavendergate.controllers.directory import Directory
from lavendergate.core.types import (
    LOG_START,
    GroupId,
    GroupView,
    LogPosition,
    MemberRole,
    Term,
)

ROUND_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.02


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfirmedPosition:
    """Position of a primary that was confirmed in its term."""

    term: Term
    position: LogPosition


@dataclass(kw_only=True, eq=False, slots=True)
class _Round:
    has_readers: bool = False
    answer: ConfirmedPosition | None = None
    done: anyio.Event = field(default_factory=anyio.Event)


class GroupReadIndex:
    """Runs the rounds of one group; one round serves many reads."""

    def __init__(
        self,
        *,
        group_id: GroupId,
        directory: Directory,
        pools: ConnectionPools,
        confirmer: GroupConfirmer,
        tasks: TaskGroup,
    ) -> None:
        self._group_id = group_id
        self._directory = directory
        self._pools = pools
        self._confirmer = confirmer
        self._tasks = tasks
        self._next = _Round()
        self._is_running = False

    async def read(self, *, deadline: float) -> ConfirmedPosition | None:
        """Return a position confirmed after this call began.

        Returns
        -------
        ConfirmedPosition or None
            None if no round succeeded before the deadline.
        """
        while anyio.current_time() < deadline:
            # A round that is already running may have read the primary's
            # position before this read arrived.
            joined = self._next
            joined.has_readers = True
            self._ensure_running()
            with anyio.CancelScope(deadline=deadline):
                await joined.done.wait()
            if joined.answer is not None:
                return joined.answer
        return None

    def _ensure_running(self) -> None:
        if not self._is_running:
            self._is_running = True
            self._tasks.start_soon(self._run)

    async def _run(self) -> None:
        try:
            while self._next.has_readers:
                await self._run_round()
        finally:
            self._is_running = False

    async def _run_round(self) -> None:
        current = self._next
        self._next = _Round()
        try:
            current.answer = await self._confirm_primary()
        finally:
            if current.answer is None:
                await anyio.sleep(RETRY_DELAY_S)
            current.done.set()

    async def _confirm_primary(self) -> ConfirmedPosition | None:
        deadline = anyio.current_time() + ROUND_TIMEOUT_S
        view = self._directory.group(self._group_id)
        if view is None or view.primary is None:
            await self._directory.wait_for_change(deadline=deadline)
            return None
        try:
            with anyio.fail_after(ROUND_TIMEOUT_S):
                position = await self._primary_position(view, deadline)
        except (MemberError, TimeoutError):
            return None
        if position is None:
            return None
        is_confirmed = await self._confirmer.confirm(
            term=view.term, position=LOG_START, deadline=deadline
        )
        if not is_confirmed:
            return None
        return ConfirmedPosition(term=view.term, position=position)

    async def _primary_position(
        self, view: GroupView, deadline: float
    ) -> LogPosition | None:
        pool = self._pools.get(view.primary) if view.primary else None
        if pool is None:
            return None
        async with pool.connection(deadline=deadline) as connection:
            status = await primary_status(connection)
        if status.role is not MemberRole.primary:
            return None
        if status.promised_term != view.term:
            return None
        self._directory.note_position(pool.upstream_id, status.last_entry)
        return status.last_entry
