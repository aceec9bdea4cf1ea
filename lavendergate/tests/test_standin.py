"""Tests of the stand-in for an upstream member."""

import asyncio
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

import aiomysql
import pymysql

from standin.options import Account, MemberOptions
from standin.server import MemberServer

SCHEMA = 'glasdaten-1'
TABLE = (
    'CREATE TABLE rounds (id BIGINT NOT NULL AUTO_INCREMENT, '
    'name VARCHAR(20) NOT NULL, raw VARBINARY(40), at DATETIME DEFAULT '
    'CURRENT_TIMESTAMP, PRIMARY KEY (id), UNIQUE KEY by_name (name)) '
    'ENGINE=InnoDB DEFAULT CHARSET=utf8mb4'
)
WAIT_LIMIT_MS = 20_000


def free_port() -> int:
    """Return a port that was free at the time of the call."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


class Session:
    """A client connection that returns rows."""

    def __init__(self, connection: Any) -> None:
        self.connection = connection

    async def run(self, sql: str, *parameters: Any) -> Any:
        async with self.connection.cursor() as cursor:
            await cursor.execute(sql, parameters or None)
            return await cursor.fetchall()

    async def error(self, sql: str) -> int:
        try:
            await self.run(sql)
        except pymysql.err.MySQLError as error:
            return int(error.args[0])
        return 0

    async def last_commit(self) -> tuple[int, int]:
        rows = await self.run(
            'SELECT @@last_commit_term, @@last_commit_position'
        )
        return tuple(rows[0])


class GroupTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs three members in this process."""

    async def asyncSetUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.ports = [free_port() for _ in range(3)]
        self.servers = [await self.start_member(index) for index in range(3)]
        self.admins = [await self.connect(index, 'admin') for index in range(3)]

    async def start_member(self, index: int) -> MemberServer:
        options = MemberOptions(
            upstream_id=f'member-{index}',
            group=SCHEMA,
            region='franken',
            failure_domain='nue-sued',
            host='127.0.0.1',
            port=self.ports[index],
            data=self.directory / str(index),
            connection_limit=4,
            slots=2,
            connect_delay_ms=0,
            replication_delay_ms=0,
            service_ms=0,
            account=Account(name='app', password='secret'),
            administrator=Account(name='admin', password='secret'),
            announce_to=(),
            announce_key='',
        )
        server = MemberServer(options=options)
        await server.start()
        self.addAsyncCleanup(server.stop)
        return server

    async def connect(self, index: int, user: str = 'app') -> Session:
        connection = await aiomysql.connect(
            host='127.0.0.1',
            port=self.ports[index],
            user=user,
            password='secret',
            db=SCHEMA,
            autocommit=True,
        )
        self.addCleanup(connection.close)
        return Session(connection)

    async def elect(self, term: int, primary: int, *others: int) -> Any:
        """Fence, promote and follow; return truncated entries by replica."""
        for index in (primary, *others):
            await self.admins[index].run('CALL group_fence(%s)', term)
        await self.admins[primary].run('CALL group_promote(%s)', term)
        return [await self.follow(index, term, primary) for index in others]

    async def follow(self, index: int, term: int, primary: int) -> int:
        rows = await self.admins[index].run(
            "CALL group_follow(%s, '127.0.0.1', %s)",
            term,
            self.ports[primary],
        )
        return int(rows[0][-1])


