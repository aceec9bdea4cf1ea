"""Tests of the admission queue and the adaptive concurrency limit."""

import unittest

from lavendergate.core.adaptive_limit import AdaptiveLimit
from lavendergate.core.admission import (
    AdmissionQueue,
    AdmissionRequest,
    AdmissionSettings,
    QueueClass,
)
from lavendergate.core.types import CallerId, GroupId


def _request(
    queue_class: QueueClass,
    *,
    caller: str = 'tablet',
    deadline: float = 10,
) -> AdmissionRequest:
    return AdmissionRequest(
        caller_id=CallerId(caller),
        queue_class=queue_class,
        needs_primary=queue_class >= QueueClass.write,
        deadline=deadline,
    )


def _queue(limit: int = 4, concurrency: int = 64) -> AdmissionQueue:
    return AdmissionQueue(
        group_id=GroupId('g'),
        settings=AdmissionSettings(
            queue_limit=limit,
            caller_concurrency=concurrency,
        ),
    )


class AdmissionTest(unittest.TestCase):
    """Order in which statements are started, shed and refused."""

    def test_stale_reads_are_shed_first(self) -> None:
        """Guards against shedding a write while a stale read is queued."""
        queue = _queue(limit=2)
        stale = [_request(QueueClass.stale) for _ in range(2)]
        for request in stale:
            self.assertEqual((), queue.enqueue(request, 0).unwrap())
        write = _request(QueueClass.write)
        self.assertEqual((stale[1],), queue.enqueue(write, 0).unwrap())
        session = _request(QueueClass.session)
        self.assertEqual((stale[0],), queue.enqueue(session, 0).unwrap())
        refused = queue.enqueue(_request(QueueClass.stale), 0).unwrap_err()
        self.assertEqual(9004, refused.code)
        self.assertEqual(
            (write, session), queue.start_queued(0, lambda _: True)
        )

    def test_deadline_that_cannot_be_met(self) -> None:
        """Guards against queueing a statement that must miss its deadline."""
        queue = _queue()
        first = _request(QueueClass.write)
        self.assertTrue(queue.try_start(first, 0, lambda _: True))
        queue.finish(first, 1)
        late = queue.enqueue(_request(QueueClass.write, deadline=2), 1)
        self.assertEqual(9005, late.unwrap_err().code)
        self.assertTrue(queue.enqueue(_request(QueueClass.write), 1).is_ok())

    def test_expired_statements_do_not_start(self) -> None:
        """Guards against running a statement after `not run` was reported."""
        queue = _queue()
        request = _request(QueueClass.session, deadline=1)
        queue.enqueue(request, 0)
        self.assertEqual((), queue.start_queued(1, lambda _: True))
        self.assertTrue(queue.withdraw(request))
        self.assertEqual(0, queue.queued)

    def test_caller_at_its_limit_leaves_room(self) -> None:
        """Guards against one caller that occupies all connections."""
        queue = _queue(concurrency=1)
        first = _request(QueueClass.session, caller='planner')
        self.assertTrue(queue.try_start(first, 0, lambda _: True))
        second = _request(QueueClass.session, caller='planner')
        self.assertFalse(queue.try_start(second, 0, lambda _: True))
        queue.enqueue(second, 0)
        other = _request(QueueClass.session)
        queue.enqueue(other, 0)
        self.assertEqual((other,), queue.start_queued(0, lambda _: True))
        self.assertEqual(9010, queue.expiry_error(second).code)
        queue.finish(first, 0.1)
        self.assertEqual((second,), queue.start_queued(0.1, lambda _: True))

    def test_full_primary_does_not_block_replicas(self) -> None:
        """Guards against replica reads that wait behind queued writes."""
        queue = _queue()
        write, read = _request(QueueClass.write), _request(QueueClass.stale)
        queue.enqueue(write, 0)
        queue.enqueue(read, 0)
        started = queue.start_queued(
            0, lambda request: not request.needs_primary
        )
        self.assertEqual((read,), started)

    def test_queued_writes_leave_the_replicas_busy(self) -> None:
        """Guards against idle replicas while the queue is full of writes."""
        queue = _queue(limit=2)
        for _ in range(2):
            queue.enqueue(_request(QueueClass.write), 0)
        read = _request(QueueClass.session)
        self.assertTrue(queue.try_start(read, 0, lambda _: True))
        late = _request(QueueClass.session)
        self.assertEqual(9004, queue.enqueue(late, 0).unwrap_err().code)

    def test_statement_that_would_end_late(self) -> None:
        """Guards against running a statement that would end too late.

        The measured latency is 1 s, so a statement whose deadline is 0.5 s
        away must not start while another one is running.
        """
        queue = _queue()
        first, second = (_request(QueueClass.write) for _ in range(2))
        self.assertTrue(queue.try_start(first, 0, lambda _: True))
        queue.finish(first, 1)
        self.assertTrue(queue.try_start(second, 1, lambda _: True))
        queue.enqueue(_request(QueueClass.write, deadline=4), 1)
        self.assertEqual((), queue.start_queued(3.5, lambda _: True))
        queue.finish(second, 3.5)
        self.assertEqual(1, len(queue.start_queued(3.5, lambda _: True)))


class AdaptiveLimitTest(unittest.TestCase):
    """Concurrency limit derived from latency."""

    def _run(self, limit: AdaptiveLimit, start: float, ms: float) -> float:
        now = start
        for _ in range(2000):
            now += 0.01
            limit.record(ms, limit.allowed, now)
        return now

    def test_limit_follows_latency(self) -> None:
        """Guards against queues on the member, and a limit that stays at 1."""
        limit = AdaptiveLimit.create(share=16, now=0)
        now = self._run(limit, 0, 2)
        self.assertEqual(16, limit.allowed)
        now = self._run(limit, now, 40)
        self.assertLess(limit.allowed, 8)
        self._run(limit, now, 2)
        self.assertEqual(16, limit.allowed)
