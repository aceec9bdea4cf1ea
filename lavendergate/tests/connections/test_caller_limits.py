"""Tests of callers, silent peers and slow ones at the limits of a host."""

import asyncio
import unittest
import unittest.mock
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from functools import partial

import anyio
from anyio.abc import TaskGroup

from lavendergate.core.sessions.statements import (
    Completed,
    Phase,
    RefusalCode,
    SessionAnswer,
)
from lavendergate.frontend.caller_channel import CallerChannel, CallerRequest
from lavendergate.observability.exposition import HttpMetrics
from lavendergate.observability.log import MemoryEventLog
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.platform import callers, line_stream
from lavendergate.platform.callers import serve_callers
from lavendergate.platform.line_stream import make_long_lines
from lavendergate.rpc.http import HttpRequest, HttpResponse, serve_http
from lavendergate.supervision.connection_gate import ConnectionGate
from lavendergate.tests.socket_fixture import (
    free_address,
    make_boundary,
    run_scenario,
)

_LIMIT = 4
_SPARE = 2
_MIB = 1024 * 1024
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]
ServeCaller = Callable[[CallerChannel], Awaitable[None]]

_opened: list[asyncio.StreamWriter] = []


class _Gates:
    """A gate whose log and whose metrics are read by a test."""

    def __init__(self, close_idle: Callable[[], bool]) -> None:
        self.events = MemoryEventLog()
        self.metrics = HttpMetrics()
        self.gate = ConnectionGate(
            kind='callers',
            limit=lambda: _LIMIT,
            spare=lambda: _SPARE,
            clock=anyio.current_time,
            events=self.events,
            metrics=self.metrics,
            close_idle=close_idle,
        )


async def _echo(channel: CallerChannel) -> None:
    await channel.receive_start()
    await channel.accept()
    while isinstance(await channel.receive(), CallerRequest):
        await channel.answer(
            SessionAnswer(outcome=Completed(), phase=Phase.idle)
        )


async def _connect(address: str) -> Connection:
    reader, writer = await asyncio.open_connection(*address.split(':'))
    _opened.append(writer)
    return reader, writer


def _run(scenario: Callable[[TaskGroup], Awaitable[None]]) -> None:
    """Run a scenario and abort the connections that it opened."""

    async def run(tasks: TaskGroup) -> None:
        try:
            await scenario(tasks)
        finally:
            while _opened:
                _opened.pop().transport.abort()

    run_scenario(run)


async def _start(address: str) -> Connection:
    reader, writer = await _connect(address)
    writer.write(b'START db\r\n')
    return reader, writer


def play(
    scenario: Callable[[str, _Gates], Awaitable[None]],
    *,
    serve: ServeCaller = _echo,
    buffered_bytes: int = 64 * _MIB,
    close_idle: Callable[[], bool] = lambda: False,
) -> None:
    """Run a scenario on the address of a listener of callers."""

    async def run(tasks: TaskGroup) -> None:
        address = free_address()
        gates = _Gates(close_idle)
        await tasks.start(
            partial(
                serve_callers,
                address,
                serve,
                boundary=make_boundary(),
                gate=gates.gate,
                long_lines=make_long_lines(buffered_bytes),
            )
        )
        await scenario(address, gates)

    _run(run)


