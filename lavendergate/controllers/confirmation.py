"""Confirmation of writes and of primaries by the replicas of a group.

One task per replica asks with ``group_wait`` for the highest position that
anyone waits for, so that one answer serves all lower positions.
"""

from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from lavendergate.backends.base import (
    MemberError,
    QueryResult,
    UpstreamConnection,
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
    UpstreamId,
)

# Between rounds the connection goes back to the pool, so that reads are not
# kept from it by a replica that lags.
WAIT_TIMEOUT_MS = 50
# The member answers after WAIT_TIMEOUT_MS at the latest; a connection that
# is silent for longer is retired.
ANSWER_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.02
CONNECTION_TIMEOUT_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitAnswer:
    """Answer of a member to ``group_wait``."""

    is_held: bool
    promised_term: Term
    last_entry: LogPosition


@dataclass(kw_only=True, eq=False, slots=True)
class _Pending:
    """One waiter for a position in a term.

    Parameters
    ----------
    needed
        Replicas that must confirm.
    """

    term: Term
    position: LogPosition
    needed: int
    confirmed_by: set[UpstreamId] = field(default_factory=set)
    done: anyio.Event = field(default_factory=anyio.Event)


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
        self._pending: set[_Pending] = set()
        self._asking: set[UpstreamId] = set()

    async def confirm(
        self, *, term: Term, position: LogPosition, deadline: float
    ) -> bool:
        """Wait until a majority holds a position in an unchanged term.

        The primary itself counts; `majority - 1` replicas must confirm.

        Returns
        -------
        bool
            False if the deadline passed first.
        """
        view = self._directory.group(self._group_id)
        if view is None:
            return False
        pending = _Pending(
            term=term, position=position, needed=view.majority - 1
        )
        if pending.needed <= 0:
            return True
        self._pending.add(pending)
        self._ask_replicas(view)
        with anyio.CancelScope(deadline=deadline):
            try:
                await pending.done.wait()
            finally:
                self._pending.discard(pending)
        return pending.done.is_set()

    def _ask_replicas(self, view: GroupView) -> None:
        for upstream_id in view.member_ids:
            if upstream_id == view.primary or upstream_id in self._asking:
                continue
            self._asking.add(upstream_id)
            self._tasks.start_soon(self._ask, upstream_id)

    async def _ask(self, upstream_id: UpstreamId) -> None:
        try:
            while self._targets(upstream_id):
                await self._ask_once(upstream_id)
        finally:
            self._asking.discard(upstream_id)

    def _targets(self, upstream_id: UpstreamId) -> set[_Pending]:
        return {
            pending
            for pending in self._pending
            if not pending.done.is_set()
            and upstream_id not in pending.confirmed_by
        }

    async def _ask_once(self, upstream_id: UpstreamId) -> None:
        pool = self._pools.get(upstream_id)
        if pool is None:
            await anyio.sleep(RETRY_DELAY_S)
            return
        deadline = anyio.current_time() + CONNECTION_TIMEOUT_S
        try:
            async with pool.connection(deadline=deadline) as connection:
                await self._serve_targets(upstream_id, connection)
        except (MemberError, TimeoutError):
            await anyio.sleep(RETRY_DELAY_S)

    async def _serve_targets(
        self, upstream_id: UpstreamId, connection: UpstreamConnection
    ) -> None:
        targets = self._targets(upstream_id)
        if not targets:
            return
        # The lowest position is asked for, because the answer tells the
        # last entry and so serves the higher ones that arrived with it.
        wanted = min(pending.position for pending in targets)
        with anyio.fail_after(ANSWER_TIMEOUT_S):
            answer = await group_wait(connection, wanted, WAIT_TIMEOUT_MS)
        self._take_answer(upstream_id, answer, targets)

    def _take_answer(
        self,
        upstream_id: UpstreamId,
        answer: WaitAnswer,
        targets: set[_Pending],
    ) -> None:
        self._directory.note_position(upstream_id, answer.last_entry)
        for pending in targets:
            if answer.promised_term != pending.term:
                # A fence of a later term ended this term: a confirmation
                # would acknowledge a write of a replaced primary.
                continue
            if _covers(answer.last_entry, pending.position):
                pending.confirmed_by.add(upstream_id)
                if len(pending.confirmed_by) >= pending.needed:
                    pending.done.set()


async def group_wait(
    connection: UpstreamConnection, position: LogPosition, timeout_ms: int
) -> WaitAnswer:
    """Ask a member to wait until it holds a position."""
    query_result = await connection.execute(
        f'CALL group_wait({position.term}, {position.position}, {timeout_ms})'
    )
    return _wait_answer(query_result)


async def last_commit(connection: UpstreamConnection) -> LogPosition:
    """Return the position of the connection's last committed write."""
    query_result = await connection.execute(
        'SELECT @@last_commit_term, @@last_commit_position'
    )
    term, position = (int(part or 0) for part in query_result.rows[0])
    return LogPosition(term=Term(term), position=position)


@dataclass(frozen=True, kw_only=True, slots=True)
class PrimaryStatus:
    """What a member says about itself and its log."""

    role: MemberRole
    promised_term: Term
    last_entry: LogPosition


async def primary_status(connection: UpstreamConnection) -> PrimaryStatus:
    """Ask a member for its role and its last entry."""
    answer = await connection.execute('CALL group_status()')
    names = [column.name for column in answer.columns]
    row = dict(zip(names, answer.rows[0], strict=True))
    return PrimaryStatus(
        role=MemberRole((row['role'] or b'').decode()),
        promised_term=Term(int(row['promised_term'] or 0)),
        last_entry=LogPosition(
            term=Term(int(row['log_term'] or 0)),
            position=int(row['log_position'] or 0),
        ),
    )


def _wait_answer(query_result: QueryResult) -> WaitAnswer:
    held, promised, log_term, position = (
        int(part or 0) for part in query_result.rows[0]
    )
    return WaitAnswer(
        is_held=bool(held),
        promised_term=Term(promised),
        last_entry=LogPosition(term=Term(log_term), position=position),
    )


def _covers(last_entry: LogPosition, position: LogPosition) -> bool:
    if position == LOG_START:
        return True
    if last_entry.term == position.term:
        return last_entry.position >= position.position
    return False
