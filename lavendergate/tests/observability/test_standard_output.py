"""Tests of log lines whose reader stalls, goes away or was never there."""

import contextlib
import json
import os
import subprocess
import sys
import unittest
from functools import partial
from typing import Any

from lavendergate.core.types import HostId
from lavendergate.observability.file_log import JsonEventLog
from lavendergate.observability.process_clock import ProcessClock
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.observability.standard_output import LineStream

# Longer than the part of a pipe that is written atomically.
_LONG = 'x' * 40_000
_RESERVE = """
import os, socket, sys
from lavendergate.observability.standard_output import (
    reserve_standard_descriptors,
)

reserve_standard_descriptors()
print('to standard error', file=sys.stderr)
sys.exit(0 if socket.socket().fileno() > 2 else 7)
"""


def _close_all(descriptors: tuple[int, ...]) -> None:
    for descriptor in descriptors:
        os.close(descriptor)


class StalledReaderTest(unittest.TestCase):
    """A pipe that is full for a while."""

    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        self.log = JsonEventLog(
            host=HostId('a'), clock=ProcessClock(), stream=LineStream(writer)
        )

    def test_line_after_a_partly_written_one_is_whole(self) -> None:
        """Guards against a line that is appended to the half of another."""
        for _ in range(8):
            self.emit(_LONG)
        lines = self.read()
        self.emit('after')
        lines += self.read()
        os.close(self.reader)
        events = [json.loads(line) for line in lines.splitlines()]
        reasons = [event['fields'].get('reason') for event in events]
        self.assertEqual(reasons.count('after'), 1)
        self.assertIn('events_dropped', {e['message_type'] for e in events})

    def test_dropped_lines_are_counted(self) -> None:
        """Guards against lines that are lost without a trace."""
        for number in range(2000):
            self.emit(f'line {number}')
        lines = self.read()
        self.emit('after')
        lines += self.read()
        os.close(self.reader)
        events: list[dict[str, Any]] = list(map(json.loads, lines.splitlines()))
        *written, after, dropped = events
        self.assertEqual(after['fields']['reason'], 'after')
        self.assertEqual(dropped['number'], ProcessEvent.events_dropped.number)
        self.assertEqual(len(written) + dropped['fields']['dropped'], 2000)

    def test_reader_that_goes_away_ends_nothing(self) -> None:
        """Guards against an error of the log that reaches the caller."""
        os.close(self.reader)
        self.emit('nobody reads this')

    def test_log_opens_on_a_closed_descriptor(self) -> None:
        """Guards against an end of the process by its first log line."""
        os.close(self.reader)
        closed = os.open(os.devnull, os.O_RDONLY)
        os.close(closed)
        log = JsonEventLog(
            host=HostId('a'), clock=ProcessClock(), stream=LineStream(closed)
        )
        log.emit(ProcessEvent.process_stopped)

    def test_field_that_json_does_not_hold_is_written_as_text(self) -> None:
        """Guards against the loss of just the line that names an odd value."""
        self.emit('half a character: \ud800')
        self.log.emit(ProcessEvent.events_dropped, dropped=10**21, reason='')
        half, wide = map(json.loads, self.read().splitlines())
        os.close(self.reader)
        self.assertIn('ud800', half['fields']['reason'])
        self.assertEqual(wide['fields']['dropped'], str(10**21))

    def emit(self, reason: str) -> None:
        self.log.emit(ProcessEvent.process_stopped, reason=reason)

    def read(self) -> bytes:
        os.set_blocking(self.reader, False)
        content = b''
        with contextlib.suppress(BlockingIOError):
            while part := os.read(self.reader, 65_536):
                content += part
        return content


class ClosedDescriptorTest(unittest.TestCase):
    """Standard descriptors that are closed when the process starts."""

    def test_socket_does_not_get_a_standard_number(self) -> None:
        """Guards against log lines that are written into a socket."""
        for closed in ((1,), (2,), (0, 1, 2)):
            with self.subTest(closed=closed):
                ended = subprocess.run(
                    [sys.executable, '-c', _RESERVE],
                    preexec_fn=partial(_close_all, closed),
                    stderr=subprocess.PIPE,
                    check=False,
                )
                self.assertEqual(ended.returncode, 0)
