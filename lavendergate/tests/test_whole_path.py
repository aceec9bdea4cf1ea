"""End-to-end tests with ordinary drivers: proxies, control hosts, members.

The processes are started once for all tests of this module.
"""

import shutil
import signal
import tempfile
import time
import unittest
import uuid
from contextlib import closing
from pathlib import Path
from typing import Any

import mysql.connector
import pymysql
from pymysql.constants import CLIENT

from demo.processes import CALLER_PASSWORD, Fleet, make_fleet

GROUP = 'glasdaten-1'
START_TIMEOUT_S = 30.0
MISMATCH = 9008

_FLEETS: list[Fleet] = []


def setUpModule() -> None:
    """Start three hosts and nine members."""
    fleet = make_fleet(Path(tempfile.mkdtemp()))
    _FLEETS.append(fleet)
    fleet.start()
    _retry(lambda: _initialize(fleet))
    for index in range(len(fleet.daemons)):
        _retry(lambda index=index: _create_table(index))


def tearDownModule() -> None:
    """Stop all processes."""
    fleet = _FLEETS.pop()
    fleet.stop()
    shutil.rmtree(fleet.directory)


def _initialize(fleet: Fleet) -> None:
    problem = fleet.initialize_control()
    if problem is not None and 'initialised' not in problem:
        raise OSError(problem)


def _create_table(index: int) -> None:
    with closing(connect(index)) as connection:
        connection.cursor().execute(
            'CREATE TABLE IF NOT EXISTS panes (id BIGINT PRIMARY KEY '
            'AUTO_INCREMENT, label VARCHAR(100), content BLOB, cost DOUBLE)'
        )


def _retry(attempt: Any) -> None:
    """Retry until the processes have started, at most `START_TIMEOUT_S`."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            return attempt()
        except (pymysql.err.MySQLError, OSError):
            if time.monotonic() > deadline:
                raise
            time.sleep(0.1)


def connect(
    index: int, caller: str = 'tablet', *, autocommit: bool = True
) -> Any:
    """Connect to one proxy with PyMySQL."""
    return pymysql.connect(
        host='127.0.0.1',
        port=_FLEETS[0].daemons[index].port,
        user=caller,
        password=CALLER_PASSWORD,
        database=GROUP,
        autocommit=autocommit,
        client_flag=CLIENT.FOUND_ROWS,
    )


def run(connection: Any, sql: str, parameters: Any = None) -> Any:
    """Run a statement and return its rows."""
    with connection.cursor() as cursor:
        cursor.execute(sql, parameters)
        return cursor.fetchall()


def insert(connection: Any, label: str) -> int:
    """Insert a row and return its id."""
    with connection.cursor() as cursor:
        cursor.execute('INSERT INTO panes (label) VALUES (%s)', (label,))
        return int(cursor.lastrowid)


def unique_label() -> str:
    """Return a label that no other test uses."""
    return uuid.uuid4().hex


class SessionTest(unittest.TestCase):
    """Read-your-writes over proxies."""

    def test_read_on_other_proxy_without_token(self) -> None:
        """Guards against a stale read after the caller changes proxies."""
        with closing(connect(0)) as first, closing(connect(1)) as second:
            for _ in range(20):
                label = unique_label()
                insert(first, label)
                rows = run(
                    second, 'SELECT label FROM panes WHERE label = %s', (label,)
                )
                self.assertEqual(rows, ((label,),))

    def test_read_on_other_proxy_with_token(self) -> None:
        """Guards against a token that another proxy ignores."""
        with closing(connect(1)) as first, closing(connect(0)) as second:
            for _ in range(20):
                label = unique_label()
                insert(first, label)
                ((token,),) = run(first, 'SELECT @@lavendergate_token')
                rows = run(
                    second,
                    f'/* lavendergate token={token} */ SELECT label FROM '
                    'panes WHERE label = %s',
                    (label,),
                )
                self.assertEqual(rows, ((label,),))

    def test_forged_token_is_refused(self) -> None:
        """Guards against accepting tokens with an invalid signature."""
        with closing(connect(0)) as connection:
            with self.assertRaises(pymysql.err.MySQLError) as caught:
                run(
                    connection,
                    '/* lavendergate token=v1.default.kZA.AAAA */ SELECT 2',
                )
            self.assertEqual(caught.exception.args[0], 9011)


class AtMostOnceTest(unittest.TestCase):
    """Requests that are marked as non-idempotent."""

    def test_repeat_on_other_proxy_runs_once(self) -> None:
        """Guards against running a request twice after its answer was lost."""
        request_id, label = unique_label(), unique_label()
        sql = (
            f'/* lavendergate request_id={request_id} idempotent=0 */ '
            f"INSERT INTO panes (label) VALUES ('{label}')"
        )
        for index in (0, 1, 0):
            with closing(connect(index)) as connection:
                with connection.cursor() as cursor:
                    self.assertEqual(cursor.execute(sql), 1)
        with closing(connect(0)) as connection:
            rows = run(
                connection, 'SELECT id FROM panes WHERE label = %s', (label,)
            )
            self.assertEqual(len(rows), 1)
            outcome = run(
                connection,
                f'/* lavendergate request_id={request_id} */ '
                'SELECT @@lavendergate_outcome',
            )
            self.assertEqual(outcome, (('done',),))

    def test_other_statement_under_same_id_is_refused(self) -> None:
        """Guards against answering a request with another one's outcome."""
        hint = f'/* lavendergate request_id={unique_label()} idempotent=0 */ '
        with closing(connect(0)) as connection:
            run(connection, hint + "INSERT INTO panes (label) VALUES ('a')")
            with self.assertRaises(pymysql.err.MySQLError) as caught:
                run(connection, hint + "INSERT INTO panes (label) VALUES ('b')")
            self.assertEqual(caught.exception.args[0], MISMATCH)


