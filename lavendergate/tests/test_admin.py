"""Tests of administrative calls over the MySQL protocol on loopback."""

import asyncio
import unittest
from typing import Any

from mysql_mimic import MysqlServer, Session
from mysql_mimic.errors import MysqlError

from lavendergate.backends.admin import MemberAddress
from lavendergate.backends.admin_mysql import MySqlMemberAdmin
from lavendergate.core.types import HostId, LogPosition, MemberRole, Term

STATUS_COLUMNS = (
    'group_id',
    'upstream_id',
    'promised_term',
    'log_term',
    'log_position',
    'role',
    'primary_contact_ms',
    'applied_age_ms',
    'connections',
)
STATUS_ROW = ('g', 'a', 4, 3, 17, 'fenced', 12, 34, 5)


class MemberSession(Session):
    """Answers the statements of one member with fixed rows."""

    statements: list[str] = []

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> Any:
        self.statements.append(sql)
        if sql in {'CALL group_status()', 'CALL group_fence(4)'}:
            return [STATUS_ROW], STATUS_COLUMNS
        if sql.startswith('CALL group_fence'):
            raise MysqlError('promised already', 1644)
        if sql.startswith('CALL group_wait'):
            return [(1, 4, 3, 17)], ('held', 'promised_term', 'a', 'b')
        if sql.startswith('CALL group_follow'):
            return [(*STATUS_ROW, 2)], (*STATUS_COLUMNS, 'truncated_entries')
        if 'session_connect_attrs' in sql:
            rows = [
                (7, 'lavendergate/proxy-1'),
                (8, 'lavendergate/proxy-1'),
                (9, 'lavendergate-admin'),
            ]
            return rows, ('processlist_id', 'attr_value')
        return None


class MySqlMemberAdminTest(unittest.IsolatedAsyncioTestCase):
    """Statements and rows of the member interface."""

    async def asyncSetUp(self) -> None:
        MemberSession.statements.clear()
        self.server = MysqlServer(session_factory=MemberSession)
        await self.server.start_server(host='127.0.0.1', port=0)
        port = self.server.sockets()[0].getsockname()[1]
        self.address = MemberAddress(host='127.0.0.1', port=port)
        self.admin = MySqlMemberAdmin(user='admin', password='')

    async def asyncTearDown(self) -> None:
        self.server.close()
        for _ in range(100):
            await asyncio.sleep(0)  # the server notices closed connections

    async def test_rows_are_read(self) -> None:
        """Guards against mixing up the columns of the status row."""
        status = (await self.admin.status(self.address)).unwrap()
        self.assertEqual(status.promised_term, 4)
        self.assertEqual(
            status.last_entry, LogPosition(term=Term(3), position=17)
        )
        self.assertIs(status.role, MemberRole.fenced)
        self.assertEqual(status.primary_contact_ms, 12)
        self.assertEqual(status.connections, 5)
        entry = LogPosition(term=Term(3), position=17)
        held = await self.admin.wait(self.address, entry, 0.1)
        self.assertIs(held.unwrap(), True)
        followed = await self.admin.follow(self.address, Term(4), self.address)
        self.assertEqual(followed.unwrap(), 2)

    async def test_refusal_is_told_apart_from_a_lost_answer(self) -> None:
        """Guards against a lost answer that is reported as a refusal."""
        self.assertTrue((await self.admin.fence(self.address, Term(4))).is_ok())
        refused = await self.admin.fence(self.address, Term(3))
        self.assertTrue(refused.unwrap_err().refused)
        self.server.close()
        await self.server.wait_closed()
        lost = await self.admin.fence(self.address, Term(4))
        self.assertFalse(lost.unwrap_err().refused)

    async def test_connections_of_one_proxy_are_killed(self) -> None:
        """Guards against closing the connections of another proxy."""
        listed = await self.admin.connections_by_host(self.address)
        self.assertEqual(listed.unwrap(), {'proxy-1': (7, 8)})
        killed = await self.admin.kill_connections(
            self.address, HostId('proxy-1')
        )
        self.assertEqual(killed.unwrap(), 2)
        kills = [
            one for one in MemberSession.statements if one.startswith('KILL')
        ]
        self.assertEqual(kills, ['KILL 7', 'KILL 8'])
