"""The SQLite file that stores a member's data."""

import datetime
import random
import re
import sqlite3
import uuid
from collections.abc import Iterable
from pathlib import Path

from standin.errors import MemberError
from standin.log import Entry, ReplicationLog, Statement
from standin.tables import column_of_length_check

_MICROSECONDS_PER_S = 1_000_000
_APPLIED_TABLE = (
    'CREATE TABLE IF NOT EXISTS standin_applied '
    '(id INTEGER PRIMARY KEY CHECK (id = 1), term INTEGER, position INTEGER)'
)


class DataConnection:
    """A SQLite connection that provides functions of MySQL.

    Parameters
    ----------
    path
        Path of the SQLite file.
    """

    def __init__(self, *, path: Path) -> None:
        self.path = path
        self._statement = Statement(sql='', now_us=0, seed=0)
        self._random = random.Random(0)
        # Only the event loop's thread uses the connection. The isolation
        # level None disables the implicit transactions of sqlite3.
        self._sqlite = sqlite3.connect(path, isolation_level=None)
        self._sqlite.execute('PRAGMA journal_mode = WAL')
        # Durability comes from the replication log; see `Database`.
        self._sqlite.execute('PRAGMA synchronous = OFF')
        self._add_functions()

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._sqlite.in_transaction

    @property
    def changes(self) -> int:
        """Number of rows changed since the connection was opened."""
        return self._sqlite.total_changes

    def run(self, statement: Statement) -> sqlite3.Cursor:
        """Execute a statement.

        Raises
        ------
        MemberError
            With the number that MySQL reports for the failure.
        """
        self._statement = statement
        self._random = random.Random(statement.seed)
        try:
            return self._sqlite.execute(statement.sql)
        except (sqlite3.Error, sqlite3.Warning) as error:
            raise mysql_error(error) from error

    def execute_control(self, sql: str) -> None:
        """Execute a statement that begins, ends or undoes a transaction."""
        self._sqlite.execute(sql)

    def commit_entry(self, term: int, position: int) -> None:
        """Record the applied entry and commit the open transaction."""
        self._sqlite.execute(
            'INSERT OR REPLACE INTO standin_applied VALUES (1, ?, ?)',
            (term, position),
        )
        self._sqlite.execute('COMMIT')

    def roll_back(self) -> None:
        """Roll back the open transaction, if there is one."""
        if self._sqlite.in_transaction:
            self._sqlite.execute('ROLLBACK')

    def has_auto_increment(self, table: str) -> bool:
        """Return whether a table has an ``AUTO_INCREMENT`` column."""
        row = self._sqlite.execute(
            'SELECT 1 FROM sqlite_master WHERE name = ? COLLATE NOCASE '
            "AND sql LIKE '%AUTOINCREMENT%'",
            (table,),
        ).fetchone()
        return row is not None

    def last_applied(self) -> tuple[int, int]:
        """Return term and position of the last applied entry."""
        self._sqlite.execute(_APPLIED_TABLE)
        row = self._sqlite.execute(
            'SELECT term, position FROM standin_applied'
        ).fetchone()
        return row or (0, 0)

    def close(self) -> None:
        """Close the connection, which rolls an open transaction back."""
        self._sqlite.close()

    def _add_functions(self) -> None:
        create = self._sqlite.create_function
        create('mysql_now', -1, lambda *_: self._now())
        create('mysql_unix_timestamp', 0, lambda: self._unix_timestamp())
        create('mysql_rand', -1, lambda *_: self._random.random())
        create('mysql_uuid', 0, lambda: self._uuid())
        create('concat', -1, _concat)
        create('regexp', 2, _regexp)

    def _now(self) -> str:
        moment = datetime.datetime.fromtimestamp(
            self._statement.now_us / _MICROSECONDS_PER_S, datetime.UTC
        )
        return f'{moment:%Y-%m-%d %H:%M:%S}'

    def _unix_timestamp(self) -> int:
        return self._statement.now_us // _MICROSECONDS_PER_S

    def _uuid(self) -> str:
        return str(uuid.UUID(int=self._random.getrandbits(128), version=4))


