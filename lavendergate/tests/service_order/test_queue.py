"""Decisions of a member's queue; no network and no clock."""

import random
import unittest

from lavendergate.core.customers.table import CustomerName
from lavendergate.core.service_order.drain import DrainRate
from lavendergate.core.service_order.fair_share import Ticket
from lavendergate.core.service_order.order import TURNS_PER_LESS_URGENT
from lavendergate.core.service_order.queue import ServiceQueue
from lavendergate.core.sessions.context import (
    SYSTEM_CONTEXT,
    StatementContext,
)

URGENT = StatementContext(route_priority=0)
USUAL = StatementContext(route_priority=1)
LEAST = StatementContext(route_priority=2)


def of_customer(name: str, *, priority: int = 0) -> StatementContext:
    """Return the context of a customer's statement."""
    return StatementContext(
        customer=CustomerName(name),
        customer_priority=priority,
        route_priority=1,
    )


class QueueCase(unittest.TestCase):
    """A queue for a member whose slots are all busy."""

    def make_queue(self, limit: int = 1) -> ServiceQueue:
        """Return a queue whose turns are all taken."""
        queue = ServiceQueue(limit=limit)
        for _ in range(limit):
            self.assertTrue(queue.try_start(SYSTEM_CONTEXT))
        return queue

    def add(
        self,
        queue: ServiceQueue,
        context: StatementContext = SYSTEM_CONTEXT,
        *,
        deadline: float = 1,
        is_new: bool = True,
    ) -> Ticket:
        """Add a waiting statement."""
        return queue.enqueue(is_new=is_new, deadline=deadline, context=context)

    def take(self, queue: ServiceQueue, now: float = 0) -> Ticket:
        """End a turn and return the ticket of the next one."""
        queue.finish(now)
        ticket = queue.take_next()
        assert ticket is not None
        return ticket


class TurnTest(QueueCase):
    """Turns of statements of one class."""

    def test_least_remaining_time_goes_first(self) -> None:
        """Guards against statements that expire behind later ones."""
        queue = self.make_queue()
        late = self.add(queue, deadline=9)
        soon = self.add(queue, deadline=3)
        self.assertIs(self.take(queue), soon)
        self.assertIs(self.take(queue), late)

    def test_open_transactions_go_before_new_statements(self) -> None:
        """Guards against transactions that hold all connections and wait."""
        queue = self.make_queue()
        self.add(queue, URGENT, deadline=1)
        opened = self.add(queue, LEAST, is_new=False, deadline=9)
        self.assertIs(self.take(queue), opened)

    def test_new_statement_does_not_overtake_those_that_wait(self) -> None:
        """Guards against a queue that starves under constant arrivals."""
        queue = self.make_queue()
        self.add(queue)
        queue.finish(0)
        self.assertFalse(queue.try_start(URGENT))

    def test_cancelled_statement_takes_no_turn(self) -> None:
        """Guards against turns that are lost to callers that gave up."""
        queue = self.make_queue()
        cancelled = self.add(queue, deadline=1)
        waiting = self.add(queue, deadline=2)
        queue.cancel(cancelled)
        self.assertEqual(queue.waiting_count, 1)
        self.assertIs(self.take(queue), waiting)
        self.assertEqual(queue.running, 1)

    def test_limit_may_change_at_any_time(self) -> None:
        """Guards against a lowered limit that ends or loses turns."""
        queue = self.make_queue(limit=3)
        self.add(queue)
        queue.limit = 2
        queue.finish(0)
        self.assertIsNone(queue.take_next())
        queue.limit = None
        self.assertIsNotNone(queue.take_next())
        self.assertEqual(queue.running, 3)


class ClassTest(QueueCase):
    """A burst of one class while another one has statements, too."""

    def test_burst_of_less_urgent_class_does_not_delay_urgent_one(
        self,
    ) -> None:
        """Load: 200 dashboards wait when a purchase arrives.

        Guards against urgent statements behind less urgent ones.
        """
        queue = self.make_queue()
        for _ in range(200):
            self.add(queue, LEAST, deadline=0.5)
        urgent = self.add(queue, URGENT, deadline=5)
        self.assertLess(queue.expected_wait_s(URGENT, 0.02, 0), 0.05)
        self.assertGreater(queue.expected_wait_s(LEAST, 0.02, 0), 4)
        self.assertIs(self.take(queue), urgent)

    def test_customer_priority_decides_within_a_route_priority(self) -> None:
        """Guards against customers' priorities that have no effect."""
        queue = self.make_queue()
        self.add(queue, of_customer('a', priority=2), deadline=1)
        preferred = self.add(queue, of_customer('b', priority=1), deadline=9)
        urgent = self.add(queue, URGENT, deadline=9)
        self.assertIs(self.take(queue), urgent)
        self.assertIs(self.take(queue), preferred)

    def test_less_urgent_classes_do_not_starve(self) -> None:
        """Load: urgent statements always wait.

        Guards against a class that is never served.
        """
        queue = self.make_queue()
        self.add(queue, USUAL)
        self.add(queue, LEAST)
        turns = 2 * TURNS_PER_LESS_URGENT
        for _ in range(turns):
            self.add(queue, URGENT)
        served = [self.take(queue).context for _ in range(turns)]
        self.assertEqual(served.count(URGENT), turns - 2)
        self.assertIn(USUAL, served)
        self.assertIn(LEAST, served)

    def test_wait_of_a_class_grows_with_more_urgent_load(self) -> None:
        """Guards against a promise that urgent arrivals break."""
        queue = self.make_queue()
        self.add(queue, LEAST)
        before_s = queue.expected_wait_s(LEAST, 0.02, 0)
        for turn in range(50):
            self.add(queue, URGENT)
            self.take(queue, now=turn * 0.02)
        self.assertGreater(queue.expected_wait_s(LEAST, 0.02, 1), 2 * before_s)


