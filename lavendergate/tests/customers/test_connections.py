"""Tests of the connections that customers share."""

import unittest
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

import anyio
import hypothesis
from hypothesis import strategies

from lavendergate.core.customers.connections import (
    find_replaceable,
    find_reusable,
)
from lavendergate.core.customers.table import CustomerName
from lavendergate.core.relays.homes import order_homes
from lavendergate.core.routes import ServiceLimits
from lavendergate.core.sessions.context import (
    SYSTEM_CONTEXT,
    StatementContext,
)
from lavendergate.core.sessions.shares import ConnectionShare, home_share
from lavendergate.core.types import GroupId
from lavendergate.tests.session_fixture import SessionFixture, play

_CUSTOMERS = tuple(CustomerName(f'customer-{one}') for one in range(5))
_NAMES = strategies.sampled_from((None, *_CUSTOMERS))
_LIMIT = 3


@dataclass(frozen=True, kw_only=True)
class _Idle:
    customer: CustomerName | None
    is_relayed: bool
    values: Mapping[str, str] = field(default_factory=dict)


def _idle(name: str | None, *, is_relayed: bool = False) -> _Idle:
    return _Idle(
        customer=None if name is None else CustomerName(name),
        is_relayed=is_relayed,
    )


class ReuseTest(unittest.TestCase):
    """Which idle connection serves a statement."""

    # Generating the inputs takes seconds on a machine that is busy.
    @hypothesis.settings(
        derandomize=True,
        deadline=None,
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )
    @hypothesis.given(
        names=strategies.lists(
            strategies.tuples(_NAMES, strategies.booleans())
        ),
        customer=_NAMES,
        direct_only=strategies.booleans(),
    )
    def test_connection_of_another_customer_is_never_used(
        self,
        names: list[tuple[CustomerName | None, bool]],
        customer: CustomerName | None,
        direct_only: bool,
    ) -> None:
        """Guards against statements under the name of another customer."""
        idle = [_idle(name, is_relayed=relayed) for name, relayed in names]
        index = find_reusable(
            idle,
            StatementContext(customer=customer),
            {},
            direct_only=direct_only,
        )
        if index is None:
            self.assertFalse(
                any(
                    not one.is_relayed and one.customer == customer
                    for one in idle
                )
            )
        else:
            chosen = idle[index]
            self.assertTrue(chosen.is_relayed or chosen.customer == customer)
            self.assertFalse(chosen.is_relayed and direct_only)

    def test_status_request_leaves_recently_used_connections(self) -> None:
        """Guards against a customer that connects because of a status."""
        idle = [_idle('north'), _idle('south')]
        found = find_reusable(idle, SYSTEM_CONTEXT, {}, direct_only=True)
        self.assertEqual(found, 0)
        idle.append(_idle(None))
        found = find_reusable(idle, SYSTEM_CONTEXT, {}, direct_only=True)
        self.assertEqual(found, 2)

    def test_longest_idle_connection_is_replaced(self) -> None:
        """Guards against closing the connections that are in demand."""
        idle = [_idle('south'), _idle('east')]
        self.assertEqual(find_replaceable(idle), 0)
        self.assertIsNone(find_replaceable([]))

    def test_relayed_session_makes_room_at_a_new_home(self) -> None:
        """Guards against a home that is left without a connection."""
        idle = [_idle('south'), _idle('north', is_relayed=True), _idle('east')]
        self.assertEqual(find_replaceable(idle), 1)

    def test_homes_divide_the_customers(self) -> None:
        """Guards against a home that needs connections for all customers."""
        homes = ('home-1', 'home-2', 'home-3')
        first: defaultdict[str, int] = defaultdict(int)
        for number in range(90):
            first[order_homes(homes, f'customer-{number}')[0]] += 1
        self.assertEqual(set(first), set(homes))
        self.assertLess(max(first.values()), 45)


class ShareTest(unittest.TestCase):
    """Connections that a home keeps."""

    def test_home_keeps_the_connections_of_its_customers(self) -> None:
        """Guards against customers that connect for each rare statement."""
        limits = ServiceLimits(
            service=GroupId('service'),
            max_connections=61,
            synchronous_replicas=1,
        )
        kept = home_share(limits, 6, has_customers=True)
        self.assertEqual(kept.min_open, kept.limit)
        shared = home_share(limits, 6)
        self.assertEqual(shared.min_open, 6)


class PoolTest(unittest.TestCase):
    """Connections of one proxy to a member."""

    def test_hundred_customers_share_few_connections(self) -> None:
        """Guards against customers that never get a connection.

        Each connection that the member sees names one customer, and there
        are never more than the share allows.
        """

        async def scenario(proxy: SessionFixture) -> None:
            proxy.share = ConnectionShare(limit=_LIMIT)
            entry = proxy.group.member('b').entry
            seen: defaultdict[int, set[str]] = defaultdict(set)

            async def use(name: CustomerName) -> None:
                pooled = await proxy.pools.acquire(
                    entry,
                    {},
                    anyio.current_time() + 30,
                    context=StatementContext(customer=name),
                )
                self.assertLessEqual(pooled.link.opened, _LIMIT)
                seen[id(pooled.session)].add(name)
                sessions.append(pooled.session)
                await anyio.sleep(0.01)
                await proxy.pools.release(pooled)

            sessions: list[object] = []
            async with anyio.create_task_group() as tasks:
                for number in range(200):
                    name = CustomerName(f'customer-{number % 100}')
                    tasks.start_soon(use, name)
            self.assertTrue(all(len(names) == 1 for names in seen.values()))
            self.assertEqual(len(sessions), 200)

        play(scenario)

    def test_connection_of_the_same_customer_is_reused(self) -> None:
        """Guards against a new connection for each statement."""

        async def scenario(proxy: SessionFixture) -> None:
            entry = proxy.group.member('b').entry
            for _ in range(10):
                for name in _CUSTOMERS[:2]:
                    pooled = await proxy.pools.acquire(
                        entry,
                        {},
                        anyio.current_time() + 1,
                        context=StatementContext(customer=name),
                    )
                    await proxy.pools.release(pooled)
            self.assertEqual(proxy.dialer.dial_count, 2)

        play(scenario)

    def test_status_request_uses_a_connection_of_any_customer(self) -> None:
        """Guards against connections for the statements of the system."""

        async def scenario(proxy: SessionFixture) -> None:
            entry = proxy.group.member('b').entry
            for context in (
                StatementContext(customer=_CUSTOMERS[0]),
                SYSTEM_CONTEXT,
            ):
                pooled = await proxy.pools.acquire(
                    entry, {}, anyio.current_time() + 1, context=context
                )
                await proxy.pools.release(pooled)
            self.assertEqual(proxy.dialer.dial_count, 1)

        play(scenario)
