"""Tests of state that the build f0f2d71 left, which had no bounds."""

import tempfile
import unittest
import zlib
from collections.abc import Sequence
from pathlib import Path

import msgspec

from lavendergate.core.fleet_directory import (
    DepartureStage,
    FleetDirectory,
    MemberEntry,
    merge,
)
from lavendergate.observability.log import MemoryEventLog
from lavendergate.rpc.codec import MessagePackCodec
from lavendergate.rpc.fleet_service import MergeRequest, SyncReply
from lavendergate.storage.fleet_state_file import FleetStateFile
from lavendergate.supervision.odd_values import OddValueLog
from lavendergate.tests.bounds.odd_messages import (
    ODD_FIELDS,
    earlier_entries,
    earlier_entry,
    earlier_sync_reply,
)


class _Reports:
    def __init__(self) -> None:
        self.problems: dict[str, tuple[str, ...]] = {}

    def add(self, place: str, problems: Sequence[str]) -> None:
        self.problems[place] = tuple(problems)


def ids(entries: tuple[MemberEntry, ...]) -> list[str]:
    """Return the ids of entries."""
    return [entry.upstream_id for entry in entries]


class EarlierEntriesTest(unittest.TestCase):
    """Entries of members that other hosts and files still hold."""

    def setUp(self) -> None:
        self.reports = _Reports()
        self.codec = MessagePackCodec(report=self.reports.add)

    def test_answer_with_odd_entries_keeps_the_others(self) -> None:
        """Guards against a host that no longer follows an older leader."""
        content = msgspec.msgpack.encode(earlier_sync_reply())
        reply: SyncReply = self.codec.decode(content, SyncReply)
        self.assertEqual(ids(reply.entries), ['i-1', 'i-2'])
        self.assertEqual([one.service for one in reply.primaries], ['s1'])
        self.assertEqual(len(reply.positions), 1)
        self.assertEqual(reply.lease_ms, 500)
        problems = self.reports.problems['SyncReply']
        self.assertEqual(len(problems), len(ODD_FIELDS) + 1)
        self.assertLess(max(map(len, problems)), 300)

    def test_forwarded_odd_entries_are_dropped(self) -> None:
        """Guards against an older host whose entries end the leader."""
        content = msgspec.msgpack.encode([earlier_entries()])
        request: MergeRequest = self.codec.decode(content, MergeRequest)
        self.assertEqual(ids(request.entries), ['i-1', 'i-2'])
        directory, _ = merge(FleetDirectory(), request.entries)
        self.assertEqual(len(directory.entries), 2)

    def test_file_with_odd_entries_restores_the_others(self) -> None:
        """Guards against a control host that ends again at each start."""
        routes = {'version': 3, 'content': zlib.compress(b'{}')}
        content = {'entries': earlier_entries(), 'routes': routes}
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder)
            (path / 'directory').write_bytes(msgspec.msgpack.encode(content))
            saved = FleetStateFile(
                data_directory=path, report=self.reports.add
            ).load()
            self.assertEqual(ids(saved.entries), ['i-1', 'i-2'])
            self.assertEqual(saved.routes.version, 3)
            self.assertEqual(
                len(self.reports.problems['directory']), len(ODD_FIELDS)
            )
            nested = b'\x81\xa1x' + b'\x91' * 5000 + b'\xc0'
            (path / 'directory').write_bytes(nested)
            self.assertEqual(
                FleetStateFile(data_directory=path).load().entries, ()
            )

    def test_fields_of_a_newer_build_are_ignored(self) -> None:
        """Guards against an update in which hosts drop each other's answers."""
        terms = [7, 6]
        unfollowed = ['rounds']
        present = [*earlier_sync_reply(), *terms, unfollowed]
        self.assertEqual(len(present), len(SyncReply.__struct_fields__))
        newer = [*present, {'new': 1}]
        reply = self.codec.decode(msgspec.msgpack.encode(newer), SyncReply)
        self.assertEqual(ids(reply.entries), ['i-1', 'i-2'])

    def test_valid_entry_is_what_the_earlier_build_wrote(self) -> None:
        """Guards against a rolling update that changes the format."""
        content = msgspec.msgpack.encode(earlier_entry())
        entry = msgspec.msgpack.decode(content, type=MemberEntry)
        written = msgspec.msgpack.decode(msgspec.msgpack.encode(entry))
        # The earlier build ignores fields after those that it knows.
        fields = msgspec.msgpack.decode(content)
        self.assertEqual(written[: len(fields)], fields)
        self.assertEqual(written[len(fields) :], [DepartureStage.none])


class OddValueLogTest(unittest.TestCase):
    """Log lines about dropped values."""

    def test_repeated_values_do_not_fill_the_log(self) -> None:
        """Guards against a log line with each answer of an older host."""
        now = [0.0]
        events = MemoryEventLog()
        log = OddValueLog(events=events, clock=lambda: now[0])
        for _ in range(100):
            log.report('SyncReply', ('a',))
        log.report('directory', ('b', 'c'))
        log.report('directory', ())
        now[0] = 11.0
        log.report('SyncReply', ('a',))
        self.assertEqual(
            [one.fields['dropped'] for one in events.occurrences], [1, 2, 100]
        )
