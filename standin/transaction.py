"""The transaction of one connection."""

import sqlite3
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from lavendergate.core.types import LOG_START, LogPosition
from standin.database import DataConnection
from standin.errors import MemberError
from standin.log import Statement
from standin.services import MemberServices
from standin.tokens import identifier

if TYPE_CHECKING:
    from standin.connection import MemberConnection

_LOCK_TIMEOUT_S = 10.0


class Transaction:
    """Transaction state of one connection.

    Reads see the last committed data. The first write of a transaction
    acquires the writer lock of the member, which is released at the end of
    the transaction.

    Parameters
    ----------
    services
        State that the sessions of a member share.
    """

    def __init__(self, *, services: MemberServices) -> None:
        self.is_autocommit = True
        self.last_commit: LogPosition = LOG_START
        self.connection: MemberConnection | None = None
        self._services = services
        self._member = services.member
        self._data_connection: DataConnection | None = None
        self._is_explicit = False
        self._is_read_only = False
        self._holds_lock = False
        self._is_aborted = False
        self._epoch = 0
        self._statements: list[Statement] = []
        self._savepoints: dict[str, int] = {}

    @property
    def is_open(self) -> bool:
        """Whether a transaction was begun or has uncommitted changes."""
        return self._is_explicit or self._holds_lock

    @property
    def is_multi_statement(self) -> bool:
        """Whether the transaction stays open after its first statement."""
        return self._is_explicit or not self.is_autocommit

    def pop_aborted(self) -> bool:
        """Return whether a fence aborted the transaction.

        The call resets the flag, so that the error is reported once.
        """
        was_aborted, self._is_aborted = self._is_aborted, False
        return was_aborted

    def data_connection(self) -> DataConnection:
        """Return the connection to the current data file.

        It is opened if necessary, also after the file was rebuilt.
        """
        if not self._holds_lock:
            self._close_outdated_data()
        if self._data_connection is None:
            self._data_connection = self._member.database.connect()
        return self._data_connection

    def begin(self, *, is_read_only: bool) -> None:
        """Begin a transaction that ends with ``COMMIT`` or ``ROLLBACK``."""
        self._is_explicit = True
        self._is_read_only = is_read_only

    async def begin_write(self) -> None:
        """Acquire the writer lock, unless the transaction holds it."""
        if self._is_read_only:
            raise MemberError(
                1792, 'Cannot execute statement in a READ ONLY transaction.'
            )
        if self._holds_lock:
            self._member.check_writable(self._epoch)
            return
        self._member.check_writable()
        await self._member.writer.acquire(self._abort, _LOCK_TIMEOUT_S)
        # The data may have been rebuilt since this connection last used it.
        self._close_outdated_data()
        self._holds_lock = True
        try:
            self._member.check_writable()
        except MemberError:
            self._reset()
            raise
        self._epoch = self._member.epoch
        self.data_connection().execute_control('BEGIN IMMEDIATE')

    @asynccontextmanager
    async def write(self) -> AsyncIterator['Transaction']:
        """Run the body as a change; commit it at the end in autocommit mode."""
        await self.begin_write()
        try:
            async with self._services.slot():
                self._member.check_writable(self._epoch)
                yield self
                if not self.is_multi_statement:
                    await self.commit()
        except BaseException:
            if not self.is_multi_statement:
                self.roll_back()
            raise

    def run(self, statement: Statement) -> sqlite3.Cursor:
        """Execute a change of data and record it if it changed a row."""
        changes = self.data_connection().changes
        cursor = self.data_connection().run(statement)
        if self.data_connection().changes != changes:
            self._statements.append(statement)
        return cursor

    def run_definition(self, statement: Statement) -> None:
        """Execute and record a change of the schema."""
        self.data_connection().run(statement)
        self._statements.append(statement)

    def has_auto_increment(self, table: str) -> bool:
        """Return whether a table has an ``AUTO_INCREMENT`` column."""
        return self.data_connection().has_auto_increment(table)

    async def commit(self) -> None:
        """Commit; returns once the entry is synced to the log."""
        if not self._statements:
            self.roll_back()
            return
        try:
            self.last_commit = self._member.commit(
                self.data_connection(), self._statements, self._epoch
            )
        except MemberError:
            self.roll_back()
            raise
        self._reset()
        self._apply_lost_commit_fault()

    def roll_back(self) -> None:
        """Roll back, if a transaction is open."""
        if self._holds_lock:
            self.data_connection().roll_back()
        self._reset()

    async def savepoint(self, name: str) -> None:
        """Set a savepoint in an open transaction."""
        if not self.is_multi_statement:
            return
        await self.begin_write()
        self.data_connection().execute_control(f'SAVEPOINT {identifier(name)}')
        self._savepoints[name] = len(self._statements)

    def roll_back_to(self, name: str) -> None:
        """Undo the changes since a savepoint."""
        if not self._holds_lock or name not in self._savepoints:
            raise MemberError(1305, f'SAVEPOINT {name} does not exist')
        self.data_connection().execute_control(
            f'ROLLBACK TO {identifier(name)}'
        )
        del self._statements[self._savepoints[name] :]

    def close(self) -> None:
        """Roll back and close the connection to the data."""
        self.roll_back()
        if self._data_connection is not None:
            self._data_connection.close()
            self._data_connection = None

    def _close_outdated_data(self) -> None:
        if self._data_connection is None:
            return
        if not self._member.database.is_current(self._data_connection):
            self._data_connection.close()
            self._data_connection = None

    def _abort(self) -> None:
        self._is_aborted = self.is_multi_statement
        self.roll_back()

    def _reset(self) -> None:
        self._is_explicit = False
        self._is_read_only = False
        self._statements.clear()
        self._savepoints.clear()
        if self._holds_lock:
            self._holds_lock = False
            self._member.writer.release()

    def _apply_lost_commit_fault(self) -> None:
        faults = self._services.faults
        if self.connection is None or not faults.lost_commit_mode:
            return
        mode, faults.lost_commit_mode = faults.lost_commit_mode, ''
        if mode == 'silent':
            self.connection.stop_answering()
        else:
            self.connection.abort()
