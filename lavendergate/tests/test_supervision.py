"""Tests of background tasks that fail unexpectedly."""

import unittest

import anyio

from lavendergate.observability.log import MemoryEventLog
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.supervision.boundary import Boundary, GuardedTasks


class GuardedTasksTest(unittest.IsolatedAsyncioTestCase):
    """Background tasks of a proxy."""

    async def test_error_in_one_task_ends_no_other(self) -> None:
        """Guards against one bad answer that ends the whole process."""
        events = MemoryEventLog()
        boundary = Boundary(events=events)
        finished: list[str] = []

        async def fail() -> None:
            await anyio.lowlevel.checkpoint()
            raise ValueError('unexpected')

        async def finish(name: str) -> None:
            await anyio.sleep(0.01)
            finished.append(name)

        async with anyio.create_task_group() as tasks:
            guarded = GuardedTasks(tasks=tasks, boundary=boundary)
            guarded.start_soon(fail)
            guarded.start_soon(finish, 'other')
        self.assertEqual(finished, ['other'])
        (fields,) = events.fields_of(ProcessEvent.task_failed)
        self.assertEqual(fields['task'], 'fail')
        self.assertEqual(boundary.counts, {'fail': 1})
