"""Tests of a start while connections use up the descriptors."""

import errno
import tempfile
import unittest
from unittest import mock

import anyio
import msgspec

from lavendergate.core.consensus.types import NodeId
from lavendergate.core.types import HostId
from lavendergate.daemon import hosted_control
from lavendergate.daemon.hosted_control import HostedControl
from lavendergate.daemon.hosted_process import HostedProcess
from lavendergate.daemon.listening import listen
from lavendergate.observability.log import MemoryEventLog
from lavendergate.platform.settings_file import HostSettings
from lavendergate.storage.memory import MemoryStorage

_SETTINGS = HostSettings(
    node_name='a',
    ip='127.0.0.1',
    zone='z',
    region='r',
    internal_ports=(7440, 7455),
)
_FULL = OSError(errno.EMFILE, 'Too many open files')


class StartWithoutDescriptorsTest(unittest.IsolatedAsyncioTestCase):
    """Starts of a process whose limit is reached for a moment."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.process = HostedProcess(
            settings=msgspec.structs.replace(_SETTINGS, data_dir=folder.name),
            events=MemoryEventLog(),
        )

    async def test_listener_is_tried_again(self) -> None:
        """Guards against an end by connections that came before a listener."""
        start = mock.AsyncMock(side_effect=[_FULL, _FULL, None])
        await listen(self.process, '127.0.0.1:1', start)
        self.assertEqual(start.await_count, 3)

    async def test_deferred_import_is_tried_again(self) -> None:
        """Guards against an end by connections that came before an import."""
        async with anyio.create_task_group() as tasks:
            identity = NodeId(host_id=HostId('a'), incarnation='1')
            control = HostedControl(
                process=self.process,
                tasks=tasks,
                storage=MemoryStorage(identity=identity),
                damage=None,
            )
            with mock.patch.object(
                hosted_control, 'import_module', side_effect=[_FULL, None]
            ):
                await control._import_module('any')
        self.assertEqual(self.process.boundary.counts, {'deferred import': 1})
