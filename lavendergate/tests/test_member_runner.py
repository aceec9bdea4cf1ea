"""Tests of the release of connections behind streamed results."""

import asyncio
import unittest
from collections.abc import AsyncIterator

import anyio
from result import Ok

from lavendergate.backends.base import (
    Column,
    MemberAddress,
    QueryResult,
    Row,
    UpstreamBackend,
    UpstreamConnection,
)
from lavendergate.controllers.connections import MemberPool
from lavendergate.controllers.loads import MemberLoads
from lavendergate.core.types import GroupId, UpstreamId
from lavendergate.filters.base import (
    SessionState,
    StatementRequest,
    StatementResult,
)
from lavendergate.filters.member_runner import MemberRunner

COLUMN = Column(name='id', type_code=8, character_set=63, flags=0, length=20)


class _Connection(UpstreamConnection):
    def __init__(self) -> None:
        self.is_open = True

    @property
    def is_usable(self) -> bool:
        return self.is_open

    @property
    def connection_id(self) -> int:
        return 1

    async def execute(self, sql: str) -> QueryResult:
        return QueryResult(rows=[])

    def abort(self) -> None:
        self.is_open = False


class _Backend(UpstreamBackend):
    async def connect(
        self, address: MemberAddress, *, database: str, timeout_s: float
    ) -> UpstreamConnection:
        return _Connection()


async def _rows() -> AsyncIterator[list[Row]]:
    yield [(b'1',)]
    yield [(b'2',)]


async def _stream(request: StatementRequest) -> StatementResult:
    return Ok(QueryResult(columns=(COLUMN,), rows=[], more_rows=_rows()))


class StreamedRowsTest(unittest.TestCase):
    """The connection behind a streamed result."""

    def test_result_that_is_never_read_releases_its_connection(self) -> None:
        """Guards against a pool that loses a connection per disconnect."""
        asyncio.run(self.check(read=0, connected=0))

    def test_abandoned_result_closes_its_connection(self) -> None:
        """Guards against another caller reading the rest of the result."""
        asyncio.run(self.check(read=1, connected=0))

    def test_finished_result_keeps_its_connection(self) -> None:
        """Guards against opening a new connection for each large result."""
        asyncio.run(self.check(read=3, connected=1))

    async def check(self, *, read: int, connected: int) -> None:
        """Read some batches, close the result, and check the pool."""
        async with anyio.create_task_group() as tasks:
            pool = MemberPool(
                upstream_id=UpstreamId('a'),
                group_id=GroupId('glasdaten-1'),
                address=MemberAddress(host='127.0.0.1', port=1),
                backend=_Backend(),
                tasks=tasks,
            )
            pool.set_limit(1)
            deadline = anyio.current_time() + 10
            connection = await pool.acquire(deadline=deadline)
            request = StatementRequest(
                session=SessionState(),
                sql='SELECT id FROM panes',
                attributes={},
                arrived_at=0,
                deadline=deadline,
            )
            outcome = await MemberRunner(loads=MemberLoads()).run(
                pool, connection, request, _stream
            )
            rows = outcome.unwrap().more_rows
            assert rows is not None
            for _ in range(read):
                await anext(rows, None)
            await rows.aclose()  # type: ignore[attr-defined]
            self.assertEqual(pool.load.busy, 0)
            self.assertEqual(pool.load.connected, connected)