class CustomerTest(QueueCase):
    """Customers of one class that compete for a member."""

    def test_rush_of_one_customer_does_not_delay_others(self) -> None:
        """Load: one customer sends 100 statements, two others 3 each.

        Guards against a customer that takes the turns of all.
        """
        queue = self.make_queue()
        for _ in range(100):
            self.add(queue, of_customer('rush'), deadline=0.5)
        for name in ('b', 'c'):
            for _ in range(3):
                self.add(queue, of_customer(name), deadline=2)
        self.assertLess(
            queue.expected_wait_s(of_customer('b'), 0.02, 0),
            queue.expected_wait_s(of_customer('rush'), 0.02, 0) / 5,
        )
        served = [self.take(queue).context.customer for _ in range(9)]
        for name in ('rush', 'b', 'c'):
            self.assertEqual(served.count(CustomerName(name)), 3)

    def test_idle_customer_saves_no_turns(self) -> None:
        """Guards against a long idle customer that then takes all turns."""
        queue = self.make_queue()
        for _ in range(40):
            self.add(queue, of_customer('busy'))
        for _ in range(20):
            self.take(queue)
        for _ in range(10):
            self.add(queue, of_customer('idle'))
        served = [self.take(queue).context.customer for _ in range(10)]
        self.assertEqual(served.count(CustomerName('busy')), 5)


class WaitTest(QueueCase):
    """Predicted waits, on which refusals depend."""

    def test_wait_grows_with_the_queue(self) -> None:
        """Guards against accepting statements that must expire."""
        queue = self.make_queue(limit=2)
        for _ in range(10):
            self.add(queue)
        self.assertAlmostEqual(
            queue.expected_wait_s(SYSTEM_CONTEXT, 0.02, 0), 0.11
        )
        self.assertEqual(
            ServiceQueue().expected_wait_s(SYSTEM_CONTEXT, 0.02, 0), 0
        )

    def test_measured_rate_replaces_the_assumed_one(self) -> None:
        """Load: a member that is ten times slower than assumed.

        Guards against a queue that admits what a slow member cannot serve.
        """
        queue = self.make_queue()
        for _ in range(40):
            self.add(queue)
        for turn in range(30):
            self.take(queue, now=turn * 0.2)
        now = 29 * 0.2
        self.assertAlmostEqual(
            queue.expected_wait_s(SYSTEM_CONTEXT, 0.02, now), 11 * 0.2
        )

    def test_old_rate_is_forgotten(self) -> None:
        """Guards against refusals by the pace of a past fault."""
        rate = DrainRate()
        for turn in range(30):
            rate.record_end(turn * 0.5, is_backlogged=True)
        self.assertAlmostEqual(rate.interval_s(15, 0.02), 0.5)
        self.assertAlmostEqual(rate.interval_s(17, 0.02), 0.02)

    def test_idle_time_does_not_count_as_pace(self) -> None:
        """Guards against a slow pace that is only a lack of arrivals."""
        rate = DrainRate()
        for turn in range(30):
            rate.record_end(turn * 0.5, is_backlogged=False)
        self.assertAlmostEqual(rate.interval_s(14.5, 0.02), 0.02)


class ScheduleTest(unittest.TestCase):
    """Random schedules of arrivals, ends, cancellations and limits."""

    def test_no_turn_and_no_ticket_is_lost(self) -> None:
        """Guards against more turns than the limit, and lost statements."""
        for seed in range(30):
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def play(self, random_source: random.Random) -> None:
        """Play one schedule, then drain the queue."""
        queue = ServiceQueue(limit=random_source.randint(1, 4))
        waiting: set[int] = set()
        tickets: list[Ticket] = []
        contexts = (
            URGENT,
            USUAL,
            LEAST,
            of_customer('a'),
            of_customer('b', priority=1),
        )
        for now in range(400):
            match random_source.choice('aaafcl'):
                case 'a':
                    context = random_source.choice(contexts)
                    if not queue.try_start(context):
                        ticket = queue.enqueue(
                            is_new=random_source.random() < 0.7,
                            deadline=now + random_source.random(),
                            context=context,
                        )
                        tickets.append(ticket)
                        waiting.add(id(ticket))
                case 'f' if queue.running:
                    queue.finish(now)
                case 'c' if tickets:
                    ticket = random_source.choice(tickets)
                    queue.cancel(ticket)
                    waiting.discard(id(ticket))
                case 'l':
                    queue.limit = random_source.randint(1, 4)
            self.start_waiting(queue, waiting)
            self.assertEqual(queue.waiting_count, len(waiting))
        while queue.running:
            queue.finish(400)
            self.start_waiting(queue, waiting)
        self.assertFalse(waiting)

    def start_waiting(self, queue: ServiceQueue, waiting: set[int]) -> None:
        """Start the turns that are free."""
        while ticket := queue.take_next():
            waiting.remove(id(ticket))
            assert queue.limit is not None
            self.assertLessEqual(queue.running, queue.limit)
