"""Callers of the demo: crew tablets, planners and billing."""

import asyncio
import itertools
import random
import threading
import time
from dataclasses import dataclass

import aiomysql
import pymysql

from demo.history import History, Outcome, Write
from demo.processes import CALLER_PASSWORD, SCHEMAS

_NOT_RUN_TEXT = 'not run'
_STATEMENT_LIMIT_S = 6.0
_CONNECT_LIMIT_S = 3.0
_BILLING_ATTEMPTS = 20
_PAUSE_AFTER_ERROR_S = 0.05
_PLANNER_PAUSE_S = 0.01
_CREW_PAUSE_S = 0.02
_STALE_BOUND_MS = 2000
_TRANSACTION_SHARE = 0.2

_FAILURES = (pymysql.err.MySQLError, OSError, TimeoutError, RuntimeError)


@dataclass(frozen=True, kw_only=True, slots=True)
class Workload:
    """Proxies, history and end time that all callers share."""

    proxy_ports: tuple[int, ...]
    history: History
    ends_at: float

    @property
    def is_running(self) -> bool:
        """Whether the end of the workload has not been reached."""
        return time.monotonic() < self.ends_at


class Caller:
    """Connections of one caller, one for each proxy and group."""

    def __init__(self, *, user: str, workload: Workload, seed: int) -> None:
        self.random = random.Random(seed)
        self.workload = workload
        self.history = workload.history
        self._user = user
        self._connections: dict[tuple[int, str], aiomysql.Connection] = {}

    def any_port(self, other_than: int | None = None) -> int:
        """Return the port of a random proxy."""
        ports = [
            port for port in self.workload.proxy_ports if port != other_than
        ]
        return self.random.choice(ports)

    async def run(self, port: int, group: str, *statements: str) -> list[tuple]:
        """Execute statements on one connection; return the last one's rows.

        A connection with a failed statement is closed.
        """
        key = (port, group)
        async with asyncio.timeout(_STATEMENT_LIMIT_S):
            if key not in self._connections:
                self._connections[key] = await self._connect(port, group)
            connection = self._connections[key]
            try:
                return await self._execute(connection, statements)
            except BaseException:
                connection.close()
                self._connections.pop(key, None)
                raise

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()

    async def _connect(self, port: int, group: str) -> aiomysql.Connection:
        return await aiomysql.connect(
            host='127.0.0.1',
            port=port,
            user=self._user,
            password=CALLER_PASSWORD,
            db=group,
            autocommit=True,
            connect_timeout=_CONNECT_LIMIT_S,
        )

    async def _execute(
        self, connection: aiomysql.Connection, statements: tuple[str, ...]
    ) -> list[tuple]:
        rows: list[tuple] = []
        async with connection.cursor() as cursor:
            for statement in statements:
                await cursor.execute(statement)
                rows = list(await cursor.fetchall())
        return rows


class Tablet(Caller):
    """Writes rows and reads each one back through another proxy."""

    async def work(self, name: str) -> None:
        """Write and read until the workload ends."""
        try:
            for number in itertools.count():
                if not self.workload.is_running:
                    break
                group = self.random.choice(SCHEMAS)
                write_id = f'{name}-{number}'
                port = self.any_port()
                if await self._write(port, group, write_id):
                    await self._read_back(port, group, write_id)
                await asyncio.sleep(_CREW_PAUSE_S)
        finally:
            self.close()

    async def _write(self, port: int, group: str, write_id: str) -> bool:
        panes = self.random.randint(1, 40)
        insert = (
            f"INSERT INTO rounds (write_id, panes) VALUES ('{write_id}', "
            f'{panes})'
        )
        statements = [insert]
        if self.random.random() < _TRANSACTION_SHARE:
            sign_off = (
                'INSERT INTO sign_offs (write_id, school) VALUES ('
                f"'{write_id}', 'Grundschule Fürth')"
            )
            statements = ['BEGIN', insert, sign_off, 'COMMIT']
        try:
            await self.run(port, group, *statements)
        except _FAILURES as error:
            self._record(group, write_id, _outcome(error))
            self.history.failed_writes[_text(error)] += 1
            await asyncio.sleep(_PAUSE_AFTER_ERROR_S)
            return False
        self._record(group, write_id, Outcome.acknowledged)
        return True

    async def _read_back(self, port: int, group: str, write_id: str) -> None:
        try:
            rows = await self.run(port, group, 'SELECT @@lavendergate_token')
            read = (
                f'/* lavendergate token={rows[0][0]} */ SELECT COUNT(*) '
                f"FROM rounds WHERE write_id = '{write_id}'"
            )
            seen = await self.run(self.any_port(port), group, read)
        except _FAILURES as error:
            self.history.failed_reads[_text(error)] += 1
            return
        self.history.session_reads += 1
        if seen[0][0] < 1:
            self.history.stale_reads += 1

    def _record(self, group: str, write_id: str, outcome: Outcome) -> None:
        self.history.writes.append(
            Write(
                group=group,
                write_id=write_id,
                outcome=outcome,
                ended_at=time.monotonic(),
            )
        )