class CallerLimitTest(unittest.TestCase):
    """Callers of one host, in numbers around its limit."""

    def test_callers_above_the_limit_are_told_at_once(self) -> None:
        """Guards against callers that wait for a host that is full."""

        async def scenario(address: str, gates: _Gates) -> None:
            sessions = [await _start(address) for _ in range(_LIMIT)]
            for reader, _ in sessions:
                self.assertIn(b'READY I', await reader.readline())
            refused = [await _start(address) for _ in range(_LIMIT)]
            for reader, _ in refused:
                with anyio.fail_after(1):
                    self.assertIn(b'ERR CONNLIMIT', await reader.readline())
                    self.assertEqual(await reader.read(), b'')
            for _ in range(_LIMIT):
                reader, writer = sessions.pop()
                writer.close()
                await anyio.sleep(0.05)
                reader, writer = await _start(address)
                self.assertIn(b'READY I', await reader.readline())
            (fields,) = gates.events.fields_of(ProcessEvent.connections_refused)
            self.assertEqual(fields['limit'], _LIMIT)
            rendered = gates.metrics.render().decode()
            self.assertIn(
                f'refused_connections_total{{kind="callers"}} {_LIMIT}.0',
                rendered,
            )
            self.assertIn(f'_connections{{kind="callers"}} {_LIMIT}', rendered)

        play(scenario)

    def test_idle_session_gives_way(self) -> None:
        """Guards against a refusal while sessions are idle."""
        closed: list[bool] = []

        def close_idle() -> bool:
            closed.append(True)
            return True

        async def scenario(address: str, gates: _Gates) -> None:
            for _ in range(_LIMIT + 1):
                reader, _ = await _start(address)
                self.assertIn(b'READY I', await reader.readline())
            self.assertEqual(len(closed), 1)

        play(scenario, close_idle=close_idle)

    def test_silent_connections_keep_no_caller_out(self) -> None:
        """Guards against a host that is filled without a START line."""

        async def scenario(address: str, gates: _Gates) -> None:
            silent = [await _connect(address) for _ in range(_LIMIT)]
            await anyio.sleep(1.1)
            reader, _ = await _start(address)
            self.assertIn(b'READY I', await reader.readline())
            self.assertEqual(await silent[0][0].read(), b'')

        play(scenario)

    def test_storm_of_connections_keeps_most_idle_sessions(self) -> None:
        """Guards against a storm that ends the session of each caller."""
        closed = 0
        now = 0.0

        def close_idle() -> bool:
            nonlocal closed
            closed += 1
            return True

        gate = ConnectionGate(
            kind='callers',
            limit=lambda: 100,
            spare=lambda: _SPARE,
            clock=lambda: now,
            events=MemoryEventLog(),
            metrics=HttpMetrics(),
            close_idle=close_idle,
        )
        with ExitStack() as open_connections:
            for _ in range(100 + _SPARE):
                open_connections.enter_context(gate.enter())
            before = closed
            for number in range(1000):
                now = number / 1000
                with gate.enter() as connection:
                    self.assertTrue(connection.is_cut)
        self.assertLessEqual(closed - before, 10)
        self.assertGreater(closed, before)

    def test_silent_connections_above_the_spare_are_cut(self) -> None:
        """Guards against refused connections that use up the descriptors."""

        async def scenario(address: str, gates: _Gates) -> None:
            connections = [await _connect(address) for _ in range(_LIMIT * 10)]
            await anyio.sleep(0.2)
            self.assertLessEqual(gates.gate.open_count, _LIMIT + _SPARE)
            reader, _ = connections[-1]
            self.assertIn(b'ERR CONNLIMIT', await reader.readline())

        play(scenario)


