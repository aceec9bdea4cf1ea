"""Tests of the event log, the timeline, the metrics and the catalogues."""

import io
import json
import socket
import tempfile
import unittest
from datetime import UTC, datetime
from pathlib import Path

from lavendergate.core import hybrid_clock
from lavendergate.core.types import HostId
from lavendergate.observability.catalogue import events_page, metrics_page
from lavendergate.observability.events import (
    FailoverEvent,
    Level,
    ProcessEvent,
    SettingsEvent,
    StatementEvent,
)
from lavendergate.observability.file_log import JsonEventLog, open_event_log
from lavendergate.observability.metrics import Metric, StatsdMetrics
from lavendergate.observability.process_clock import ProcessClock
from lavendergate.observability.timeline import Filter, read_timeline
from lavendergate.observability.timeline_views import (
    render_html,
    render_json,
    render_text,
)

DOCS = Path(__file__).parents[2] / 'docs'


class CataloguePageTest(unittest.TestCase):
    """Generated pages of events and metrics."""

    def test_pages_match_the_code(self) -> None:
        """Guards against pages that were not regenerated after a change."""
        self.assertEqual((DOCS / 'events.md').read_text(), events_page())
        self.assertEqual((DOCS / 'metrics.md').read_text(), metrics_page())


class BrokenStream(io.BytesIO):
    """Stream whose writes fail while `is_broken` is set."""

    is_broken = False

    def write(self, data: object) -> int:
        if self.is_broken:
            raise OSError('no space left')
        return super().write(data)  # type: ignore[arg-type]


class FileLogTest(unittest.TestCase):
    """Writing of event files."""

    def setUp(self) -> None:
        """Create a log that writes to a stream."""
        self.stream = BrokenStream()
        self.log = JsonEventLog(
            host=HostId('entry-1'),
            clock=ProcessClock(wall_ms=lambda: 7),
            stream=self.stream,
            wall_clock=lambda: datetime(2026, 5, 4, tzinfo=UTC),
        )

    def lines(self) -> list[dict[str, object]]:
        """Return the written lines."""
        return [
            json.loads(line) for line in self.stream.getvalue().splitlines()
        ]

    def test_line_holds_all_parts(self) -> None:
        """Guards against lines that the timeline cannot order or show."""
        self.log.emit(
            FailoverEvent.term_begun, group='g', term=4, reason='probes'
        )
        line = self.lines()[0]
        self.assertEqual(line['number'], 4010)
        self.assertEqual(line['message_type'], 'term_begun')
        self.assertEqual(line['host'], 'entry-1')
        self.assertEqual(line['clock'], hybrid_clock.pack(7))
        self.assertEqual(line['text'], 'term 4 of group g has begun: probes')

    def test_failures_reach_neither_caller_nor_other_lines(self) -> None:
        """Guards against a full disk that fails statements or later events."""
        self.stream.is_broken = True
        self.log.emit(ProcessEvent.drain_done, duration_ms=1)
        self.stream.is_broken = False
        self.log.emit(ProcessEvent.process_stopped, reason='signal')
        self.assertEqual(
            [line['number'] for line in self.lines()], [7020, 7032]
        )

    def test_secrets_and_debug_events_are_left_out(self) -> None:
        """Guards against credentials and debug events in event files."""
        self.log.emit(
            SettingsEvent.settings_refused, reason='x', admin_password='hunter2'
        )
        self.log.emit(StatementEvent.statement_done, group='g', duration_ms=1)
        self.assertNotIn(b'hunter2', self.stream.getvalue())
        self.assertEqual(len(self.lines()), 1)