class Database:
    """Opens connections, applies entries and rebuilds the data from the log.

    The SQLite file is written after the log is synced and is never synced
    itself. After a restart, it is kept if the log contains the entry that was
    applied last, and is rebuilt from the log otherwise.

    Parameters
    ----------
    directory
        Directory of the files.
    log
        The member's log.
    """

    def __init__(self, *, directory: Path, log: ReplicationLog) -> None:
        self._directory = directory
        self._log = log
        self._generation = self._find_generation()
        self._applier = self._open_or_rebuild()

    def connect(self) -> DataConnection:
        """Open a connection to the current file."""
        return DataConnection(path=self._path)

    def is_current(self, connection: DataConnection) -> bool:
        """Return whether a connection uses the current file."""
        return connection.path == self._path

    def apply(self, entries: Iterable[Entry]) -> None:
        """Apply entries of the log in one transaction."""
        last = None
        self._applier.execute_control('BEGIN IMMEDIATE')
        for entry in entries:
            for statement in entry.statements:
                self._applier.run(statement).fetchall()
            last = entry
        if last is None:
            self._applier.roll_back()
        else:
            self._applier.commit_entry(last.term, last.position)

    def rebuild(self) -> None:
        """Build a new file from the log and make it the current one.

        Connections to the old file stay open; see `is_current`.
        """
        old_path = self._path
        self._applier.close()
        self._generation += 1
        self._applier = self.connect()
        self._applier.last_applied()
        self.apply(self._log.after(0, self._log.last_position))
        _remove_files(old_path)

    def close(self) -> None:
        """Close the connection that applies entries."""
        self._applier.close()

    @property
    def _path(self) -> Path:
        return self._directory / f'data-{self._generation}.sqlite'

    def _find_generation(self) -> int:
        names = self._directory.glob('data-*.sqlite')
        generations = [int(path.stem.removeprefix('data-')) for path in names]
        return max(generations, default=1)

    def _open_or_rebuild(self) -> DataConnection:
        self._applier = self.connect()
        term, position = self._applier.last_applied()
        if self._log.term_at(position) == term:
            missing_count = self._log.last_position - position
            self.apply(self._log.after(position, missing_count))
        else:
            self.rebuild()
        return self._applier


def mysql_error(error: Exception) -> MemberError:
    """Translate an error of SQLite to the error that MySQL reports."""
    text = str(error)
    for pattern, code, message in _ERRORS:
        found = re.search(pattern, text)
        if found:
            if code == 3819 and column_of_length_check(text):
                column = column_of_length_check(text)
                return MemberError(
                    1406, f"Data too long for column '{column}' at row 1"
                )
            return MemberError(code, message.format(*found.groups()))
    return MemberError(1105, f'Unknown error: {text}')


_ERRORS = (
    (
        'UNIQUE constraint failed: (.*)',
        1062,
        "Duplicate entry for key '{0}'",
    ),
    ('NOT NULL constraint failed: (.*)', 1048, "Column '{0}' cannot be null"),
    (
        'CHECK constraint failed: (.*)',
        3819,
        "Check constraint '{0}' is violated.",
    ),
    ('no such table: (.*)', 1146, "Table '{0}' doesn't exist"),
    ('table (.*) already exists', 1050, "Table '{0}' already exists"),
    ('no such column: (.*)', 1054, "Unknown column '{0}' in 'field list'"),
    (
        'has no column named (.*)',
        1054,
        "Unknown column '{0}' in 'field list'",
    ),
    ('no such function: (.*)', 1305, 'FUNCTION {0} does not exist'),
    ('duplicate column name: (.*)', 1060, "Duplicate column name '{0}'"),
    (
        'near "(.*)": syntax error',
        1064,
        "You have an error in your SQL syntax near '{0}'",
    ),
    (
        '(incomplete input|unrecognized token.*|only execute one statement.*)',
        1064,
        'You have an error in your SQL syntax: {0}',
    ),
    (
        '(.* values for .* columns|.* columns but .* values.*)',
        1136,
        "Column count doesn't match value count: {0}",
    ),
    ('(database is locked)', 1205, 'Lock wait timeout exceeded: {0}'),
)


def _concat(*values: object) -> str | None:
    if any(value is None for value in values):
        return None
    return ''.join(map(str, values))


def _regexp(pattern: str, value: str | None) -> bool | None:
    if value is None:
        return None
    return re.search(pattern, str(value), re.IGNORECASE) is not None


def _remove_files(path: Path) -> None:
    for suffix in ('', '-wal', '-shm'):
        path.with_name(path.name + suffix).unlink(missing_ok=True)