class SessionTest(GroupTestCase):
    """Behaviour of one member towards callers."""

    async def test_values_and_errors(self) -> None:
        """Guards against values, counts or error numbers MySQL never sends."""
        await self.elect(1, 0, 1)
        session = await self.connect(0)
        await session.run(TABLE)
        raw = bytes(range(256))[-40:]
        name = 'O\'Br\\ien "ü" 🪟\n\0'
        counts = await asyncio.to_thread(self._insert, name, raw)
        self.assertEqual(counts, (2, 1))
        rows = await session.run('SELECT id, name, raw FROM rounds')
        self.assertEqual(rows, ((1, name, raw), (2, 'second', None)))
        faults = {
            "INSERT INTO rounds (name) VALUES ('second')": 1062,
            'SELECT * FROM missing': 1146,
            'SELEC 1': 1064,
            'INSERT INTO rounds (name) VALUES (NULL)': 1048,
            f'INSERT INTO rounds (name) VALUES ("{"x" * 21}")': 1406,
            'CALL group_fence(9)': 1227,
        }
        seen = {sql: await session.error(sql) for sql in faults}
        self.assertEqual(seen, faults)
        replica = await self.connect(1)
        self.assertEqual(await replica.error('DELETE FROM rounds'), 1290)

    def _insert(self, name: str, raw: bytes) -> tuple[int, int]:
        connection = pymysql.connect(
            host='127.0.0.1',
            port=self.ports[0],
            user='app',
            password='secret',
            database=SCHEMA,
        )
        with connection, connection.cursor() as cursor:
            count = cursor.execute(
                'INSERT INTO rounds (name, raw) VALUES (%s, %s), (%s, NULL)',
                (name, raw, 'second'),
            )
            connection.commit()
            return count, cursor.lastrowid

    async def test_transactions_are_isolated(self) -> None:
        """Guards against readers of uncommitted data and lost rollbacks."""
        await self.elect(1, 0)
        writer, reader = await self.connect(0), await self.connect(0)
        await writer.run(TABLE)
        await writer.run('BEGIN')
        await writer.run("INSERT INTO rounds (name) VALUES ('a')")
        waiting = asyncio.create_task(
            reader.run("INSERT INTO rounds (name) VALUES ('b')")
        )
        other = await self.connect(0)
        self.assertEqual(await other.run('SELECT name FROM rounds'), ())
        self.assertFalse(waiting.done())
        await writer.run('ROLLBACK')
        await waiting
        self.assertEqual(await other.run('SELECT name FROM rounds'), (('b',),))
        self.assertEqual(await reader.last_commit(), (1, 2))

    async def test_connection_limit(self) -> None:
        """Guards against an exceeded limit, and against a locked-out admin."""
        sessions = [await self.connect(0) for _ in range(4)]
        with self.assertRaises(pymysql.err.OperationalError) as refused:
            await self.connect(0)
        self.assertEqual(refused.exception.args[0], 1040)
        rows = await self.admins[0].run('SHOW PROCESSLIST')
        self.assertEqual([row[1] for row in rows], ['admin'] + ['app'] * 4)
        await self.admins[0].run(f'KILL {rows[1][0]}')
        self.assertEqual(await sessions[0].error('SELECT 1'), 2013)
        await self.connect(0)

    async def test_wrong_password_runs_no_command(self) -> None:
        """Guards against commands that are accepted after a failed login."""
        with self.assertRaises(pymysql.err.OperationalError) as refused:
            await aiomysql.connect(
                host='127.0.0.1',
                port=self.ports[0],
                user='app',
                password='wrong',
            )
        self.assertEqual(refused.exception.args[0], 1045)
        self.assertEqual(len(self.servers[0].registry), 1)


class GroupTest(GroupTestCase):
    """Procedures that control hosts call during failover."""

    async def test_wait_wakes_and_sees_the_entry(self) -> None:
        """Guards against a position that is reported before it is readable."""
        await self.elect(1, 0, 1, 2)
        replica = await self.connect(1)
        waiting = asyncio.create_task(
            replica.run(f'CALL group_wait(1, 2, {WAIT_LIMIT_MS})')
        )
        writer = await self.connect(0)
        await writer.run(TABLE)
        await writer.run("INSERT INTO rounds (name) VALUES ('a')")
        self.assertEqual(await waiting, ((1, 1, 1, 2),))
        self.assertEqual(
            await replica.run('SELECT * FROM rounds'),
            await writer.run('SELECT * FROM rounds'),
        )

    async def test_fence_ends_waits_and_transactions(self) -> None:
        """Guards against a commit that a fenced primary acknowledges."""
        await self.elect(1, 0, 1)
        writer, replica = await self.connect(0), await self.connect(1)
        await writer.run(TABLE)
        await writer.run('BEGIN')
        await writer.run("INSERT INTO rounds (name) VALUES ('a')")
        waiting = asyncio.create_task(
            replica.run(f'CALL group_wait(1, 9, {WAIT_LIMIT_MS})')
        )
        for index in (0, 1):
            await self.admins[index].run('CALL group_fence(2)')
        self.assertEqual((await waiting)[0][:2], (0, 2))
        self.assertEqual(await writer.error('COMMIT'), 1290)
        self.assertEqual(await writer.run('SELECT * FROM rounds'), ())
        self.assertEqual(
            await self.admins[0].error('CALL group_fence(2)'), 1644
        )

    async def test_truncates_the_unconfirmed_tail(self) -> None:
        """Guards against an old primary that keeps unreplicated entries."""
        await self.elect(1, 0, 1, 2)
        old = await self.connect(0)
        await old.run(TABLE)
        for index in (1, 2):
            await self.admins[index].run(
                f'CALL group_wait(1, 1, {WAIT_LIMIT_MS})'
            )
            await self.admins[index].run('CALL group_fence(2)')
        await old.run("INSERT INTO rounds (name) VALUES ('lost')")
        await self.admins[1].run('CALL group_promote(2)')
        self.assertEqual(await self.follow(2, 2, 1), 0)
        new = await self.connect(1)
        await new.run("INSERT INTO rounds (name) VALUES ('kept')")
        self.assertEqual(await new.last_commit(), (2, 2))
        self.assertEqual(await self.follow(0, 2, 1), 1)
        self.assertEqual(
            (await old.run(f'CALL group_wait(2, 2, {WAIT_LIMIT_MS})'))[0][0], 1
        )
        names = await old.run('SELECT name FROM rounds')
        self.assertEqual(names, (('kept',),))

    async def test_one_primary_in_a_term(self) -> None:
        """Guards against a promotion without an open promise."""
        promote = 'CALL group_promote(1)'
        self.assertEqual(await self.admins[0].error(promote), 1644)
        await self.elect(1, 0, 1)
        self.assertEqual(await self.admins[1].error(promote), 1644)
        await self.servers[1].stop()
        self.servers[1] = await self.start_member(1)
        admin = await self.connect(1, 'admin')
        status = await admin.run('CALL group_status()')
        self.assertEqual(status[0][2:6], (1, 0, 0, 'fenced'))
        self.assertEqual(await admin.error(promote), 1644)

    async def test_lost_answer_leaves_the_write(self) -> None:
        """Guards against a fault that loses the write, not just its answer."""
        await self.elect(1, 0)
        session = await self.connect(0)
        await session.run(TABLE)
        await self.admins[0].run(
            "CALL standin_fault('lose_commit_answer', 'close')"
        )
        insert = "INSERT INTO rounds (name) VALUES ('a')"
        self.assertEqual(await session.error(insert), 2013)
        other = await self.connect(0)
        self.assertEqual(await other.run('SELECT name FROM rounds'), (('a',),))


