"""Tests of the storage of a control host at its start."""

import errno
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import anyio
import msgspec

from lavendergate.core.types import HostId
from lavendergate.daemon import storage_start
from lavendergate.daemon.hosted_process import HostedProcess
from lavendergate.daemon.start_refusal import ExitCode, StartRefusedError
from lavendergate.daemon.storage_start import open_storage
from lavendergate.observability.log import MemoryEventLog
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.platform.settings_file import HostSettings
from lavendergate.storage.files import FileStorage
from lavendergate.storage.framing import encode_frame


class StorageStartTest(unittest.IsolatedAsyncioTestCase):
    """Data directories that cannot be used at once."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.data = Path(folder.name) / 'data'
        self.events = MemoryEventLog()
        self.settings = HostSettings(
            node_name='c1',
            ip='127.0.0.1',
            zone='z',
            region='r',
            internal_ports=(1, 2),
            data_dir=str(self.data),
        )
        self.enterContext(
            mock.patch.object(storage_start, '_RETRY_INTERVAL_S', 0.01)
        )

    def process(self) -> HostedProcess:
        return HostedProcess(settings=self.settings, events=self.events)

    async def test_lock_of_the_former_process_is_waited_for(self) -> None:
        """Guards against an end because the former process ends late."""
        former = FileStorage(directory=self.data / 'log', host_id=HostId('c1'))
        former.load()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._close_when_reported, former)
            storage, damage = await open_storage(self.process())
        storage.close()
        self.assertIsNone(damage)

    async def test_full_disk_is_tried_without_an_end(self) -> None:
        """Guards against a host that ends again and again on a full disk."""
        opened = mock.Mock(
            side_effect=[OSError(errno.ENOSPC, 'full')] * 5
            + [(mock.sentinel.storage, None)]
        )
        with (
            mock.patch.object(storage_start, 'open_or_reset', opened),
            mock.patch.object(storage_start, 'STORAGE_WAIT_S', 0),
        ):
            storage, _ = await open_storage(self.process())
        self.assertIs(storage, mock.sentinel.storage)
        reported = self.events.fields_of(ProcessEvent.disk_refused)
        self.assertEqual(len(reported), 1)

    async def test_unusable_directories_are_refused_with_the_remedy(
        self,
    ) -> None:
        """Guards against a start that waits for ever, or without a reason."""
        self.data.write_text('not a directory')
        with mock.patch.object(storage_start, 'STORAGE_WAIT_S', 0):
            await self._expect_refusal(str(self.data))
        self.settings = msgspec.structs.replace(self.settings, data_dir=None)
        await self._expect_refusal('dataDir is missing')

    async def test_unreadable_record_is_refused_at_once(self) -> None:
        """Guards against a wait of 60 s, or a reset, after a downgrade."""
        storage, _ = await open_storage(self.process())
        storage.close()
        log = self.data / 'log' / 'log'
        log.write_bytes(encode_frame(b'\xc1'))
        await self._expect_refusal(f'byte 0 of {log}: .* start the build')
        self.assertEqual(log.read_bytes(), encode_frame(b'\xc1'))
        self.assertEqual(self.events.occurrences, ())

    async def test_missing_directory_is_created(self) -> None:
        """Guards against a refusal where the platform creates no folder."""
        storage, damage = await open_storage(self.process())
        storage.close()
        self.assertTrue((self.data / 'log' / 'identity').exists())

    async def _expect_refusal(self, reason: str) -> None:
        with self.assertRaisesRegex(StartRefusedError, reason) as refused:
            await open_storage(self.process())
        self.assertEqual(refused.exception.exit_code, ExitCode.storage)

    async def _close_when_reported(self, former: FileStorage) -> None:
        while not self.events.occurrences:
            await anyio.sleep(0.01)
        former.close()


if __name__ == '__main__':
    unittest.main()
