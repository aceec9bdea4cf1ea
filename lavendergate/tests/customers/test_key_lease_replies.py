"""Tests of what the replies of control hosts prove about the keys."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
import trio
from trio.testing import MockClock

from lavendergate.core.control_routes import pack_routes
from lavendergate.daemon.fleet_view_receiver import FleetViewReceiver
from lavendergate.supervision.boundary import Boundary
from lavendergate.tests.customers.customer_fixture import usual_table
from lavendergate.tests.session_fixture import SessionFixture
from lavendergate.tests.test_fleet_view_receiver import reply

_LEASE_S = 5.0

Scenario = Callable[[SessionFixture, FleetViewReceiver], Awaitable[None]]


def play(scenario: Scenario) -> None:
    """Run a scenario with a proxy that has customers and no proof yet."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            proxy = SessionFixture(tasks=tasks, key_lease_s=_LEASE_S)
            proxy.customers = usual_table()
            proxy.publish(3)
            receiver = FleetViewReceiver(
                view=proxy.view,
                pools=proxy.pools,
                positions=proxy.positions,
                first_writes=proxy.first_writes,
                customers=proxy.registry,
                events=proxy.events,
                boundary=Boundary(events=proxy.events),
            )
            await anyio.sleep(10)
            await scenario(proxy, receiver)
            tasks.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


class KeyLeaseReplyTest(unittest.TestCase):
    """Proofs in sync replies."""

    def test_lease_counts_from_the_confirmation_of_the_leader(self) -> None:
        """Guards against a lease from the arrival of a delayed reply.

        The leader was confirmed 0.2 s before the request was sent.
        """

        async def scenario(
            proxy: SessionFixture, receiver: FleetViewReceiver
        ) -> None:
            sent_at = anyio.current_time()
            await anyio.sleep(2)
            receiver.apply(reply(proxy, routes_version=3), sent_at)
            self.assertTrue(proxy.registry.can_admit_keys)
            await anyio.sleep(_LEASE_S - 2.3)
            self.assertTrue(proxy.registry.can_admit_keys)
            await anyio.sleep(0.2)
            self.assertFalse(proxy.registry.can_admit_keys)

        play(scenario)

    def test_reply_that_waited_while_the_proxy_was_frozen(self) -> None:
        """Guards against a proof from before a suspension of the host."""

        async def scenario(
            proxy: SessionFixture, receiver: FleetViewReceiver
        ) -> None:
            sent_at = anyio.current_time()
            await anyio.sleep(8)
            receiver.apply(reply(proxy, routes_version=3), sent_at)
            self.assertFalse(proxy.registry.can_admit_keys)

        play(scenario)

    def test_host_without_confirmed_leadership_proves_nothing(self) -> None:
        """Guards against a leader that does not know its successor.

        Such a host has no confirmation, so it grants no lease.
        """

        async def scenario(
            proxy: SessionFixture, receiver: FleetViewReceiver
        ) -> None:
            for changes in ({'is_leader': False}, {'lease_ms': 0}):
                receiver.apply(
                    reply(proxy, routes_version=3, **changes),
                    anyio.current_time(),
                )
                self.assertFalse(proxy.registry.can_admit_keys)

        play(scenario)

    def test_table_that_was_not_adopted_proves_nothing(self) -> None:
        """Guards against a proof for keys that are not in force here."""

        async def scenario(
            proxy: SessionFixture, receiver: FleetViewReceiver
        ) -> None:
            damaged = pack_routes(b'{"version": 4')
            receiver.apply(
                reply(proxy, routes_version=4, routes=damaged),
                anyio.current_time(),
            )
            self.assertFalse(proxy.registry.can_admit_keys)

        play(scenario)

    def test_lease_outlasts_a_change_of_leader(self) -> None:
        """Guards against refusals during an election of a few seconds."""

        async def scenario(
            proxy: SessionFixture, receiver: FleetViewReceiver
        ) -> None:
            for _ in range(3):
                receiver.apply(
                    reply(proxy, routes_version=3), anyio.current_time()
                )
                await anyio.sleep(4.5)
                self.assertTrue(proxy.registry.can_admit_keys)

        play(scenario)
