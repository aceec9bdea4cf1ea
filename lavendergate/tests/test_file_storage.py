"""Tests of the file storage of the replicated log."""

import tempfile
import unittest
from pathlib import Path

from lavendergate.core.commands import ChangeVoters
from lavendergate.core.consensus.log import Log
from lavendergate.core.consensus.types import (
    ConsensusTerm,
    Entry,
    HardState,
    Snapshot,
)
from lavendergate.core.control_records import RoutesRecord
from lavendergate.core.routes import RoutesVersion
from lavendergate.core.types import HostId
from lavendergate.storage.base import (
    DamagedFileError,
    StorageError,
    StoredState,
)
from lavendergate.storage.files import FileStorage
from lavendergate.storage.fleet_state_file import (
    FleetStateFile,
    SavedFleetState,
)
from lavendergate.storage.recovery import open_or_reset

_TERM = ConsensusTerm(3)


def _entry(index: int) -> Entry:
    return Entry(index=index, term=_TERM, payload=b'payload')


class FileStorageTest(unittest.TestCase):
    """State that a node loads after a restart."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name) / 'c1'
        self.log = self.directory / 'log'

    def load(self, host_id: str = 'c1') -> tuple[FileStorage, StoredState]:
        storage = FileStorage(directory=self.directory, host_id=HostId(host_id))
        self.addCleanup(storage.close)
        return storage, storage.load()

    def write(self, entries: int) -> int:
        """Sync entries one by one; return the offset of the last record."""
        storage, _ = self.load()
        offset = 0
        for index in range(1, entries + 1):
            offset = self.log.stat().st_size
            storage.append((_entry(index),))
            storage.sync()
        storage.close()
        return offset

    def change_byte(self, offset: int) -> None:
        content = bytearray(self.log.read_bytes())
        content[offset] ^= 0xFF
        self.log.write_bytes(content)

    def test_synced_changes_survive_and_others_do_not(self) -> None:
        """Guards against losing synced changes or keeping unsynced ones."""
        storage, first = self.load()
        hard_state = HardState(term=_TERM, voted_for=first.identity)
        storage.save_hard_state(hard_state)
        storage.append(tuple(_entry(index) for index in range(1, 6)))
        storage.truncate(4)
        storage.sync()
        storage.append((_entry(4),))
        storage.close()
        _, loaded = self.load()
        self.assertEqual(loaded.identity, first.identity)
        self.assertEqual(loaded.hard_state, hard_state)
        self.assertEqual(loaded.log.last.index, 3)

    def test_torn_tail_is_cut(self) -> None:
        """Guards against a host that cannot start after a power failure.

        Every truncated length of the last record is tried; a record written
        after the recovery must be readable.
        """
        offset = self.write(3)
        whole = self.log.read_bytes()
        for size in range(offset, len(whole)):
            self.log.write_bytes(whole[:size])
            storage, loaded = self.load()
            self.assertEqual(loaded.log.last.index, 2)
            storage.append((_entry(3),))
            storage.sync()
            storage.close()
            storage, loaded = self.load()
            storage.close()
            self.assertEqual(loaded.log.last.index, 3)

    def test_damage_before_the_tail_is_reported(self) -> None:
        """Guards against truncating synced entries as if they were torn.

        Every byte before the last record is changed in turn, including the
        headers of records.
        """
        offset = self.write(3)
        whole = self.log.read_bytes()
        for position in range(offset):
            self.log.write_bytes(whole)
            self.change_byte(position)
            with self.assertRaises(DamagedFileError) as caught:
                self.load()
            self.assertEqual(caught.exception.path, str(self.log))
            self.assertLessEqual(caught.exception.offset, position)

    def test_old_log_beside_a_new_snapshot(self) -> None:
        """Guards against a crash between writing a snapshot and its log."""
        self.write(3)
        old = self.log.read_bytes()
        storage, _ = self.load()
        snapshot = Snapshot(
            last=_entry(9).entry_id,
            voters=ChangeVoters(
                voters=frozenset(), learners=frozenset(), addresses={}
            ),
            state=b'state',
        )
        storage.save_snapshot(snapshot, Log(base=snapshot.last))
        storage.close()
        self.log.write_bytes(old)
        _, loaded = self.load()
        self.assertEqual(loaded.snapshot, snapshot)
        self.assertEqual(loaded.log, Log(base=snapshot.last))

    def test_directory_of_another_host_or_in_use(self) -> None:
        """Guards against two nodes that vote with the same identity."""
        storage, _ = self.load()
        with self.assertRaisesRegex(StorageError, 'in use'):
            self.load()
        storage.close()
        with self.assertRaisesRegex(StorageError, 'belongs to host c1'):
            self.load('c2')

    def test_missing_log_is_not_an_empty_disk(self) -> None:
        """Guards against a host that keeps its identity but lost its votes."""
        storage, _ = self.load()
        storage.close()
        self.log.unlink()
        with self.assertRaises(DamagedFileError):
            self.load()


class DamagedLogTest(unittest.TestCase):
    """Start of a host with damaged files."""

    def test_damaged_log_gives_the_host_a_new_identity(self) -> None:
        """Guards against voting after a vote or an entry was lost."""
        with tempfile.TemporaryDirectory() as folder:
            directory = Path(folder)
            first, damage = open_or_reset(directory, HostId('c1'))
            identity = first.load().identity
            first.close()
            self.assertIsNone(damage)
            content = bytearray((directory / 'identity').read_bytes())
            content[-1] ^= 1
            (directory / 'identity').write_bytes(content)
            second, damage = open_or_reset(directory, HostId('c1'))
            self.assertIsNotNone(damage)
            renewed = second.load().identity
            second.close()
            self.assertNotEqual(renewed.incarnation, identity.incarnation)
            self.assertEqual(renewed.host_id, 'c1')

    def test_fleet_state_file_is_optional(self) -> None:
        """Guards against a lost or torn file that prevents a start."""
        with tempfile.TemporaryDirectory() as folder:
            file = FleetStateFile(data_directory=Path(folder))
            self.assertEqual(file.load(), SavedFleetState())
            (Path(folder) / 'directory').write_bytes(b'\x93')
            self.assertEqual(file.load(), SavedFleetState())
            saved = SavedFleetState(
                routes=RoutesRecord(version=RoutesVersion(3), content=b'x')
            )
            file.save(saved)
            self.assertEqual(file.load(), saved)
