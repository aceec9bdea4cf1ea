"""Tests of the connections between proxies, over real sockets."""

import socket
import unittest
from collections.abc import Awaitable, Callable
from functools import partial

import anyio
from anyio.abc import TaskGroup

from lavendergate.core.types import UpstreamId
from lavendergate.rpc.relay_service import (
    RelayedRead,
    RelayReply,
    RelayRequest,
    RelayStatus,
)
from lavendergate.rpc.relay_stream import StreamRelayTransport, serve_relays
from lavendergate.rpc.relay_transport import RelayLostError, RelayNotSentError
from lavendergate.tests.socket_fixture import make_boundary


def free_address() -> str:
    """Return an address on which nothing listens."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


def request(item: str) -> RelayRequest:
    """Return the request to read an item."""
    return RelayRequest(
        upstream_id=UpstreamId('a'),
        born=1,
        statement=RelayedRead(item=item),
        values={'role': 'crew'},
        request_id='r1',
        after=None,
        transaction=None,
        expires_at_ms=5,
    )


class _Handler:
    """Answers with the item, the item `slow` after all others."""

    def __init__(self) -> None:
        self.release = anyio.Event()

    def now_ms(self) -> int:
        return 42

    async def handle(self, received: RelayRequest) -> RelayReply:
        assert isinstance(received.statement, RelayedRead)
        item = received.statement.item
        if item == 'slow':
            await self.release.wait()
        return RelayReply(status=RelayStatus.answered, now_ms=42, rows=(item,))


Scenario = Callable[
    [_Handler, StreamRelayTransport, str, TaskGroup], Awaitable[None]
]


def play(scenario: Scenario) -> None:
    """Run a scenario with one home on a socket."""

    async def run() -> None:
        address = free_address()
        handler = _Handler()
        async with anyio.create_task_group() as tasks:
            await tasks.start(
                partial(
                    serve_relays, address, handler, boundary=make_boundary()
                )
            )
            transport = StreamRelayTransport(tasks=tasks)
            with anyio.fail_after(10):
                await scenario(handler, transport, address, tasks)
            tasks.cancel_scope.cancel()

    anyio.run(run)


class RelayStreamTest(unittest.TestCase):
    """Statements between two proxies."""

    def test_answers_arrive_in_any_order(self) -> None:
        """Guards against an answer that reaches another statement's caller."""

        async def scenario(
            handler: _Handler,
            transport: StreamRelayTransport,
            address: str,
            tasks: TaskGroup,
        ) -> None:
            answers: dict[str, tuple[str, ...]] = {}

            async def run(item: str) -> None:
                reply = await transport.run(address, request(item))
                answers[item] = reply.rows

            async with anyio.create_task_group() as calls:
                calls.start_soon(run, 'slow')
                for number in range(20):
                    calls.start_soon(run, f'x{number}')
                await anyio.sleep(0.1)
                self.assertEqual(await transport.read_time_ms(address), 42)
                handler.release.set()
            self.assertEqual(len(answers), 21)
            for item, rows in answers.items():
                self.assertEqual(rows, (item,))

        play(scenario)

    def test_refused_connection_proves_that_nothing_ran(self) -> None:
        """Guards against an unknown outcome of a statement never sent."""

        async def scenario(
            handler: _Handler,
            transport: StreamRelayTransport,
            address: str,
            tasks: TaskGroup,
        ) -> None:
            with self.assertRaises(RelayNotSentError):
                await transport.run(free_address(), request('x'))

        play(scenario)

    def test_lost_connection_fails_the_statements_on_it(self) -> None:
        """Guards against callers that wait for a home that is gone."""

        async def scenario(
            handler: _Handler,
            transport: StreamRelayTransport,
            address: str,
            tasks: TaskGroup,
        ) -> None:
            async def cut() -> None:
                await anyio.sleep(0.1)
                transport.disconnect(address)

            tasks.start_soon(cut)
            with self.assertRaises(RelayLostError):
                await transport.run(address, request('slow'))
            reply = await transport.run(address, request('x'))
            self.assertEqual(reply.rows, ('x',))

        play(scenario)

    def test_malformed_frame_ends_only_its_connection(self) -> None:
        """Guards against one bad message that ends a proxy."""

        async def scenario(
            handler: _Handler,
            transport: StreamRelayTransport,
            address: str,
            tasks: TaskGroup,
        ) -> None:
            ip, _, port = address.rpartition(':')
            nested = b'\x95\x01\xc0\xc0\xc0' + b'\x91' * 3000 + b'\xc0'
            for garbage in (
                b'\x00\x00\x00\x02\xc1\xc1',
                b'\xff' * 64,
                len(nested).to_bytes(4) + nested,
            ):
                stream = await anyio.connect_tcp(ip, int(port))
                await stream.send(garbage)
                with self.assertRaises(anyio.EndOfStream):
                    await stream.receive()
            reply = await transport.run(address, request('x'))
            self.assertEqual(reply.rows, ('x',))

        play(scenario)

    def test_address_without_a_port_is_not_connected(self) -> None:
        """Guards against an odd address of a home that ends a proxy."""

        async def scenario(
            handler: _Handler,
            transport: StreamRelayTransport,
            address: str,
            tasks: TaskGroup,
        ) -> None:
            for odd in ('127.0.0.1:70000', '127.0.0.1', '', 'x:²'):
                with self.assertRaises(RelayNotSentError):
                    await transport.run(odd, request('x'))

        play(scenario)
