"""Tests of errors that no activity handles."""

import unittest

from lavendergate.observability.log import MemoryEventLog
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.supervision.boundary import Boundary
from lavendergate.tests.supervision.process_fixture import ProcessTestCase

_ALL_KINDS = """
import asyncio, logging, threading, warnings

class Faulty:
    def __del__(self):
        raise ValueError('finalizer')

async def fail():
    raise ValueError('task')

def raise_in_thread():
    raise ValueError('thread')

def raise_in_callback():
    raise ValueError('callback')

async def role(process):
    asyncio.create_task(fail())
    asyncio.get_running_loop().call_soon(raise_in_callback)
    threading.Thread(target=raise_in_thread).start()
    Faulty()
    logging.getLogger('hpack').warning('odd %s', 'header')
    logging.getLogger('hpack').warning('odd %s %s', 'header')
    warnings.warn('odd call', RuntimeWarning)
    try:
        raise ValueError('library')
    except ValueError:
        logging.getLogger('grpclib.server').exception('Application error')
    await anyio.sleep(0.2)
    print(sorted(process.boundary.counts.items()), file=sys.stderr)
    process.exit()
"""


class UnhandledErrorsTest(ProcessTestCase):
    """Errors and warnings in a process of its own."""

    def test_each_kind_is_logged_and_counted(self) -> None:
        """Guards against tracebacks on standard error that nobody counts."""
        status, lines, errors = self.run_role(_ALL_KINDS)
        self.assertEqual(status, 0)
        self.assertEqual(
            errors.strip(),
            "[('event loop', 2), ('finalizer', 1), "
            "('grpclib.server', 1), ('thread', 1)]",
        )
        failed = [
            line['fields']['reason']
            for line in lines
            if line['number'] == ProcessEvent.task_failed.number
        ]
        self.assertEqual(
            sorted(failed),
            [
                f'ValueError({kind!r})'
                for kind in (
                    'callback',
                    'finalizer',
                    'library',
                    'task',
                    'thread',
                )
            ],
        )
        warned = [
            line['fields']['library']
            for line in lines
            if line['number'] == ProcessEvent.library_warning.number
        ]
        self.assertEqual(sorted(warned), ['hpack', 'py.warnings'])


class ErrorFloodTest(unittest.TestCase):
    """Many errors of one place."""

    def test_lines_are_limited_and_all_errors_are_counted(self) -> None:
        """Guards against a flood of errors that fills the log."""
        now = 0.0
        events = MemoryEventLog()
        boundary = Boundary(events=events, clock=lambda: now)
        for number in range(1000):
            boundary.report('connection', ValueError(number))
        boundary.report('listener', ValueError('x' * 10_000_000))
        now = 2.0
        boundary.report('connection', ValueError('later'))
        lines = events.fields_of(ProcessEvent.task_failed)
        self.assertEqual(boundary.counts, {'connection': 1001, 'listener': 1})
        self.assertEqual(len(lines), 7)
        self.assertEqual(lines[-1]['suppressed'], 995)
        self.assertLess(max(len(str(line)) for line in lines), 5000)
