"""Tests of the last line of a process and the first one of the next."""

import signal
from unittest import mock

from lavendergate.daemon.hosted_process import EXIT_FAILED
from lavendergate.daemon.process_end import ProcessEnd
from lavendergate.observability.log import MemoryEventLog
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.storage.end_record import EndRecord, EndRecordFile
from lavendergate.supervision.error_text import place_of
from lavendergate.tests.supervision.process_fixture import ProcessTestCase

_FAILING = """
async def fail():
    raise ValueError('odd value')

async def role(process):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fail)
"""


class ProcessEndTest(ProcessTestCase):
    """Ends of processes with a data directory."""

    def test_own_end_is_the_last_line_and_the_next_first_one(self) -> None:
        """Guards against a process that ends without telling why."""
        status, lines, errors = self.run_role(_FAILING)
        self.assertEqual(status, EXIT_FAILED)
        self.assertEqual(errors, '')
        self.assertEqual(
            lines[-1]['number'], ProcessEvent.process_failed.number
        )
        self.assertEqual(
            lines[-1]['fields']['reason'], "ValueError('odd value')"
        )
        self.assertIn('fail', lines[-1]['fields']['place'])
        _, lines, _ = self.run_role(_FAILING)
        self.assertEqual(
            lines[0]['number'], ProcessEvent.previous_failure.number
        )
        self.assertEqual(lines[0]['fields']['status'], EXIT_FAILED)
        self.assertEqual(
            lines[0]['fields']['reason'], "ValueError('odd value')"
        )

    def test_place_is_in_this_package_where_a_library_fails(self) -> None:
        """Guards against a place that names only a function of a library."""
        error: Exception = ExceptionGroup('tasks', [OSError(24, 'accept')])
        try:
            raise error
        except ExceptionGroup as raised:
            place = place_of(raised)
        self.assertIn('test_process_end.py', place)
        self.assertIn('test_place_is_in_this_package', place)

    def test_stop_by_a_signal_is_told_at_the_next_start(self) -> None:
        """Guards against a planned stop that looks like a crash."""
        status, lines = self.signal_role(signal.SIGTERM)
        self.assertEqual(status, 0)
        self.assertEqual(
            lines[-1]['number'], ProcessEvent.process_stopped.number
        )
        self.assertEqual(lines[-1]['fields']['reason'], 'SIGTERM')
        _, lines = self.signal_role(signal.SIGTERM)
        self.assertEqual(lines[0]['number'], ProcessEvent.previous_stop.number)
        self.assertEqual(lines[0]['fields']['reason'], 'SIGTERM')

    def test_kill_is_told_as_an_end_without_a_record(self) -> None:
        """Guards against the record of an earlier end told after a kill."""
        self.signal_role(signal.SIGTERM)
        self.data.joinpath('log').mkdir()
        self.signal_role(signal.SIGKILL)
        _, lines = self.signal_role(signal.SIGTERM)
        self.assertEqual(
            lines[0]['number'], ProcessEvent.previous_end_unknown.number
        )

    def test_damaged_record_is_reported_as_such(self) -> None:
        """Guards against a start that a torn record prevents."""
        file = EndRecordFile(data_directory=self.data)
        record = EndRecord(status=0, reason='SIGTERM', place='', ended_at='')
        file.save(record)
        path = self.data / 'last-end'
        whole = path.read_bytes()
        for content in (b'', whole[:-1], whole[:20] + b'?' * 4000, b'[' * 9000):
            path.write_bytes(content)
            events = MemoryEventLog()
            end = ProcessEnd(data_dir=str(self.data), events=events)
            end.report_previous()
            self.assertEqual(end.previous, 'unknown')
            (fields,) = events.fields_of(ProcessEvent.previous_end_unknown)
            self.assertIn('damaged', str(fields['reason']))

    def test_first_start_tells_of_no_end(self) -> None:
        """Guards against an alarm at the first start of a host."""
        events = MemoryEventLog()
        end = ProcessEnd(data_dir=str(self.data), events=events)
        end.report_previous()
        self.assertEqual((end.previous, events.occurrences), ('none', ()))

    def test_full_disk_costs_only_the_record(self) -> None:
        """Guards against a stop that fails since its record does."""
        end = ProcessEnd(data_dir=str(self.data), events=MemoryEventLog())
        with mock.patch.object(EndRecordFile, 'save', side_effect=OSError(28)):
            end.save(status=0, reason='SIGTERM')
        end.report_previous()
        self.assertEqual(end.previous, 'none')


class SignalTest(ProcessTestCase):
    """Signals that come in series or together."""

    def test_series_of_signals_stops_once_with_status_0(self) -> None:
        """Guards against a drain that a further signal cuts off."""
        hangup, terminate = signal.SIGHUP, signal.SIGTERM
        for numbers in (
            (hangup,) * 30 + (terminate,),
            (terminate, hangup, terminate, hangup),
            (signal.SIGINT, terminate, signal.SIGINT),
        ):
            with self.subTest(numbers=numbers[-3:]):
                status, lines = self.signal_role(*numbers)
                self.assertEqual(status, 0)
                self.assertEqual(
                    lines[-1]['number'], ProcessEvent.process_stopped.number
                )
