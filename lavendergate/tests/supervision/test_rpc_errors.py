"""Tests of unexpected errors in the gRPC server of a host."""

import asyncio
import unittest

import msgspec
from anyio.abc import TaskGroup
from grpclib.server import Server

from lavendergate.rpc.codec import MessagePackCodec
from lavendergate.rpc.peers import PeerCallError, PeerClient
from lavendergate.rpc.service import Method, UnaryService
from lavendergate.tests.socket_fixture import free_address, run_scenario


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
            peers = PeerClient()
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
