"""Tests of stored records that this build cannot read."""

import tempfile
import unittest
from pathlib import Path

import anyio
import msgspec

from lavendergate.controllers.control_node import ControlNode
from lavendergate.core.bounds.decoding import InvalidValueError
from lavendergate.core.commands import ChangeVoters
from lavendergate.core.consensus.log import Log
from lavendergate.core.consensus.payload import NO_OPERATION, decode_command
from lavendergate.core.consensus.types import (
    ConsensusTerm,
    Entry,
    EntryId,
    Snapshot,
)
from lavendergate.core.control_state import decode_state
from lavendergate.core.tokens import (
    EMPTY_TOKEN,
    TokenKey,
    TokenKeys,
    sign_token,
    verify_token,
)
from lavendergate.core.types import HostId
from lavendergate.rpc.announcement_signature import (
    _signature,
    verify_announcement,
)
from lavendergate.rpc.transport import GrpcTransport
from lavendergate.storage.base import (
    DamagedFileError,
    UnreadableLogError,
    UnreadableRecordError,
)
from lavendergate.storage.files import FileStorage
from lavendergate.storage.framing import encode_frame
from lavendergate.storage.recovery import open_or_reset

_NESTED = b'\x91' * 5000 + b'\xc0'
_NEWER_COMMAND = msgspec.msgpack.encode({'type': 'NewerCommand', 'x': 1})
_VOTERS = ChangeVoters(
    voters=frozenset((HostId('c1'),)), learners=frozenset(), addresses={}
)
_FIRST = EntryId(term=ConsensusTerm(1), index=1)


class _StoredTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name) / 'c1'

    def storage(self) -> FileStorage:
        storage = FileStorage(directory=self.directory, host_id=HostId('c1'))
        storage.load()
        self.addCleanup(storage.close)
        return storage


class RecordTest(_StoredTest):
    """Records whose structure cannot be decoded."""

    def test_unreadable_record_is_named_and_all_files_are_kept(self) -> None:
        """Guards against a downgrade that deletes the log of a host."""
        for name in ('identity', 'log', 'snapshot'):
            for content in (
                _NESTED,
                b'\xc1',
                msgspec.msgpack.encode([1 << 63]),
            ):
                with self.subTest(name=name, content=content[:3]):
                    self.storage().close()
                    path = self.directory / name
                    whole = path.read_bytes() if path.exists() else None
                    path.write_bytes(encode_frame(content))
                    kept = self.files()
                    text = f'{path}: .* Keep the data directory'
                    with self.assertRaisesRegex(UnreadableRecordError, text):
                        self.storage()
                    with self.assertRaisesRegex(UnreadableRecordError, text):
                        open_or_reset(self.directory, HostId('c1'))
                    self.assertEqual(self.files(), kept)
                    path.unlink()
                    if whole is not None:
                        path.write_bytes(whole)

    def test_damaged_record_still_resets_the_host(self) -> None:
        """Guards against a host that votes with a log that lost records."""
        for name in ('identity', 'log', 'snapshot'):
            with self.subTest(name=name):
                self.storage().close()
                path = self.directory / name
                frame = bytearray(encode_frame(_NESTED))
                frame[-1] ^= 1
                path.write_bytes(frame)
                storage, damage = open_or_reset(self.directory, HostId('c1'))
                self.assertIsNotNone(damage)
                storage.load()
                storage.close()

    def files(self) -> dict[str, bytes]:
        """Return the content of each file of the directory."""
        return {
            path.name: path.read_bytes() for path in self.directory.iterdir()
        }


class LogTest(_StoredTest):
    """Entries of the replicated log that every host of the group holds."""

    def start(self) -> None:
        """Start a control host from the directory."""
        node = ControlNode(
            host_id=HostId('c1'),
            address='127.0.0.1:1',
            transport=GrpcTransport(),
            data_directory=self.directory,
        )

        async def run() -> None:
            with anyio.move_on_after(5):
                await node.run()

        anyio.run(run)

    def assert_refused(self, part: str) -> None:
        """Expect a refusal that names the directory, and no reset."""
        text = f'{part} from {self.directory}: .* Keep the data directory'
        with self.assertRaisesRegex(UnreadableLogError, text):
            self.start()
        storage, damage = open_or_reset(self.directory, HostId('c1'))
        storage.close()
        self.assertIsNone(damage)

    def test_entry_of_a_newer_build_is_refused_and_kept(self) -> None:
        """Guards against a downgrade that empties all control hosts."""
        for payload in (_NEWER_COMMAND, _NESTED):
            storage = self.storage()
            storage.append(
                (Entry(index=1, term=ConsensusTerm(1), payload=payload),)
            )
            storage.sync()
            storage.close()
            self.assert_refused('entry 1')

    def test_odd_configuration_is_refused_and_kept(self) -> None:
        """Guards against a host that ends at each start without a remedy."""
        storage = self.storage()
        odd = Entry(
            index=1,
            term=ConsensusTerm(1),
            payload=NO_OPERATION,
            is_configuration=True,
        )
        storage.append((odd,))
        storage.sync()
        storage.close()
        self.assert_refused('entry 1')

    def test_snapshot_of_a_newer_build_is_refused_and_kept(self) -> None:
        """Guards against a downgrade that empties all control hosts."""
        storage = self.storage()
        snapshot = Snapshot(last=_FIRST, voters=_VOTERS, state=_NEWER_COMMAND)
        storage.save_snapshot(snapshot, Log(base=_FIRST))
        storage.close()
        self.assert_refused('the snapshot')

    def test_decoders_raise_only_their_documented_error(self) -> None:
        """Guards against errors that the driver of the log does not know."""
        for decode in (decode_command, decode_state):
            for content in (_NESTED, b'', b'\xc1', _NEWER_COMMAND):
                with self.assertRaises(InvalidValueError):
                    decode(content)

    def test_damage_and_unreadable_entries_differ(self) -> None:
        """Guards against a reset for an entry that the whole group holds."""
        for error_type in (UnreadableLogError, UnreadableRecordError):
            self.assertFalse(issubclass(error_type, DamagedFileError))


class SignedContentTest(unittest.TestCase):
    """Tokens and announcements with a valid signature and odd content."""

    def test_odd_tokens_are_refused(self) -> None:
        """Guards against a caller's token that ends its proxy."""
        keys = TokenKeys(signing=TokenKey(key_id='k', secret=b's' * 16))
        valid = sign_token(EMPTY_TOKEN, keys)
        odd = ('\ud800', f'v1.k.\ud800.{"a" * 22}', 'v1.k.٣.é', f'{valid}é')
        for text in odd:
            self.assertTrue(verify_token(text, keys).is_err(), text)

    def test_odd_signed_announcement_is_refused(self) -> None:
        """Guards against an agent of another build that ends a host."""
        key = b'k' * 16
        for payload in (_NESTED, b'', b'\xc1', msgspec.msgpack.encode([1])):
            signed = _signature(payload, key) + payload
            self.assertIsNone(verify_announcement(signed, key))
