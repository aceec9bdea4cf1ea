"""Tests of listeners whose accept or whose connections fail."""

import asyncio
import contextlib
import errno
import socket
import unittest
from functools import partial
from typing import Any

import anyio
from anyio.abc import SocketStream, TaskGroup

from lavendergate.core.sessions.statements import RefusalCode, Refused
from lavendergate.frontend.caller_channel import CallerChannel
from lavendergate.platform.callers import serve_callers
from lavendergate.rpc.http import HttpRequest, HttpResponse, serve_http
from lavendergate.supervision.listener import Listener
from lavendergate.tests.socket_fixture import (
    free_address,
    make_boundary,
    run_scenario,
)

_REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
_ACCEPT_ERRORS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOMEM,
    errno.ENOBUFS,
    errno.ECONNABORTED,
    errno.EPROTO,
)
_PIECE_BYTES = 256 * 1024
_FLOOD_PIECES = 400


class _FailingSocket:
    """Fails to accept a few times before it accepts connections."""

    def __init__(self, *, accepted: list[Any]) -> None:
        self._errors = [OSError(code, 'accept') for code in _ACCEPT_ERRORS]
        self._accepted = accepted

    async def accept(self) -> Any:
        await anyio.lowlevel.checkpoint()
        if self._errors:
            raise self._errors.pop()
        if self._accepted:
            return self._accepted.pop()
        return await anyio.sleep_forever()


class _Stream:
    """Connection that is served without bytes."""

    is_closed = False

    async def aclose(self) -> None:
        self.is_closed = True


async def _read_status(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b'\r\n\r\n')
    return head.split(b' ')[1]


class ListenerTest(unittest.TestCase):
    """Listeners of all kinds."""

    def test_errors_of_accept_end_no_listener(self) -> None:
        """Guards against a process that ends without free descriptors."""
        streams: list[Any] = [_Stream(), _Stream()]
        served: list[object] = []
        boundary = make_boundary()

        async def serve(stream: object) -> None:
            served.append(stream)
            raise ValueError('unexpected')

        async def scenario(tasks: TaskGroup) -> None:
            listener = Listener(place='test', serve=serve, boundary=boundary)
            failing = _FailingSocket(accepted=list(streams))
            tasks.start_soon(listener.accept_from, failing, tasks)
            while len(served) < len(streams):
                await anyio.sleep(0.01)
            await anyio.sleep(0.01)

        run_scenario(scenario)
        self.assertTrue(all(stream.is_closed for stream in streams))
        self.assertEqual(
            boundary.counts,
            {'accept test': len(_ACCEPT_ERRORS), 'test': len(streams)},
        )

    def test_failing_handler_answers_500_and_serves_on(self) -> None:
        """Guards against one HTTP request that ends the process."""
        boundary = make_boundary()

        async def handle(request: HttpRequest) -> HttpResponse:
            if request.path == '/bad':
                raise RecursionError('nested too deeply')
            return HttpResponse()

        async def scenario(tasks: TaskGroup) -> None:
            address = free_address()
            await tasks.start(
                partial(
                    serve_http,
                    address,
                    handle,
                    max_body_bytes=100,
                    boundary=boundary,
                )
            )
            reader, writer = await asyncio.open_connection(*address.split(':'))
            writer.write(_REQUEST.replace(b'/ ', b'/bad ', 1))
            self.assertEqual(await _read_status(reader), b'500')
            writer.write(_REQUEST)
            self.assertEqual(await _read_status(reader), b'200')
            writer.close()

        run_scenario(scenario)
        self.assertEqual(boundary.counts, {'http request': 1})

    def test_failing_session_ends_no_other_session(self) -> None:
        """Guards against one caller that ends the process."""
        boundary = make_boundary()

        async def serve(channel: CallerChannel) -> None:
            start = await channel.receive_start()
            if start is None:
                raise ValueError('unexpected')
            await channel.refuse(Refused(code=RefusalCode.busy, text='later'))

        async def scenario(tasks: TaskGroup) -> None:
            address = free_address()
            await tasks.start(
                partial(serve_callers, address, serve, boundary=boundary)
            )
            bad, bad_writer = await asyncio.open_connection(*address.split(':'))
            good, good_writer = await asyncio.open_connection(
                *address.split(':')
            )
            bad_writer.write(b'ODD\r\n')
            self.assertEqual(await bad.read(), b'')
            good_writer.write(b'START db\r\n')
            self.assertIn(b'BUSY', await good.readline())
            bad_writer.close()
            good_writer.close()

        run_scenario(scenario)
        self.assertEqual(boundary.counts, {'callers': 1})

    def test_bytes_that_nobody_asked_for_stay_unread(self) -> None:
        """Guards against a peer that fills the memory by sending ahead."""
        pieces: list[int] = []
        release = anyio.Event()

        async def serve(stream: SocketStream) -> None:
            pieces.append(len(await stream.receive(1)))
            await release.wait()

        async def scenario(tasks: TaskGroup) -> None:
            address = free_address()
            listener = Listener(
                place='test', serve=serve, boundary=make_boundary()
            )
            await tasks.start(partial(listener.run, address, backlog=10))
            ip, _, port = address.rpartition(':')
            # Bytes have arrived before the connection is accepted.
            peer = socket.create_connection((ip, int(port)))
            peer.setblocking(False)
            sent = peer.send(b'x' * _PIECE_BYTES)
            for _ in range(_FLOOD_PIECES):
                await anyio.sleep(0.001)
                with contextlib.suppress(BlockingIOError):
                    sent += peer.send(b'x' * _PIECE_BYTES)
            self.assertEqual(pieces, [1])
            self.assertLess(sent, _FLOOD_PIECES * _PIECE_BYTES / 2)
            peer.close()
            release.set()

        run_scenario(scenario)
