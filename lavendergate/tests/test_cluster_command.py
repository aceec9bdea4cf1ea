"""Tests of ``lavendergatectl cluster`` and ``lavendergatectl timeline``."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path
from typing import Any

from grpclib.server import Server

from lavendergate.cli.main import run
from lavendergate.core.types import HostId
from lavendergate.observability.events import FailoverEvent, ProcessEvent
from lavendergate.observability.file_log import open_event_log
from lavendergate.observability.process_clock import ProcessClock
from lavendergate.rpc import consensus_service
from lavendergate.rpc.codec import MessagePackCodec
from lavendergate.rpc.service import UnaryService


class FakeHost:
    """Control host that is not initialised yet."""

    def __init__(self, service: Any, name: str) -> None:
        self.service = service
        self.name = name
        self.voters: tuple[str, ...] = ()
        self.is_failing = False

    async def identify(self, request: Any) -> Any:
        """Return the identity of the host."""
        return self.service.HostIdentityReply(
            host_id=self.name,
            incarnation=f'incarnation-{self.name}',
            initialised=bool(self.voters),
        )

    async def initialise(self, request: Any) -> Any:
        """Store the configuration, or refuse it if set to fail."""
        if self.is_failing:
            return self.service.ClusterReply(accepted=False, problem='disk')
        self.voters = tuple(
            f'{host.host_id}/{host.incarnation}' for host in request.voters
        )
        return self.service.ClusterReply(accepted=True)


async def run_command(*arguments: str) -> tuple[int, str]:
    """Run a command and return exit code and output."""
    output = io.StringIO()
    with (
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(output),
    ):
        code = await run(list(arguments))
    return code, output.getvalue()


class ClusterCommandTest(unittest.IsolatedAsyncioTestCase):
    """Initialisation of the control hosts."""

    async def test_init_can_be_resumed_but_not_repeated(self) -> None:
        """Guards against a cluster that stays partly initialised.

        This happens if one host fails during "cluster init". A second "init"
        must not overwrite the hosts that were initialised; "--resume" skips
        them.
        """
        hosts = [FakeHost(consensus_service, name) for name in ('c1', 'c2')]
        addresses = ','.join([await self.serve(host) for host in hosts])
        command = ('cluster', 'init', '--hosts', addresses)
        hosts[1].is_failing = True
        self.assertEqual((await run_command(*command))[0], 1)
        hosts[1].is_failing = False
        code, text = await run_command(*command)
        self.assertEqual(code, 1)
        self.assertIn('--resume', text)
        code, text = await run_command(*command, '--resume')
        self.assertEqual(code, 0, text)
        voters = ('c1/incarnation-c1', 'c2/incarnation-c2')
        self.assertEqual([host.voters for host in hosts], [voters, voters])

    async def serve(self, host: FakeHost) -> str:
        """Serve a host on a loopback port and return its address."""
        implementations = {
            host.service.HOST_IDENTITY: host.identify,
            host.service.CLUSTER_INIT: host.initialise,
        }
        server = Server(
            [UnaryService(implementations=implementations)],
            codec=MessagePackCodec(),
        )
        await server.start('127.0.0.1', 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port = server._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'


class TimelineCommandTest(unittest.IsolatedAsyncioTestCase):
    """Options of ``lavendergatectl timeline``."""

    async def test_options_reach_the_filter(self) -> None:
        """Guards against options that are parsed but not applied."""
        with tempfile.TemporaryDirectory() as directory:
            log = open_event_log(
                host=HostId('c1'),
                clock=ProcessClock(wall_ms=lambda: 1000),
                data_directory=Path(directory),
            )
            for group in ('g', 'h'):
                log.emit(
                    FailoverEvent.term_begun, group=group, term=1, reason='x'
                )
            log.emit(ProcessEvent.process_stopped)
            command = ('timeline', directory)
            selections = {
                ('--group', 'g'): ['4010'],
                ('--event', '4', '--event', '7020'): ['4010', '4010', '7020'],
                ('--until', '1970-01-01T00:00:00+00:00'): [],
                ('--host', 'c2'): [],
            }
            for options, numbers in selections.items():
                code, text = await run_command(*command, *options)
                self.assertEqual(code, 0, text)
                found = [line.split()[2] for line in text.splitlines() if line]
                self.assertEqual(found, numbers, options)
            code, text = await run_command(*command, '--format', 'html')
            self.assertIn('</html>', text)
        self.assertEqual((await run_command('timeline'))[0], 2)
        self.assertEqual((await run_command('timeline', '/nowhere'))[0], 2)