class TimelineTest(unittest.TestCase):
    """Merging, filtering and rendering of event files."""

    def setUp(self) -> None:
        """Write the files of two processes that exchange a message."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.root = Path(directory.name)
        control_clock = ProcessClock(wall_ms=lambda: 5000)
        # The proxy's wall clock is 900 ms slow.
        proxy_clock = ProcessClock(wall_ms=lambda: 4100)
        control = self.open('control-1', control_clock)
        proxy = self.open('entry-1', proxy_clock)
        control.emit(
            FailoverEvent.primary_confirmed, upstream='u2', group='g', term=2
        )
        proxy_clock.receive(control_clock.stamp())
        proxy.emit(
            FailoverEvent.primary_adopted, upstream='u2', group='g', term=2
        )
        proxy.emit(
            StatementEvent.statement_unknown,
            group='h',
            reason='<deadline>',
            request_id='r-1',
        )

    def open(self, host: str, clock: ProcessClock) -> JsonEventLog:
        """Open the log of a host."""
        return open_event_log(
            host=HostId(host),
            clock=clock,
            data_directory=self.root / host,
            min_level=Level.debug,
        )

    def numbers(self, selection: Filter) -> list[int]:
        """Return the numbers of the selected events."""
        timeline = read_timeline([self.root], selection)
        return [line.number for line in timeline.lines]

    def test_cause_comes_before_effect(self) -> None:
        """Guards against sorting by the wall clocks of different hosts."""
        self.assertEqual(self.numbers(Filter()), [4023, 4050, 1012])

    def test_filters(self) -> None:
        """Guards against filters that select the wrong lines."""
        wall = datetime.fromtimestamp(5, UTC)
        later = datetime.fromtimestamp(6, UTC)
        cases: tuple[tuple[Filter, list[int]], ...] = (
            (Filter(fields={'group': 'g'}), [4023, 4050]),
            (Filter(fields={'request_id': 'r-1', 'session': ''}), [1012]),
            (Filter(host='entry-1'), [4050, 1012]),
            (Filter(numbers=frozenset({4})), [4023, 4050]),
            (Filter(numbers=frozenset({1012})), [1012]),
            (Filter(since=wall, until=later), [4023, 4050, 1012]),
            (Filter(since=later), []),
        )
        for selection, expected in cases:
            self.assertEqual(self.numbers(selection), expected, selection)

    def test_torn_line_is_noted_and_ended_at_restart(self) -> None:
        """Guards against a torn line that makes later events unreadable."""
        path = self.root / 'entry-1' / 'events' / 'entry-1.jsonl'
        with path.open('ab') as stream:
            stream.write(b'{"clock": 99')
        timeline = read_timeline([self.root])
        self.assertEqual(len(timeline.lines), 3)
        self.assertTrue(timeline.skipped[0].torn)
        clock = ProcessClock(wall_ms=lambda: 0)
        self.open('entry-1', clock).emit(ProcessEvent.process_stopped)
        timeline = read_timeline([self.root])
        self.assertEqual(timeline.lines[-1].number, 7020)
        self.assertEqual(timeline.skipped[0].damaged, 1)
        self.assertIn('1 lines are not readable', render_text(timeline))

    def test_views_show_all_events(self) -> None:
        """Guards against unescaped fields and missing events."""
        timeline = read_timeline([self.root])
        page = render_html(timeline)
        self.assertEqual(page.count('<tr>'), 4)
        self.assertIn('&lt;deadline&gt;', page)
        self.assertNotIn('<deadline>', page)
        self.assertIn('(request_id=r-1)', render_text(timeline))
        self.assertEqual(len(render_json(timeline).splitlines()), 3)


class MetricsTest(unittest.TestCase):
    """Metrics sent to a loopback datagram socket."""

    def test_datagram_and_closed_socket(self) -> None:
        """Guards against wrong names, and against exceptions from `send`."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(('127.0.0.1', 0))
            server.settimeout(5)
            port = server.getsockname()[1]
            metrics = StatsdMetrics(ip='127.0.0.1', port=port, host='e.1')
            metrics.send(Metric.statements_done, label='g-1')
            name = b'lavendergate.e_1.statements.done.g_1'
            self.assertEqual(server.recv(200), name + b':1|c')
            metrics.send(Metric.settings_age, 2.5)
            self.assertIn(b'settings.age:2.5|g', server.recv(200))
        metrics._client.close()
        metrics.send(Metric.statements_done, label='g-1')
