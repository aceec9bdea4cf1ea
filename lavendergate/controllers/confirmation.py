"""Confirmation of writes by the replicas of a group.

The decisions are in `lavendergate.core.confirmation`; this module sends the
queries to the replicas and wakes the writes that wait for them.
"""

from dataclasses import dataclass, field

import anyio

from lavendergate.backends.base import (
    MemberError,
    UpstreamConnection,
)
from lavendergate.controllers.connections import ConnectionPools
from lavendergate.controllers.directory import Directory
from lavendergate.controllers.waiters import TaskStarter
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

# Longest wait of one `group_wait` call. Between calls the connection returns
# to the pool, so that a lagging replica does not block reads on it for long.
WAIT_TIMEOUT_MS = 100
# The member answers after WAIT_TIMEOUT_MS at the latest; a connection on
# which no answer arrives within this time is retired.
ANSWER_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.02
CONNECTION_TIMEOUT_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class _Writer:
    """A primary during one term; identifies a set of confirmations."""

    term: Term
    upstream_id: UpstreamId


@dataclass(kw_only=True, slots=True)
class _PendingWrite:
    done: anyio.Event = field(default_factory=anyio.Event)
    is_confirmed: bool = False


class GroupConfirmer:
    """Waits for replicas to confirm the writes of one group.

    Parameters
    ----------
    group_id
        The group.
    directory, pools
        Views of the group and connections to its members.
    tasks
        Task group for the waits on replicas.
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
        self._confirmations: dict[_Writer, WriteConfirmations] = {}
        self._pending: dict[WriteId, _PendingWrite] = {}
        self._last_id = 0

    async def confirm(
        self,
        *,
        writer: UpstreamId,
        position: LogPosition,
        deadline: float,
    ) -> bool:
        """Wait until a majority of the members holds a write's log entry.

        The members must hold it while the term of the entry lasts.

        Parameters
        ----------
        writer
            Member that committed the entry as primary of its term. It never
            counts as a replica, even if the group's view has since named
            another primary.
        position
            Term and position of the entry.
        deadline
            Time on the runtime's clock at which waiting ends, in seconds.

        Returns
        -------
        bool
            False if the term ended or the deadline passed first. Whether the
            write survives is then unknown.
        """
        view = self._directory.group(self._group_id)
        if view is None:
            return False
        core = self._confirmations_of(
            _Writer(term=position.term, upstream_id=writer), view
        )
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

    def _confirmations_of(
        self, writer: _Writer, view: GroupView
    ) -> WriteConfirmations:
        core = self._confirmations.get(writer)
        if core is None:
            self._discard_older_terms(writer.term)
            core = WriteConfirmations(
                term=writer.term,
                needed=view.majority - 1,
                replicas=view.member_ids - {writer.upstream_id},
            )
            self._confirmations[writer] = core
        return core

    def _discard_older_terms(self, term: Term) -> None:
        self._confirmations = {
            writer: core
            for writer, core in self._confirmations.items()
            if writer.term >= term or core.pending
        }

    def _perform(self, core: WriteConfirmations, effects: Effects) -> None:
        for effect in effects:
            match effect:
                case StartWait():
                    self._tasks.start_soon(self._run_wait, core, effect)
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

    async def _run_wait(
        self, core: WriteConfirmations, effect: StartWait
    ) -> None:
        end = await self._wait_on_replica(effect.upstream_id, effect.position)
        if end is None:
            core.wait_failed(effect.upstream_id)
            await anyio.sleep(RETRY_DELAY_S)
            self._perform(core, core.retry_waits())
        else:
            self._perform(core, core.wait_ended(effect.upstream_id, end))

    async def _wait_on_replica(
        self, upstream_id: UpstreamId, position: LogPosition
    ) -> WaitResult | None:
        pool = self._pools.get(upstream_id)
        if pool is None:
            return None
        deadline = anyio.current_time() + CONNECTION_TIMEOUT_S
        try:
            async with pool.connection(deadline=deadline) as connection:
                with anyio.fail_after(ANSWER_TIMEOUT_S):
                    answer = await wait_for_position(
                        connection, position, WAIT_TIMEOUT_MS
                    )
        except (MemberError, TimeoutError):
            return None
        self._directory.record_position(upstream_id, answer.last_entry)
        return WaitResult(
            promised_term=answer.promised_term, last_entry=answer.last_entry
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitAnswer:
    """Answer of a member to ``group_wait``.

    Parameters
    ----------
    is_held
        Whether the member held the position before the timeout.
    promised_term
        Highest term that the member has promised to follow.
    last_entry
        Last entry of the member's log.
    """

    is_held: bool
    promised_term: Term
    last_entry: LogPosition


async def wait_for_position(
    connection: UpstreamConnection, position: LogPosition, timeout_ms: int
) -> WaitAnswer:
    """Ask a member to wait, up to a timeout, until it holds a position."""
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


async def query_last_commit(connection: UpstreamConnection) -> LogPosition:
    """Return the position of the connection's last committed write."""
    query_result = await connection.execute(
        'SELECT @@last_commit_term, @@last_commit_position'
    )
    term, position = (int(part or 0) for part in query_result.rows[0])
    return LogPosition(term=Term(term), position=position)


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberReply:
    """Status that a member reports of itself, as of ``group_status``."""

    role: MemberRole
    promised_term: Term
    last_entry: LogPosition


async def query_status(connection: UpstreamConnection) -> MemberReply:
    """Query the role, promised term and last log entry of a member."""
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
