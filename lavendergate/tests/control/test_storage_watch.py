"""Tests of the log lines on a control log that waits for its disk."""

import unittest

import anyio
import trio
from trio.testing import MockClock

from lavendergate.controllers.log_storage.watch import StorageWatch
from lavendergate.observability.log import MemoryEventLog
from lavendergate.observability.session_events import SessionEvent


class StorageWatchTest(unittest.TestCase):
    """Reports of writes that the disk does not complete."""

    def test_stalled_write_is_logged_once_and_its_end_too(self) -> None:
        """Guards against a stalled disk that no log line shows.

        Proxies had old routes for 5 s, and no host logged anything.
        """
        events = MemoryEventLog()
        stalls = {2.0: 5.0, 8.0: 8.3}

        async def main() -> None:
            began_at = anyio.current_time()

            def wait_s() -> float:
                now = anyio.current_time() - began_at
                return max(
                    now - start if start <= now < end else 0
                    for start, end in stalls.items()
                )

            watch = StorageWatch(wait_s=wait_s, limit_s=0.7, events=events)
            with anyio.move_on_after(10):
                await watch.run()

        trio.run(main, clock=MockClock(autojump_threshold=0))
        stalled, regained = events.occurrences
        self.assertEqual(stalled.event, SessionEvent.log_storage_stalled)
        self.assertIn(stalled.fields['waited_ms'], range(700, 801))
        self.assertEqual(regained.event, SessionEvent.log_storage_regained)
        self.assertIn(regained.fields['waited_ms'], range(2900, 3001))