class BufferLimitTest(unittest.TestCase):
    """Bytes that a host holds for its peers."""

    def test_long_lines_are_held_one_after_the_other(self) -> None:
        """Guards against lines of 1 MB that fill the memory."""
        held: list[int] = []
        release = anyio.Event()

        async def serve(channel: CallerChannel) -> None:
            await channel.receive_start()
            received = await channel.receive()
            assert isinstance(received, CallerRequest)
            held.append(1)
            await release.wait()
            await channel.receive()

        async def scenario(address: str, gates: _Gates) -> None:
            for _ in range(_LIMIT):
                _, writer = await _start(address)
                writer.write(b'QUERY 1 READ ' + b'x' * (_MIB // 2) + b'\r\n')
                writer.write(b'QUERY 2 READ x\r\n')
            await anyio.sleep(0.5)
            self.assertEqual(len(held), 2)
            release.set()
            while len(held) < _LIMIT:
                await anyio.sleep(0.01)

        play(scenario, serve=serve, buffered_bytes=8 * _MIB)

    def test_long_line_without_room_is_answered(self) -> None:
        """Guards against a statement that did not run and got no answer."""
        refusals: list[object] = []

        async def serve(channel: CallerChannel) -> None:
            await channel.receive_start()
            received = await channel.receive()
            assert isinstance(received, CallerRequest)
            if received.refusal is None:
                await anyio.sleep(30)
                return
            refusals.append(received.refusal.code)
            following = await channel.receive()
            assert isinstance(following, CallerRequest)
            refusals.append(following.request_id)

        async def scenario(address: str, gates: _Gates) -> None:
            for _ in range(3):
                _, writer = await _start(address)
                writer.write(b'QUERY 1 READ ' + b'x' * (_MIB // 2) + b'\r\n')
                writer.write(b'QUERY 2 READ x\r\n')
            while len(refusals) < 2:
                await anyio.sleep(0.01)
            self.assertEqual(refusals, [RefusalCode.busy, '2'])

        with unittest.mock.patch.object(
            line_stream, 'LONG_LINE_TIMEOUT_S', 0.3
        ):
            play(scenario, serve=serve, buffered_bytes=8 * _MIB)

    def test_caller_that_reads_nothing_is_disconnected(self) -> None:
        """Guards against sessions that are held by answers nobody reads."""
        ended: list[object] = []

        async def serve(channel: CallerChannel) -> None:
            try:
                await channel.receive_start()
                rows = tuple('x' * 1000 for _ in range(20_000))
                await channel.answer(
                    SessionAnswer(outcome=Completed(), rows=rows)
                )
            except BaseException as error:
                ended.append(error)
                raise

        async def scenario(address: str, gates: _Gates) -> None:
            _, writer = await _start(address)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            while not ended:
                await anyio.sleep(0.05)
            await anyio.sleep(0.1)
            self.assertEqual(gates.gate.open_count, 0)

        with unittest.mock.patch.object(callers, '_SLOW_READER_S', 0.2):
            play(scenario, serve=serve)

    def test_bodies_together_are_bounded(self) -> None:
        """Guards against HTTP bodies that arrive slowly and fill the memory."""

        async def handle(request: HttpRequest) -> HttpResponse:
            return HttpResponse()

        async def scenario(tasks: TaskGroup) -> None:
            address = free_address()
            await tasks.start(
                partial(
                    serve_http,
                    address,
                    handle,
                    max_body_bytes=_MIB,
                    max_buffered_bytes=2 * _MIB,
                    boundary=make_boundary(),
                )
            )
            head = (
                f'PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: {_MIB}\r\n\r\n'
            )
            slow = [await _connect(address) for _ in range(3)]
            for _, writer in slow:
                writer.write(head.encode() + b'x' * (_MIB - 1))
                await anyio.sleep(0.3)
            with anyio.fail_after(2):
                statuses = [await reader.readline() for reader, _ in slow[2:]]
            self.assertIn(b'503', statuses[0])
            for reader, writer in slow[:2]:
                writer.write(b'x')
                self.assertIn(b'200', await reader.readline())
            reader, writer = await _connect(address)
            writer.write(head.encode() + b'x' * _MIB)
            self.assertIn(b'200', await reader.readline())

        _run(scenario)

    def test_idle_http_connections_keep_no_request_out(self) -> None:
        """Guards against connections that send slowly and fill a listener."""

        async def handle(request: HttpRequest) -> HttpResponse:
            return HttpResponse()

        async def scenario(tasks: TaskGroup) -> None:
            address = free_address()
            gates = _Gates(lambda: False)
            await tasks.start(
                partial(
                    serve_http,
                    address,
                    handle,
                    max_body_bytes=_MIB,
                    boundary=make_boundary(),
                    gate=gates.gate,
                )
            )
            request = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
            for _ in range(_LIMIT):
                _, writer = await _connect(address)
                writer.write(request[:-4])
            reader, writer = await _connect(address)
            writer.write(request)
            self.assertIn(b'503', await reader.readline())
            await anyio.sleep(1.1)
            reader, writer = await _connect(address)
            writer.write(request)
            self.assertIn(b'200', await reader.readline())

        _run(scenario)
