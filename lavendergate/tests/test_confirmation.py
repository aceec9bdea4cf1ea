"""Tests of the confirmation of writes by replicas."""

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, cast

import anyio
import trio
import trio.testing

from lavendergate.backends.base import QueryResult
from lavendergate.controllers.confirmation import GroupConfirmer
from lavendergate.controllers.connections import ConnectionPools
from lavendergate.controllers.directory import Directory
from lavendergate.core.reports import GroupReport
from lavendergate.core.types import GroupId, LogPosition, Term, UpstreamId

GROUP = GroupId('glasdaten-1')
MEMBERS = frozenset(map(UpstreamId, 'abc'))


class _Member:
    """Stand-in for the pool and connection of a member: ``group_wait``."""

    def __init__(self) -> None:
        self.promised, self.term, self.position = 1, 1, 0

    @asynccontextmanager
    async def connection(self, *, deadline: float) -> AsyncIterator['_Member']:
        yield self

    async def execute(self, sql: str) -> QueryResult:
        await anyio.sleep(0.01)
        row = (1, self.promised, self.term, self.position)
        return QueryResult(rows=[tuple(str(one).encode() for one in row)])


class GroupConfirmerTest(unittest.TestCase):
    """Confirmation across a change of the primary."""

    def test_replaced_primary_does_not_confirm_its_own_write(self) -> None:
        """A replaced primary must not count as replica of its own write.

        Guards against acknowledging a write that no other member holds, when
        the write is confirmed after the view has moved to the next term.
        """
        members = {name: _Member() for name in MEMBERS}
        directory = Directory()

        def report_primary(term: int, primary: str) -> None:
            report = GroupReport(
                group_id=GROUP,
                term=Term(term),
                primary=UpstreamId(primary),
                member_ids=MEMBERS,
                members=(),
                term_history=(),
            )
            directory.update([report], version=term, now=0)

        def set_log(names: str, term: int, position: int) -> None:
            for name in map(UpstreamId, names):
                member = members[name]
                member.promised, member.term = term, term
                member.position = position

        async def scenario() -> None:
            async with anyio.create_task_group() as tasks:
                confirmer = GroupConfirmer(
                    group_id=GROUP,
                    directory=directory,
                    pools=cast(ConnectionPools, cast(Any, members)),
                    tasks=tasks,
                )

                async def confirm(
                    writer: str, term: int, position: int
                ) -> bool:
                    return await confirmer.confirm(
                        writer=UpstreamId(writer),
                        position=LogPosition(
                            term=Term(term), position=position
                        ),
                        deadline=anyio.current_time() + 2,
                    )

                report_primary(1, 'a')
                set_log('abc', 1, 1)
                self.assertTrue(await confirm('a', 1, 1))
                set_log('bc', 2, 2)
                set_log('a', 1, 2)
                report_primary(2, 'b')
                self.assertTrue(await confirm('b', 2, 2))
                # `a` committed it in term 1; the view is of term 2 by now.
                self.assertFalse(await confirm('a', 1, 2))
                tasks.cancel_scope.cancel()

        trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
