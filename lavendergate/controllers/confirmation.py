"""Confirmation of writes by the replicas of a group.

The decisions are in `lavendergate.core.confirmation`; this module asks the
replicas and wakes the writes that wait.
"""

from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from lavendergate.backends.base import (
    MemberError,
    UpstreamConnection,
)
from lavendergate.controllers.connections import ConnectionPools
from lavendergate.controllers.directory import Directory
from lavendergate.core.confirmation import (
    Effects,
    StartWait,
    WaitResult,
    WriteConfirmations,
    WriteId,
    WritesConfirmed,
    WritesUnknown,
)
from lavendergate.core.types import (
    GroupId,
    GroupView,
    LogPosition,
    MemberRole,
    Term,
    UpstreamId,
)

# Between rounds the connection goes back to the pool, so that reads are not
# kept from it for long by a replica that lags.
WAIT_TIMEOUT_MS = 100
# The member answers after WAIT_TIMEOUT_MS at the latest; a connection that
# is silent for longer is retired.
ANSWER_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.02
CONNECTION_TIMEOUT_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class _Writer:
    """A primary in one of its terms."""

    term: Term
    upstream_id: UpstreamId


@dataclass(kw_only=True, slots=True)
class _PendingWrite:
    done: anyio.Event = field(default_factory=anyio.Event)
    is_confirmed: bool = False


class GroupConfirmer:
    """Collects confirmations of one group.

    Parameters
    ----------
    group_id
        The group.
    directory, pools
        Views of the group and connections to its members.
    tasks
        Task group in which the waiting tasks run.
    """

    def __init__(
        self,
        *,
        group_id: GroupId,
        directory: Directory,
        pools: ConnectionPools,
        tasks: TaskGroup,
    ) -> None:
        self._group_id = group_id
        self._directory = directory
        self._pools = pools
        self._tasks = tasks
        self._cores: dict[_Writer, WriteConfirmations] = {}
        self._pending: dict[WriteId, _PendingWrite] = {}
        self._last_id = 0

    async def confirm(
        self,
        *,
        writer: UpstreamId,
        position: LogPosition,
        deadline: float,
    ) -> bool:
        """Wait until a majority holds an entry in the term of the entry.

        Parameters
        ----------
        writer
            Member that committed the entry as primary of its term. It never
            counts as a replica, whatever the group's view says by now.

        Returns
        -------
        bool
            False if the term ended or the deadline passed first; the write
            may be lost or kept.
        """
        view = self._directory.group(self._group_id)
        if view is None:
            return False
        core = self._core(_Writer(term=position.term, upstream_id=writer), view)
        self._last_id += 1
        write_id = WriteId(self._last_id)
        pending = _PendingWrite()
        self._pending[write_id] = pending
        self._perform(core, core.add(write_id, position))
        try:
            with anyio.CancelScope(deadline=deadline):
                await pending.done.wait()
        finally:
            self._pending.pop(write_id, None)
            core.expire(write_id)
        return pending.is_confirmed

    def _core(self, writer: _Writer, view: GroupView) -> WriteConfirmations:
        core = self._cores.get(writer)
        if core is None:
            self._forget_older(writer.term)
            core = WriteConfirmations(
                term=writer.term,
                needed=view.majority - 1,
                replicas=view.member_ids - {writer.upstream_id},
            )
            self._cores[writer] = core
        return core

    def _forget_older(self, term: Term) -> None:
        self._cores = {
            writer: core
            for writer, core in self._cores.items()
            if writer.term >= term or core.pending
        }

    def _perform(self, core: WriteConfirmations, effects: Effects) -> None:
        for effect in effects:
            match effect:
                case StartWait():
                    self._tasks.start_soon(self._wait, core, effect)
                case WritesConfirmed(writes=writes):
                    self._finish(writes, is_confirmed=True)
                case WritesUnknown(writes=writes):
                    self._finish(writes, is_confirmed=False)

    def _finish(
        self, writes: tuple[WriteId, ...], *, is_confirmed: bool
    ) -> None:
        for write_id in writes:
            pending = self._pending.get(write_id)
            if pending is not None:
                pending.is_confirmed = is_confirmed
                pending.done.set()

    async def _wait(self, core: WriteConfirmations, effect: StartWait) -> None:
        end = await self._ask(effect.upstream_id, effect.position)
        if end is None:
            core.wait_failed(effect.upstream_id)
            await anyio.sleep(RETRY_DELAY_S)
            self._perform(core, core.retry_waits())
        else:
            self._perform(core, core.wait_ended(effect.upstream_id, end))

    async def _ask(
        self, upstream_id: UpstreamId, position: LogPosition
    ) -> WaitResult | None:
        pool = self._pools.get(upstream_id)
        if pool is None:
            return None
        deadline = anyio.current_time() + CONNECTION_TIMEOUT_S
        try:
            async with pool.connection(deadline=deadline) as connection:
                with anyio.fail_after(ANSWER_TIMEOUT_S):
                    answer = await wait_on_member(
                        connection, position, WAIT_TIMEOUT_MS
                    )
        except (MemberError, TimeoutError):
            return None
        self._directory.note_position(upstream_id, answer.last_entry)
        return WaitResult(
            promised_term=answer.promised_term, last_entry=answer.last_entry
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitAnswer:
    """Answer of a member to ``group_wait``."""

    is_held: bool
    promised_term: Term
    last_entry: LogPosition


async def wait_on_member(
    connection: UpstreamConnection, position: LogPosition, timeout_ms: int
) -> WaitAnswer:
    """Ask a member to wait until it holds a position."""
    query_result = await connection.execute(
        f'CALL group_wait({position.term}, {position.position}, {timeout_ms})'
    )
    held, promised, log_term, last_position = (
        int(part or 0) for part in query_result.rows[0]
    )
    return WaitAnswer(
        is_held=bool(held),
        promised_term=Term(promised),
        last_entry=LogPosition(term=Term(log_term), position=last_position),
    )


async def last_commit(connection: UpstreamConnection) -> LogPosition:
    """Return the position of the connection's last committed write."""
    query_result = await connection.execute(
        'SELECT @@last_commit_term, @@last_commit_position'
    )
    term, position = (int(part or 0) for part in query_result.rows[0])
    return LogPosition(term=Term(term), position=position)


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberReply:
    """What a member says about itself and its log."""

    role: MemberRole
    promised_term: Term
    last_entry: LogPosition


async def ask_status(connection: UpstreamConnection) -> MemberReply:
    """Ask a member for its role and its last entry."""
    answer = await connection.execute('CALL group_status()')
    names = [column.name for column in answer.columns]
    row = dict(zip(names, answer.rows[0], strict=True))
    return MemberReply(
        role=MemberRole((row['role'] or b'').decode()),
        promised_term=Term(int(row['promised_term'] or 0)),
        last_entry=LogPosition(
            term=Term(int(row['log_term'] or 0)),
            position=int(row['log_position'] or 0),
        ),
    )
