"""Tests of the share controller and of the rules of division."""

import unittest

import anyio

from lavendergate.controllers.shares import ShareController
from lavendergate.core.share_division import (
    Capacity,
    Demand,
    divide_by_demand,
    divide_equally,
    divide_kalai_smorodinsky,
)
from lavendergate.core.types import HostId, UpstreamId
from lavendergate.rpc.messages import ShareDemand
from lavendergate.tests.control_fixture import ControlFixture


class DivisionRuleTest(unittest.TestCase):
    """The three rules on one supply."""

    def test_rules_divide_as_named(self) -> None:
        """Guards against rules that exceed the supply or ignore demand."""
        supply = Capacity(connections=9, slots=2)
        claims = {
            HostId('busy'): Demand(connections=12, slots=4),
            HostId('idle'): Demand(connections=3, slots=1),
        }
        self.assertEqual(divide_equally(supply, claims), {'busy': 5, 'idle': 4})
        self.assertEqual(
            divide_by_demand(supply, claims), {'busy': 7, 'idle': 2}
        )
        divided = divide_kalai_smorodinsky(supply, claims)
        self.assertEqual(divided, {'busy': 4, 'idle': 2})


class ShareControllerTest(unittest.TestCase):
    """Grants in heartbeats, and connections of proxies that ended."""

    def test_connections_of_a_dead_proxy_are_closed_and_granted(self) -> None:
        """Guards against a share that stays unusable after its proxy ended."""
        control = ControlFixture(share_rule=divide_by_demand)
        self.assertIsInstance(control.shares, ShareController)

        async def scenario(control: ControlFixture) -> None:
            held = {'proxy-1': 0, 'proxy-2': 0}
            for _ in range(60):
                await self.use(control, 'proxy-1', held)
                await self.use(control, 'proxy-2', held)
                await anyio.sleep(0.1)
            self.assertGreater(held['proxy-1'], 5)
            self.assertEqual(sum(held.values()), 15)
            member = control.members['a']
            for index in range(held['proxy-1']):
                member.connections[index] = 'proxy-1'
            for _ in range(90):
                await self.use(control, 'proxy-2', held)
                await anyio.sleep(0.1)
            self.assertEqual(member.connections, {})
            self.assertEqual(held['proxy-2'], 15)
            self.assertNotIn('proxy-1', control.log.state.hosts)

        control.run(scenario)

    async def use(
        self, control: ControlFixture, name: str, held: dict[str, int]
    ) -> None:
        demand = ShareDemand(
            upstream_id=UpstreamId('a'),
            open_connections=held[name],
            wanted_connections=15,
            granted_connections=held[name],
        )
        with anyio.move_on_after(0.01):
            await control.membership.heartbeat(
                control.heartbeat(name, demands=(demand,))
            )
        grants = control.shares.grants(HostId(name), anyio.current_time())
        held[name] = next(
            (one.connections for one in grants if one.upstream_id == 'a'), 0
        )
