"""Confirmed positions of primaries, for reads without a session token.

The decisions are in `lavendergate.core.read_index`; this module sends the
queries to the primary and the replicas and wakes the reads that wait.
"""

from dataclasses import dataclass, field

import anyio

from lavendergate.backends.base import MemberError
from lavendergate.controllers.confirmation import (
    MemberReply,
    query_status,
)
from lavendergate.controllers.connections import ConnectionPools
from lavendergate.controllers.directory import Directory
from lavendergate.controllers.waiters import TaskStarter
from lavendergate.core.read_index import (
    Effects,
    IndexSource,
    ReaderId,
    ReadersFailed,
    ReadersServed,
    ReadIndexBatcher,
    RoundId,
    StartRound,
)
from lavendergate.core.types import (
    GroupId,
    GroupView,
    LogPosition,
    MemberRole,
    UpstreamId,
)

ROUND_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05


@dataclass(kw_only=True, slots=True)
class _Reader:
    done: anyio.Event = field(default_factory=anyio.Event)
    position: LogPosition | None = None


class GroupReadIndex:
    """Runs the read index rounds of one group.

    A round queries the last entry of the primary and has a majority confirm
    that its term still lasts. One round serves all reads that wait for it.
    """

    def __init__(
        self,
        *,
        group_id: GroupId,
        directory: Directory,
        pools: ConnectionPools,
        tasks: TaskStarter,
    ) -> None:
        self._group_id = group_id
        self._directory = directory
        self._pools = pools
        self._tasks = tasks
        self._core = ReadIndexBatcher()
        self._readers: dict[ReaderId, _Reader] = {}
        self._last_id = 0

    async def read(self, *, deadline: float) -> LogPosition | None:
        """Return a position of the primary confirmed after this call began.

        Returns
        -------
        LogPosition or None
            None if no round succeeded before the deadline.
        """
        while anyio.current_time() < deadline:
            view = self._directory.group(self._group_id)
            position = None
            if view is not None and view.primary is not None:
                position = await self._join_round(view, deadline)
            if position is not None:
                return position
            pause_end = min(deadline, anyio.current_time() + RETRY_DELAY_S)
            await self._directory.wait_for_change(deadline=pause_end)
        return None

    async def _join_round(
        self, view: GroupView, deadline: float
    ) -> LogPosition | None:
        if view.primary is None:
            return None
        self._last_id += 1
        reader_id = ReaderId(self._last_id)
        reader = _Reader()
        self._readers[reader_id] = reader
        source = IndexSource(
            primary=view.primary, term=view.term, needed=view.majority - 1
        )
        self._perform(self._core.add_reader(reader_id, source))
        try:
            with anyio.CancelScope(deadline=deadline):
                await reader.done.wait()
        finally:
            self._readers.pop(reader_id, None)
            self._core.remove_reader(reader_id)
        return reader.position

    def _perform(self, effects: Effects) -> None:
        for effect in effects:
            match effect:
                case StartRound():
                    self._tasks.start_soon(self._run_round, effect)
                case ReadersServed(readers=readers, position=position):
                    self._end_reads(readers, position)
                case ReadersFailed(readers=readers):
                    self._end_reads(readers, None)

    def _end_reads(
        self, readers: tuple[ReaderId, ...], position: LogPosition | None
    ) -> None:
        for reader_id in readers:
            reader = self._readers.get(reader_id)
            if reader is not None:
                reader.position = position
                reader.done.set()

    async def _run_round(self, effect: StartRound) -> None:
        view = self._directory.group(self._group_id)
        replicas = () if view is None else view.member_ids - {effect.primary}
        with anyio.move_on_after(ROUND_TIMEOUT_S):
            async with anyio.create_task_group() as queries:
                queries.start_soon(self._query_primary, effect)
                for upstream_id in replicas:
                    queries.start_soon(
                        self._query_replica, effect.round_id, upstream_id
                    )
        self._perform(self._core.abandon(effect.round_id))

    async def _query_primary(self, effect: StartRound) -> None:
        status = await self._query_status(effect.primary)
        if status is None or status.role is not MemberRole.primary:
            self._perform(self._core.abandon(effect.round_id))
            return
        self._perform(
            self._core.primary_answered(
                effect.round_id, status.last_entry, status.promised_term
            )
        )

    async def _query_replica(
        self, round_id: RoundId, upstream_id: UpstreamId
    ) -> None:
        status = await self._query_status(upstream_id)
        if status is not None:
            self._perform(
                self._core.replica_answered(
                    round_id, upstream_id, status.promised_term
                )
            )

    async def _query_status(
        self, upstream_id: UpstreamId
    ) -> MemberReply | None:
        pool = self._pools.get(upstream_id)
        if pool is None:
            return None
        deadline = anyio.current_time() + ROUND_TIMEOUT_S
        try:
            async with pool.connection(deadline=deadline) as connection:
                status = await query_status(connection)
        except (MemberError, TimeoutError):
            return None
        self._directory.record_position(upstream_id, status.last_entry)
        return status
