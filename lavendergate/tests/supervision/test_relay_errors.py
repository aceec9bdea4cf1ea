"""Tests of unexpected errors on the connections between proxies."""

import unittest
from functools import partial

import anyio
from anyio.abc import TaskGroup

from lavendergate.core.types import UpstreamId
from lavendergate.observability.log import MemoryEventLog
from lavendergate.rpc.relay_service import (
    RelayedRead,
    RelayReply,
    RelayRequest,
    RelayStatus,
)
from lavendergate.rpc.relay_stream import StreamRelayTransport, serve_relays
from lavendergate.rpc.relay_transport import RelayLostError
from lavendergate.supervision.boundary import Boundary, GuardedTasks
from lavendergate.tests.socket_fixture import (
    free_address,
    make_boundary,
    run_scenario,
)

_WIDE = 10**21


def _request(item: str) -> RelayRequest:
    return RelayRequest(
        upstream_id=UpstreamId('a'),
        born=1,
        statement=RelayedRead(item=item),
        values={},
        request_id='r1',
        after=None,
        transaction=None,
        expires_at_ms=5,
    )


class _Handler:
    """Fails on some items, answers the item `slow` when told to."""

    def __init__(self) -> None:
        self.release = anyio.Event()

    def now_ms(self) -> int:
        return 42

    async def handle(self, received: RelayRequest) -> RelayReply:
        assert isinstance(received.statement, RelayedRead)
        match received.statement.item:
            case 'fails':
                raise OSError('unexpected')
            case 'cannot be encoded':
                return RelayReply(status=RelayStatus.answered, now_ms=_WIDE)
            case 'slow':
                await self.release.wait()
        return RelayReply(status=RelayStatus.answered, now_ms=42)


class RelayErrorTest(unittest.TestCase):
    """One home that runs statements of another proxy."""

    def test_failing_statement_is_unknown_and_ends_no_other(self) -> None:
        """Guards against one statement that ends a home or all others on it."""
        boundary = make_boundary()

        async def scenario(tasks: TaskGroup) -> None:
            handler = _Handler()
            address = free_address()
            await tasks.start(
                partial(serve_relays, address, handler, boundary=boundary)
            )
            transport = StreamRelayTransport(tasks=tasks)
            answered: list[RelayReply] = []

            async def run_slow() -> None:
                answered.append(await transport.run(address, _request('slow')))

            async with anyio.create_task_group() as others:
                others.start_soon(run_slow)
                for item in ('fails', 'cannot be encoded'):
                    with anyio.fail_after(2), self.assertRaises(RelayLostError):
                        await transport.run(address, _request(item))
                handler.release.set()
            self.assertEqual(answered[0].status, RelayStatus.answered)

        run_scenario(scenario)
        self.assertEqual(boundary.counts, {'relayed request': 2})

    def test_calls_end_when_the_reader_of_a_connection_fails(self) -> None:
        """Guards against callers that wait for ever after an odd reply."""
        boundary = Boundary(events=MemoryEventLog())

        async def scenario(tasks: TaskGroup) -> None:
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            port = listener.listeners[0].extra(
                anyio.abc.SocketAttribute.local_port
            )

            async def answer_oddly(stream: anyio.abc.SocketStream) -> None:
                await stream.receive()
                # A reply with one field more than a proxy reads.
                nested = b'\x95\x01\xc0\x00\xc0' + b'\x91' * 5000 + b'\xc0'
                await stream.send(len(nested).to_bytes(4) + nested)
                await anyio.sleep_forever()

            tasks.start_soon(listener.serve, answer_oddly)
            transport = StreamRelayTransport(
                tasks=GuardedTasks(tasks=tasks, boundary=boundary)
            )
            with anyio.fail_after(2), self.assertRaises(RelayLostError):
                await transport.run(f'127.0.0.1:{port}', _request('x'))

        run_scenario(scenario)
