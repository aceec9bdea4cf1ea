"""Tests of the time limit that a route sets for a statement."""

import unittest
from collections.abc import Mapping
from functools import partial
from unittest import mock

import anyio

from lavendergate.backends.sessions import MemberSession, ReportRequest
from lavendergate.controllers.member_link import (
    NotPreparedError,
    PooledSession,
)
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.sessions.context import StatementContext
from lavendergate.core.sessions.statements import (
    Begin,
    CallerStatement,
    Completed,
    MemberReport,
    Phase,
    Read,
    RefusalCode,
    Refused,
    SessionAnswer,
    Statement,
    Write,
)
from lavendergate.core.types import LogPosition
from lavendergate.filters.sessions.base import CallerSession
from lavendergate.tests.session_fixture import (
    OWN,
    PRIMARY,
    SessionFixture,
    play,
)

_LIMIT_S = 0.8
_BUSY_S = 0.2
_TOLERANCE_S = 0.01


class _SlowSession(MemberSession):
    """A connection on which each statement takes a time."""

    def __init__(self, *, statement_s: float) -> None:
        self._statement_s = statement_s

    async def run(
        self,
        statement: Statement,
        *,
        request_id: str | None = None,
        after: LogPosition | None = None,
    ) -> SessionAnswer:
        await anyio.sleep(self._statement_s)
        return SessionAnswer(outcome=Completed(), phase=Phase.idle)

    async def request_report(
        self, request: ReportRequest
    ) -> MemberReport | Refused:
        raise NotImplementedError

    async def close(self) -> None:
        """Do nothing; there is no connection."""


class TimeLimitTest(unittest.TestCase):
    """Statements at a member that stops answering."""

    def test_transaction_that_waited_for_a_connection_ends_in_time(
        self,
    ) -> None:
        """Guards against a wait that counts twice.

        The caller was answered up to 0.25 s after the limit of its route.
        """

        async def scenario(proxy: SessionFixture) -> None:
            acquire = proxy.pools.acquire

            async def acquire_late(
                member: MemberEntry,
                values: Mapping[str, str],
                give_up_at: float,
                *,
                context: StatementContext,
            ) -> PooledSession:
                """Wait for a connection; its member is silent after that."""
                connection = await acquire(
                    member, values, give_up_at, context=context
                )
                left_s = give_up_at - anyio.current_time()
                await anyio.sleep(min(_BUSY_S, left_s))
                proxy.group.member('a').is_silent = True
                return connection

            session = CallerSession(database=PRIMARY, values={'a': '1'})
            await proxy.send(session, Begin())
            began_at = anyio.current_time()
            with mock.patch.object(proxy.pools, 'acquire', acquire_late):
                answer = await proxy.send(session, Write(item='x', content='1'))
            waited_s = anyio.current_time() - began_at
            self.assertIsInstance(answer.outcome, Refused)
            self.assertLessEqual(waited_s, _LIMIT_S + _TOLERANCE_S)

        play(scenario)

    def test_refused_statements_end_in_time(self) -> None:
        """Guards against a last pause that goes beyond the limit.

        Callers were told up to 0.16 s late that nothing ran.
        """
        for statement in (Read(item='x'), Write(item='x', content='1')):
            with self.subTest(statement=statement):
                play(partial(self._refuse_always, statement=statement))

    async def _refuse_always(
        self, proxy: SessionFixture, statement: CallerStatement
    ) -> None:
        for member in proxy.group.members.values():
            member.refusals = [RefusalCode.busy] * 100
        session = CallerSession(database=PRIMARY)
        began_at = anyio.current_time()
        answer = await proxy.send(session, statement)
        waited_s = anyio.current_time() - began_at
        self.assertIsInstance(answer.outcome, Refused)
        self.assertLessEqual(waited_s, _LIMIT_S)

    def test_preparation_ends_in_time(self) -> None:
        """Guards against a limit that starts again with each value."""

        async def scenario(proxy: SessionFixture) -> None:
            session = CallerSession(
                database=OWN, values={'a': '1', 'b': '2', 'c': '3'}
            )
            connection = PooledSession(
                session=_SlowSession(statement_s=0.6),
                link=proxy.pools.link(proxy.group.primary.entry),
            )
            began_at = anyio.current_time()
            with self.assertRaises(NotPreparedError):
                await connection.run(
                    Begin(), state=session.state, timeout_s=_LIMIT_S
                )
            waited_s = anyio.current_time() - began_at
            self.assertLessEqual(waited_s, _LIMIT_S + _TOLERANCE_S)

        play(scenario)
