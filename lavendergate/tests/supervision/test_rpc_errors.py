"""Tests of unexpected errors in the gRPC server of a host."""

import asyncio
import unittest
from unittest import mock

import msgspec
from anyio.abc import TaskGroup
from grpclib.server import Server

from lavendergate.rpc import peers as peers_module
from lavendergate.rpc import transport as transport_module
from lavendergate.rpc.codec import MessagePackCodec
from lavendergate.rpc.peers import PeerCallError, PeerClient
from lavendergate.rpc.service import Method, UnaryService
from lavendergate.rpc.transport import GrpcTransport, TransportError
from lavendergate.tests.socket_fixture import (
    free_address,
    make_boundary,
    run_scenario,
)


class _Question(msgspec.Struct, frozen=True, kw_only=True):
    number: int


class _Nested(msgspec.Struct, frozen=True, kw_only=True):
    number: list[object]


_ASK = Method(path='/test/Ask', request_type=_Question, reply_type=_Question)
_ASK_ODDLY = Method(path='/test/Ask', request_type=_Nested, reply_type=_Nested)


def _nested(depth: int) -> list[object]:
    value: list[object] = []
    for _ in range(depth):
        value = [value]
    return value


async def _answer(question: _Question) -> _Question:
    if question.number < 0:
        raise ValueError('unexpected')
    return question


class RpcErrorTest(unittest.TestCase):
    """A server that is asked by another host."""

    def test_odd_messages_and_failing_handlers_end_no_server(self) -> None:
        """Guards against a peer's message that ends a control host."""

        async def scenario(tasks: TaskGroup) -> None:
            address = free_address()
            ip, _, port = address.rpartition(':')
            server = Server(
                [UnaryService(implementations={_ASK: _answer})],
                codec=MessagePackCodec(),
            )
            await server.start(ip, int(port))
            peers = PeerClient(boundary=make_boundary())
            for odd in (b'', b'\x00' * 64, b'GET / HTTP/1.1\r\n\r\n'):
                _, writer = await asyncio.open_connection(ip, int(port))
                writer.write(odd)
                await writer.drain()
                writer.close()
            with self.assertRaises(PeerCallError):
                await peers.call(
                    address, _ASK, _Question(number=-1), timeout_s=2
                )
            with self.assertRaises(PeerCallError):
                await peers.call(
                    address,
                    _ASK_ODDLY,
                    _Nested(number=_nested(400)),
                    timeout_s=2,
                )
            reply = await peers.call(
                address, _ASK, _Question(number=1), timeout_s=2
            )
            self.assertEqual(reply.number, 1)
            peers.close()
            server.close()

        run_scenario(scenario)


class OddReplyTest(unittest.IsolatedAsyncioTestCase):
    """Calls whose reply raises an unexpected error here."""

    async def test_odd_reply_counts_as_a_failed_call(self) -> None:
        """Guards against one host's reply that ends the work with others."""
        boundary = make_boundary()
        odd = mock.AsyncMock(side_effect=RecursionError('nested too deeply'))
        address = free_address()
        with mock.patch.object(peers_module, 'call', odd):
            with self.assertRaises(PeerCallError):
                await PeerClient(boundary=boundary).call(
                    address, _ASK, _Question(number=1), timeout_s=1
                )
        transport = GrpcTransport(boundary=boundary)
        with mock.patch.object(transport_module, 'call', odd):
            with self.assertRaises(TransportError):
                await transport.exchange(address, mock.MagicMock(), timeout_s=1)
        self.assertEqual(boundary.counts, {'peer call': 1, 'log exchange': 1})
