"""A writer that begins writes at a fixed rate, without awaiting the answers."""

import asyncio
import base64
import itertools
import time
from dataclasses import dataclass, field

import aiomysql
import msgspec
import pymysql

from demo.history import Outcome

INTERVAL_S = 0.025
_STATEMENT_LIMIT_S = 6.0
_CONNECT_LIMIT_S = 3.0
_MAX_IN_FLIGHT = 200
_NOT_RUN_TEXT = 'not run'
_FAILURES = (pymysql.err.MySQLError, OSError, TimeoutError, RuntimeError)


@dataclass(frozen=True, kw_only=True, slots=True)
class SteadyWrite:
    """A write, its outcome and the term that acknowledged it."""

    write_id: str
    outcome: Outcome
    begun_at: float
    ended_at: float
    term: int | None = None
    problem: str = ''


@dataclass(kw_only=True, slots=True)
class SteadyWriter:
    """Writes to one group through proxies in turn, or to a member directly.

    A refused connection is tried at the next proxy, as behind a load balancer.
    Writes run concurrently, so that one that waits does not delay the next.
    Only the times of the answers are evaluated.

    Parameters
    ----------
    ports
        Ports of the proxies, or of one member.
    has_tokens
        Whether the session token is read after each write.
    """

    ports: tuple[int, ...]
    user: str
    password: str
    group: str
    name: str
    has_tokens: bool = True
    writes: list[SteadyWrite] = field(default_factory=list)
    _idle: dict[int, list[aiomysql.Connection]] = field(default_factory=dict)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _loop: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that begins the writes."""
        self._loop = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Begin no more writes, wait for those in flight, close connections."""
        if self._loop is not None:
            self._loop.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in itertools.chain(*self._idle.values()):
            connection.close()

    def acknowledged(self) -> list[SteadyWrite]:
        """Return the acknowledged writes by time of the acknowledgement."""
        done = [
            one for one in self.writes if one.outcome is Outcome.acknowledged
        ]
        return sorted(done, key=lambda one: one.ended_at)

    def has_written_since(self, moment: float, term: int) -> bool:
        """Whether a write of a later term was acknowledged after the moment."""
        return any(
            one.term is not None and one.term > term and one.ended_at > moment
            for one in self.writes
        )

    async def _run(self) -> None:
        next_at = time.monotonic()
        for number in itertools.count():
            if len(self._tasks) < _MAX_IN_FLIGHT:
                task = asyncio.create_task(self._write(number))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            next_at += INTERVAL_S
            await asyncio.sleep(max(next_at - time.monotonic(), 0))

    async def _write(self, number: int) -> None:
        write_id = f'{self.name}-{number}'
        begun_at = time.monotonic()
        connection = None
        try:
            port, connection = await self._acquire_connection(number)
            insert = f"INSERT INTO rounds (write_id) VALUES ('{write_id}')"
            async with asyncio.timeout(_STATEMENT_LIMIT_S):
                await _query(connection, insert)
        except _FAILURES as error:
            if connection is not None:
                connection.close()
            is_refusal = connection is None or _is_refusal(error)
            outcome = Outcome.not_run if is_refusal else Outcome.unknown
            self._record(write_id, outcome, begun_at, problem=str(error))
            return
        ended_at = time.monotonic()
        term = await self._read_term(connection)
        self._record(
            write_id,
            Outcome.acknowledged,
            begun_at,
            ended_at=ended_at,
            term=term,
        )
        self._idle.setdefault(port, []).append(connection)

    async def _acquire_connection(
        self, number: int
    ) -> tuple[int, aiomysql.Connection]:
        for attempt in range(len(self.ports)):
            port = self.ports[(number + attempt) % len(self.ports)]
            waiting = self._idle.get(port, [])
            while waiting:
                connection = waiting.pop()
                if not _is_closed(connection):
                    return port, connection
                connection.close()
            try:
                return port, await self._connect(port)
            except _FAILURES:
                continue
        raise ConnectionError('no proxy accepts connections')

    async def _connect(self, port: int) -> aiomysql.Connection:
        async with asyncio.timeout(_CONNECT_LIMIT_S):
            return await aiomysql.connect(
                host='127.0.0.1',
                port=port,
                user=self.user,
                password=self.password,
                db=self.group,
                autocommit=True,
            )

    async def _read_term(self, connection: aiomysql.Connection) -> int | None:
        if not self.has_tokens:
            return None
        try:
            async with asyncio.timeout(_CONNECT_LIMIT_S):
                rows = await _query(connection, 'SELECT @@lavendergate_token')
        except _FAILURES:
            connection.close()
            return None
        return term_in_token(rows[0][0], self.group)

    def _record(
        self,
        write_id: str,
        outcome: Outcome,
        begun_at: float,
        *,
        ended_at: float | None = None,
        term: int | None = None,
        problem: str = '',
    ) -> None:
        self.writes.append(
            SteadyWrite(
                write_id=write_id,
                outcome=outcome,
                begun_at=begun_at,
                ended_at=ended_at or time.monotonic(),
                term=term,
                problem=problem,
            )
        )


def term_in_token(token: str, group: str) -> int | None:
    """Return a group's term in a token, whose signature is not checked."""
    payload = token.split('.')[2]
    padding = '=' * (-len(payload) % 4)
    positions = msgspec.msgpack.decode(
        base64.urlsafe_b64decode(payload + padding),
        type=list[tuple[str, int, int]],
    )
    return next((term for name, term, _ in positions if name == group), None)


async def _query(connection: aiomysql.Connection, sql: str) -> list[tuple]:
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return list(await cursor.fetchall())


def _is_closed(connection: aiomysql.Connection) -> bool:
    reader = connection._reader
    return connection.closed or reader is None or reader.at_eof()


def _is_refusal(error: BaseException) -> bool:
    text = str(error.args[-1]) if error.args else ''
    return text.startswith(_NOT_RUN_TEXT)