class Billing(Caller):
    """Writes each invoice at most once, with resends after errors."""

    async def work(self, name: str) -> None:
        """Write invoices until the workload ends."""
        try:
            for number in itertools.count():
                if not self.workload.is_running:
                    break
                group = self.random.choice(SCHEMAS)
                await self._write_invoice(group, f'{name}-{number}')
                await asyncio.sleep(_CREW_PAUSE_S)
        finally:
            self.close()

    async def _write_invoice(self, group: str, write_id: str) -> None:
        statement = (
            f'/* lavendergate request_id={write_id} idempotent=0 */ '
            f"INSERT INTO rounds (write_id, panes) VALUES ('{write_id}', 0)"
        )
        outcome = Outcome.unknown
        for _ in range(_BILLING_ATTEMPTS):
            try:
                await self.run(self.any_port(), group, statement)
            except _FAILURES as error:
                self.history.failed_writes[_text(error)] += 1
                await asyncio.sleep(_PAUSE_AFTER_ERROR_S)
                continue
            outcome = Outcome.acknowledged
            break
        self.history.writes.append(
            Write(
                group=group,
                write_id=write_id,
                outcome=outcome,
                ended_at=time.monotonic(),
            )
        )


class Planner(threading.Thread):
    """Reads with bounded staleness through PyMySQL."""

    def __init__(self, *, workload: Workload, seed: int) -> None:
        super().__init__(daemon=True)
        self._workload = workload
        self._random = random.Random(seed)

    def run(self) -> None:
        """Read until the workload ends."""
        while self._workload.is_running:
            try:
                self._read_batch()
            except _FAILURES as error:
                self._workload.history.failed_reads[_text(error)] += 1
                time.sleep(_PAUSE_AFTER_ERROR_S)

    def _read_batch(self) -> None:
        connection = pymysql.connect(
            host='127.0.0.1',
            port=self._random.choice(self._workload.proxy_ports),
            user='planner',
            password=CALLER_PASSWORD,
            database=self._random.choice(SCHEMAS),
            autocommit=True,
            connect_timeout=_CONNECT_LIMIT_S,
            read_timeout=_STATEMENT_LIMIT_S,
        )
        with connection, connection.cursor() as cursor:
            for _ in range(50):
                if not self._workload.is_running:
                    break
                cursor.execute(
                    f'/* lavendergate max_age_ms={_STALE_BOUND_MS} */ '
                    'SELECT COUNT(*), SUM(panes) FROM rounds'
                )
                cursor.fetchall()
                self._workload.history.planner_reads += 1
                time.sleep(_PLANNER_PAUSE_S)


def _outcome(error: BaseException) -> Outcome:
    is_refusal = _text(error).startswith(_NOT_RUN_TEXT)
    return Outcome.not_run if is_refusal else Outcome.unknown


def _text(error: BaseException) -> str:
    text = str(error.args[-1]) if error.args else type(error).__name__
    return text[:70]
