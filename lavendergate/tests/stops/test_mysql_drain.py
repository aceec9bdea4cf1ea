"""Tests of the end of a drain, with callers of the MySQL protocol."""

import asyncio
import unittest
from types import SimpleNamespace
from typing import cast

import anyio
import pymysql
from result import Ok

from lavendergate.backends.base import QueryResult
from lavendergate.core.errors import DrainingError, UnknownOutcomeError
from lavendergate.daemon.context import ProcessContext
from lavendergate.daemon.drain import Drain
from lavendergate.daemon.proxy import ProxyRole
from lavendergate.filters.base import StatementRequest, StatementResult
from lavendergate.frontend.server import CallerAccounts, CallerListener
from lavendergate.frontend.session import MysqlSession
from lavendergate.observability.log import MemoryEventLog
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.tests.test_tls import AUTH_STRING, PASSWORD

_LIMIT_S = 0.3


async def run_long(request: StatementRequest) -> StatementResult:
    """Run a statement that outlasts each drain."""
    if 'SLEEP' in request.sql:
        await anyio.sleep(3600)
    return Ok(QueryResult(rows=[], affected_rows=1))


class _Proxy:
    """The part of the proxy role that a drain uses."""

    def __init__(self) -> None:
        self.refuses = False
        self.listener = CallerListener(
            session_factory=lambda: MysqlSession(
                chain=run_long, is_draining=lambda: self.refuses
            ),
            accounts=CallerAccounts(auth_strings={'tablet': AUTH_STRING}),
        )

    def fail_health_check(self) -> None:
        """Do nothing: no balancer asks."""

    def refuse_new_statements(self) -> None:
        self.refuses = True

    async def return_shares(self) -> None:
        """Do nothing: there are no shares."""


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """One proxy whose drain reaches its limit."""

    async def asyncSetUp(self) -> None:
        self.proxy = _Proxy()
        await self.proxy.listener.start('127.0.0.1', 0)
        self.events = MemoryEventLog()
        context = SimpleNamespace(
            events=self.events,
            options=SimpleNamespace(drain_delay_s=0, drain_limit_s=_LIMIT_S),
        )
        self.drain = Drain(
            context=cast(ProcessContext, context),
            proxy=cast(ProxyRole, self.proxy),
        )

    def run_statement(self, text: str) -> object:
        """Return the result of a statement of a caller, or its error."""
        connection = pymysql.connect(
            host='127.0.0.1',
            port=self.proxy.listener.port,
            user='tablet',
            password=PASSWORD,
            read_timeout=10,
        )
        try:
            with connection.cursor() as cursor:
                return cursor.execute(text)
        except pymysql.err.MySQLError as error:
            return error.args[0]

    async def test_running_statement_is_answered_at_the_limit(self) -> None:
        """Guards against a caller who is told nothing of its statement."""
        caller = asyncio.create_task(
            asyncio.to_thread(self.run_statement, 'SELECT SLEEP(3600)')
        )
        while not self.proxy.listener.busy_count:
            await asyncio.sleep(0.01)
        await self.drain.run()
        self.assertEqual(await caller, UnknownOutcomeError.code)
        cut = self.events.fields_of(ProcessEvent.drain_cut)
        self.assertEqual([fields['cut'] for fields in cut], [1])
        self.assertEqual(self.proxy.listener.busy_count, 0)

    async def test_statement_after_the_limit_is_not_begun(self) -> None:
        """Guards against the next statement of a transaction, which is cut."""
        session = MysqlSession(chain=run_long, is_draining=lambda: False)
        session.give_up_statement()
        with anyio.fail_after(1):
            outcome = await session.run('SELECT SLEEP(3600)', {})
        self.assertEqual(outcome.unwrap_err().code, DrainingError.code)