class FaultTest(GroupTestCase):
    """Injected faults that other tests rely on."""

    async def set_fault(self, name: str, value: object) -> None:
        await self.admins[0].run('CALL standin_fault(%s, %s)', name, value)

    async def test_silent_connection_stays_open(self) -> None:
        """Guards against a silent connection that the client sees closed."""
        old = await self.connect(0)
        await self.set_fault('silence_connections', '')
        silent = asyncio.create_task(old.error('SELECT 1'))
        new = await self.connect(0)
        self.assertEqual(await new.run('SELECT 1'), ((1,),))
        rows = await self.admins[0].run('SHOW PROCESSLIST')
        self.assertFalse(silent.done())
        await self.admins[0].run(f'KILL {rows[1][0]}')
        self.assertEqual(await silent, 2013)

    async def test_cut_off_from_the_group_only(self) -> None:
        """Guards against entries that pass a replication partition."""
        await self.elect(1, 0, 1)
        await self.set_fault('cut_replication', 1)
        writer = await self.connect(0)
        await writer.run(TABLE)
        replica = await self.connect(1)
        follow = f"CALL group_follow(1, '127.0.0.1', {self.ports[0]})"
        self.assertEqual(await self.admins[1].error(follow), 1644)
        self.assertEqual(await replica.error('SELECT * FROM rounds'), 1146)
        await self.set_fault('clear', '')
        held = await replica.run(f'CALL group_wait(1, 1, {WAIT_LIMIT_MS})')
        self.assertEqual(held[0][0], 1)

    async def test_cut_off_from_callers_only(self) -> None:
        """Guards against a partition that locks the administrator out."""
        await self.set_fault('refuse', 'callers')
        with self.assertRaises(pymysql.err.OperationalError):
            await self.connect(0)
        status = await self.admins[0].run('CALL group_status()')
        self.assertEqual(status[0][-1], 1)
        await self.set_fault('refuse', '')
        await self.connect(0)


class CrashTest(unittest.TestCase):
    """A member in a separate process that is killed."""

    def test_crash_loses_nothing_synced(self) -> None:
        """Guards against acknowledged writes that a crash loses."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        port = free_port()
        first = self._start(port, directory.name)
        admin = self._connect(port, 'admin')
        self._run(admin, 'CALL group_fence(1)')
        self._run(admin, 'CALL group_promote(1)')
        session = self._connect(port, 'app')
        self._run(session, TABLE)
        for number in range(20):
            self._run(session, 'INSERT INTO rounds (name) VALUES (%s)', number)
        self._run(session, 'BEGIN')
        self._run(session, "INSERT INTO rounds (name) VALUES ('open')")
        first.kill()
        first.wait()
        with (Path(directory.name) / 'log.bin').open('ab') as log:
            log.write(b'written, but not synced')
        self._start(port, directory.name)
        admin = self._connect(port, 'admin')
        status = self._run(admin, 'CALL group_status()')
        self.assertEqual(status[0][2:6], (1, 1, 21, 'fenced'))
        rows = self._run(admin, 'SELECT COUNT(*) FROM rounds')
        self.assertEqual(rows, ((20,),))

    def _start(self, port: int, directory: str) -> subprocess.Popen[bytes]:
        identity = '--upstream-id a --region r --failure-domain f --group'
        command = [sys.executable, '-m', 'standin.member', *identity.split()]
        command += [
            SCHEMA,
            '--listen',
            f'127.0.0.1:{port}',
            '--data',
            directory,
        ]
        process = subprocess.Popen(command)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def _connect(self, port: int, user: str) -> Any:
        for _ in range(100_000):
            try:
                connection = pymysql.connect(
                    host='127.0.0.1',
                    port=port,
                    user=user,
                    password='secret',
                    database=SCHEMA,
                    autocommit=True,
                )
            except pymysql.err.OperationalError as error:
                self.assertEqual(error.args[0], 2003)
                continue
            self.addCleanup(connection.close)
            return connection
        self.fail('the member does not listen')

    def _run(self, connection: Any, sql: str, *parameters: Any) -> Any:
        with connection.cursor() as cursor:
            cursor.execute(sql, parameters or None)
            return cursor.fetchall()
