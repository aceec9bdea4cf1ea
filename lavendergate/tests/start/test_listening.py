"""Tests of listeners whose address is taken for a moment."""

import errno
import socket
import unittest
from functools import partial
from unittest import mock

import anyio
from anyio.abc import TaskStatus

from lavendergate.daemon import listening
from lavendergate.daemon.hosted_process import HostedProcess
from lavendergate.daemon.listening import listen, serve_aside
from lavendergate.daemon.start_refusal import ExitCode, StartRefusedError
from lavendergate.observability.log import MemoryEventLog
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.platform.settings_file import HostSettings
from lavendergate.rpc.http import HttpRequest, HttpResponse, serve_http

_SETTINGS = HostSettings(
    node_name='a', ip='127.0.0.1', zone='z', region='r', internal_ports=(1, 2)
)


async def _answer(request: HttpRequest) -> HttpResponse:
    return HttpResponse()


class ListeningTest(unittest.IsolatedAsyncioTestCase):
    """Listeners at the start of a process."""

    def setUp(self) -> None:
        self.events = MemoryEventLog()
        self.process = HostedProcess(settings=_SETTINGS, events=self.events)
        self.enterContext(
            mock.patch.object(listening, '_RETRY_INTERVAL_S', 0.01)
        )

    def take_port(self) -> tuple[socket.socket, str]:
        taken = socket.socket()
        self.addCleanup(taken.close)
        taken.bind(('127.0.0.1', 0))
        taken.listen()
        return taken, f'127.0.0.1:{taken.getsockname()[1]}'

    async def test_port_that_is_taken_for_a_moment_is_tried_again(self) -> None:
        """Guards against an end because a port is not free yet."""
        taken, address = self.take_port()
        serve = partial(
            serve_http,
            address,
            _answer,
            max_body_bytes=1,
            boundary=self.process.boundary,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._release_when_reported, taken)
            await listen(self.process, address, partial(tasks.start, serve))
            tasks.cancel_scope.cancel()
        self.assertEqual(
            [entry.event for entry in self.events.occurrences],
            [ProcessEvent.address_taken, ProcessEvent.address_free],
        )

    async def test_port_of_a_listener_in_a_task_group_is_tried_again(
        self,
    ) -> None:
        """Guards against an end because a group wraps the listener's error."""
        taken = OSError(errno.EADDRINUSE, 'taken')
        start = mock.AsyncMock(side_effect=[ExceptionGroup('', [taken]), None])
        await listen(self.process, '127.0.0.1:1', start)
        self.assertEqual(start.await_count, 2)
        other = ExceptionGroup('', [ValueError('unexpected')])
        with self.assertRaises(ExceptionGroup):
            await listen(
                self.process, '127.0.0.1:1', mock.AsyncMock(side_effect=other)
            )

    async def test_port_that_stays_taken_is_refused_with_its_address(
        self,
    ) -> None:
        """Guards against a traceback in place of a reason."""
        _, address = self.take_port()
        serve = partial(
            serve_http,
            address,
            _answer,
            max_body_bytes=1,
            boundary=self.process.boundary,
        )
        with self.assertRaisesRegex(StartRefusedError, address) as refused:
            async with anyio.create_task_group() as tasks:
                try:
                    await listen(
                        self.process,
                        address,
                        partial(tasks.start, serve),
                        limit_s=0,
                    )
                except StartRefusedError as error:
                    refusal = error
            raise refusal
        self.assertEqual(refused.exception.exit_code, ExitCode.address)

    async def test_listener_aside_is_tried_without_an_end(self) -> None:
        """Guards against metrics that keep a role from serving."""
        is_listening = anyio.Event()
        attempts = 0

        async def serve(
            *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
        ) -> None:
            nonlocal attempts
            attempts += 1
            if attempts < 5:
                raise OSError(errno.EADDRNOTAVAIL, 'not here yet')
            task_status.started()
            is_listening.set()

        with mock.patch.object(listening, 'ADDRESS_WAIT_S', 0):
            await serve_aside(self.process, '127.0.0.1:1', serve)
        self.assertTrue(is_listening.is_set())

    async def test_stop_leaves_the_drain_to_the_role_beside_a_taken_port(
        self,
    ) -> None:
        """Guards against callers cut at a stop for the port of the metrics."""
        self.process._stopping.set()
        attempts = 0

        async def serve(
            *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
        ) -> None:
            nonlocal attempts
            attempts += 1
            raise OSError(errno.EADDRINUSE, 'taken')

        with (
            mock.patch.object(self.process, 'exit', side_effect=SystemExit),
            anyio.move_on_after(0.2),
        ):
            await serve_aside(self.process, '127.0.0.1:1', serve)
        self.assertGreater(attempts, 1)

    async def test_stop_ends_the_process_while_a_port_is_taken(self) -> None:
        """Guards against a stop that waits for a port."""
        _, address = self.take_port()
        serve = partial(
            serve_http,
            address,
            _answer,
            max_body_bytes=1,
            boundary=self.process.boundary,
        )
        self.process._stopping.set()
        stopped = mock.patch.object(
            self.process, 'exit', side_effect=KeyboardInterrupt
        )
        with stopped, self.assertRaises(KeyboardInterrupt):
            async with anyio.create_task_group() as tasks:
                await self._expect_stop(
                    listen(self.process, address, partial(tasks.start, serve))
                )
            raise KeyboardInterrupt

    async def _expect_stop(self, waiting: object) -> None:
        with self.assertRaises(KeyboardInterrupt):
            await waiting  # type: ignore[misc]

    async def _release_when_reported(self, taken: socket.socket) -> None:
        while not self.events.occurrences:
            await anyio.sleep(0.01)
        taken.close()


if __name__ == '__main__':
    unittest.main()