class TransactionTest(unittest.TestCase):
    """Transactions on one connection."""

    def test_rollback_and_disconnect_leave_nothing(self) -> None:
        """Guards against a partly applied transaction after a disconnect."""
        label = unique_label()
        with closing(connect(0, autocommit=False)) as connection:
            insert(connection, label)
            connection.rollback()
            insert(connection, label)
        with closing(connect(1)) as connection:
            rows = run(
                connection, 'SELECT id FROM panes WHERE label = %s', (label,)
            )
        self.assertEqual(rows, ())

    def test_transactions_do_not_mix(self) -> None:
        """Guards against two transactions on one upstream connection."""
        label = unique_label()
        with (
            closing(connect(0, autocommit=False)) as writer,
            closing(connect(0)) as reader,
        ):
            insert(writer, label)
            sql = 'SELECT id FROM panes WHERE label = %s'
            self.assertEqual(run(reader, sql, (label,)), ())
            self.assertEqual(len(run(writer, sql, (label,))), 1)
            writer.commit()
            self.assertEqual(len(run(reader, sql, (label,))), 1)


class DriverTest(unittest.TestCase):
    """Values and errors as ordinary drivers see them."""

    def test_values_survive_text_protocol(self) -> None:
        """Guards against values that the proxy changes."""
        content = bytes(range(256))
        with closing(connect(0)) as connection:
            with connection.cursor() as cursor:
                cursor.execute(
                    'INSERT INTO panes (label, content, cost) '
                    'VALUES (%s, %s, %s)',
                    ('Fenster ü 😀', content, 2.5),
                )
                row_id = cursor.lastrowid
            rows = run(
                connection,
                'SELECT label, content, cost, NULL FROM panes WHERE id = %s',
                (row_id,),
            )
        self.assertEqual(rows[0][0], 'Fenster ü 😀')
        self.assertEqual(bytes(rows[0][1]), content)
        self.assertEqual(float(rows[0][2]), 2.5)
        self.assertIsNone(rows[0][3])

    def test_upstream_error_keeps_its_code_and_state(self) -> None:
        """Guards against errors that drivers do not recognise."""
        with closing(connect(0)) as connection:
            with self.assertRaises(pymysql.err.ProgrammingError) as caught:
                run(connection, 'SELECT id FROM missing_table')
            self.assertEqual(caught.exception.args[0], 1146)
            row_id = insert(connection, 'x')
            with self.assertRaises(pymysql.err.IntegrityError) as doubled:
                run(
                    connection,
                    'INSERT INTO panes (id) VALUES (%s)',
                    (row_id,),
                )
            self.assertEqual(doubled.exception.args[0], 1062)

    def test_prepared_statements_of_mysql_connector(self) -> None:
        """Guards against rows that the binary protocol encodes wrongly."""
        connection = mysql.connector.connect(
            host='127.0.0.1',
            port=_FLEETS[0].daemons[1].port,
            user='billing',
            password=CALLER_PASSWORD,
            database=GROUP,
            autocommit=True,
            auth_plugin='mysql_native_password',
            use_pure=True,
            ssl_disabled=True,
        )
        label = unique_label()
        with closing(connection):
            cursor = connection.cursor(prepared=True)
            cursor.execute('INSERT INTO panes (label) VALUES (?)', (label,))
            row_id = cursor.lastrowid
            cursor.execute(
                'SELECT id, label FROM panes WHERE label = ?', (label,)
            )
            self.assertEqual(cursor.fetchall(), [(row_id, label)])

    def test_large_result_is_complete(self) -> None:
        """Guards against losing rows where a result starts to be streamed."""
        label = unique_label()
        count = 1234
        with closing(connect(0)) as connection:
            with connection.cursor() as cursor:
                cursor.executemany(
                    'INSERT INTO panes (label) VALUES (%s)', [(label,)] * count
                )
            rows = run(
                connection, 'SELECT id FROM panes WHERE label = %s', (label,)
            )
            again = run(connection, 'SELECT COUNT(*) FROM panes')
        self.assertEqual(len(set(rows)), count)
        self.assertGreaterEqual(int(again[0][0]), count)

    def test_wrong_password_ends_the_connection(self) -> None:
        """Guards against commands on a connection without a login."""
        with self.assertRaises(pymysql.err.OperationalError):
            pymysql.connect(
                host='127.0.0.1',
                port=_FLEETS[0].daemons[0].port,
                user='tablet',
                password='wrong',
            )


class DrainTest(unittest.TestCase):
    """Planned stop of the third proxy, which no other test uses."""

    def test_open_transaction_is_finished(self) -> None:
        """Guards against a planned stop that interrupts a transaction."""
        fleet = _FLEETS[0]
        daemon = fleet.daemons[2]
        label = unique_label()
        with closing(connect(2, autocommit=False)) as connection:
            insert(connection, label)
            fleet.processes[daemon.host_id].send_signal(signal.SIGTERM)
            time.sleep(0.5)
            insert(connection, label)
            connection.commit()
        code = fleet.processes[daemon.host_id].wait(START_TIMEOUT_S)
        self.assertEqual(code, 0)
        with closing(connect(0)) as connection:
            rows = run(
                connection, 'SELECT id FROM panes WHERE label = %s', (label,)
            )
        self.assertEqual(len(rows), 2)
