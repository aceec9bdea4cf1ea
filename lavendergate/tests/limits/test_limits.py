"""Tests of limits that several proxies keep together."""

import unittest

import anyio

from lavendergate.core.customers.table import OperationLimit
from lavendergate.core.relays.homes import ProxyAddress
from lavendergate.tests.limits.limit_fixture import LimitFleet, play

_LARGE = OperationLimit(rate_per_s=60, burst=60)
_SMALL = OperationLimit(rate_per_s=3, burst=4)


def rates(**limits: OperationLimit) -> dict[str, tuple[float, float]]:
    """Return rates and bursts by customer."""
    return {
        name: (limit.rate_per_s, limit.burst) for name, limit in limits.items()
    }


class LoadTest(unittest.TestCase):
    """Demand of customers while all proxies work."""

    def test_rush_of_one_customer_costs_the_others_nothing(self) -> None:
        """Guards against calm customers that are refused beside a rush."""
        calm = [f'calm-{number}' for number in range(80)]

        async def scenario(fleet: LimitFleet) -> None:
            fleet.limit(rates(large=_LARGE) | dict.fromkeys(calm, (3, 4)))
            addresses = [*fleet.nodes]
            async with anyio.create_task_group() as loads:
                for name in calm:
                    loads.start_soon(fleet.load, name, 1.9, 12, addresses)
                loads.start_soon(fleet.load, 'large', 220, 12, addresses)
            asked = sum(len(fleet.verdicts[name]) for name in calm)
            self.assertGreater(asked, 1700)
            refused = sum(map(fleet.refused, calm))
            self.assertLess(refused, 0.01 * asked)
            self.assertLessEqual(fleet.excess('large', _LARGE), 0)
            granted = len(fleet.ran_at['large'])
            self.assertGreater(granted, 0.95 * (12 * 60 + 60))
            # A rush is refused by the limit, and at once.
            self.assertEqual(0, fleet.without_owner('large'))
            waits = sorted(fleet.waits['large'])
            self.assertLess(waits[round(0.9 * len(waits))], 0.15)

        play(scenario)

    def test_demand_moves_to_other_failure_domains(self) -> None:
        """Guards against an allowance that stays where callers were."""

        async def scenario(fleet: LimitFleet) -> None:
            fleet.limit(rates(large=_LARGE))
            addresses = [*fleet.nodes]
            halves = addresses[::2], addresses[1::2]
            for number in range(6):
                await fleet.load('large', 37, 1, halves[number % 2])
            self.assertLess(fleet.refused('large'), 0.03 * 6 * 37)

        play(scenario)

    def test_calm_customer_at_its_limit_gets_it(self) -> None:
        """Guards against parts of a limit that lie unused with an owner."""

        async def scenario(fleet: LimitFleet) -> None:
            fleet.limit(rates(small=_SMALL))
            await fleet.load('small', 2.9, 30, [*fleet.nodes])
            self.assertLess(fleet.refused('small'), 0.01 * 87)

        play(scenario)


class LostOwnerTest(unittest.TestCase):
    """Owners that stop, freeze or are cut off."""

    def test_killed_owner_costs_few_operations(self) -> None:
        """Guards against a customer without its limit until a takeover."""

        async def scenario(fleet: LimitFleet) -> None:
            fleet.limit(rates(large=_LARGE))
            fleet.stopped.add(fleet.owner_of('large').address)
            addresses = [*fleet.nodes.keys() - fleet.stopped]
            await fleet.load('large', 37, 12, addresses)
            self.assertLess(fleet.refused('large'), 0.03 * 12 * 37)
            self.assertLessEqual(fleet.excess('large', _LARGE), 0)

        play(scenario)

    def test_frozen_owner_grants_nothing_from_the_past(self) -> None:
        """Guards against a limit that is granted twice after a suspension."""

        async def scenario(fleet: LimitFleet) -> None:
            fleet.limit(rates(large=_LARGE))
            fleet.frozen.add(fleet.owner_of('large').address)
            addresses = [*fleet.nodes.keys() - fleet.frozen]
            async with anyio.create_task_group() as loads:
                loads.start_soon(fleet.load, 'large', 300, 20, addresses)
                await anyio.sleep(8)
                fleet.wake()
            self.assertLessEqual(fleet.excess('large', _LARGE), 0)
            self.assertGreater(len(fleet.ran_at['large']), 0.75 * 20 * 60)

        play(scenario)

    def test_owner_cut_off_with_half_of_the_borrowers(self) -> None:
        """Guards against a limit on each side of a partition."""

        async def scenario(fleet: LimitFleet) -> None:
            fleet.limit(rates(large=_LARGE))
            addresses = [*fleet.nodes]
            side = {fleet.owner_of('large').address, *addresses[:6]}
            fleet.silent |= side
            fleet.is_cut = lambda one, other: (one in side) != (other in side)
            async with anyio.create_task_group() as loads:
                loads.start_soon(fleet.load, 'large', 300, 20, addresses)
                await anyio.sleep(9)
                fleet.silent.clear()
                fleet.is_cut = lambda one, other: False
            self.assertLessEqual(fleet.excess('large', _LARGE), 0)
            self.assertGreater(len(fleet.ran_at['large']), 0.5 * 20 * 60)

        play(scenario)

    def test_two_owners_by_stale_views(self) -> None:
        """Guards against proxies with an older view that grant on."""

        async def scenario(fleet: LimitFleet) -> None:
            fleet.limit(rates(large=_LARGE))
            addresses = [*fleet.nodes]
            owners = {
                fleet.owner_of('large', slot).address for slot in range(3)
            }
            older = set(addresses[::2]) | owners
            fleet.silent |= older
            newer = tuple(
                ProxyAddress(
                    address=address, failure_domain=fleet.nodes[address].domain
                )
                for address in addresses
                if address not in owners
            )
            for address in fleet.nodes.keys() - older:
                # The leader was replaced and has not heard the owners.
                fleet.nodes[address].owner.change_proxies(
                    newer, source='next', sent_at=anyio.current_time()
                )
            await fleet.load('large', 300, 15, addresses)
            self.assertLessEqual(fleet.excess('large', _LARGE), 0)

        play(scenario)

    def test_restarts_of_one_proxy_refill_nothing(self) -> None:
        """Guards against a new burst with each of 100 restarts."""

        async def scenario(fleet: LimitFleet) -> None:
            fleet.limit(rates(large=_LARGE))
            addresses = [*fleet.nodes]
            owner = fleet.owner_of('large')
            async with anyio.create_task_group() as loads:
                loads.start_soon(fleet.load, 'large', 200, 40, addresses)
                for _ in range(100):
                    await anyio.sleep(0.4)
                    owner.start()
            self.assertLessEqual(fleet.excess('large', _LARGE), 0)

        play(scenario)


class ChangedLimitTest(unittest.TestCase):
    """Limits that change."""

    def test_lowered_raised_and_topped_up(self) -> None:
        """Guards against a changed limit that takes no effect."""

        async def scenario(fleet: LimitFleet) -> None:
            low = OperationLimit(rate_per_s=5, burst=5)
            top = OperationLimit(rate_per_s=90, burst=60)
            addresses = [*fleet.nodes]
            for limit in (_LARGE, low, _LARGE, top):
                fleet.limit(rates(large=limit))
                await anyio.sleep(1)
                fleet.ran_at.clear()
                await fleet.load('large', 200, 10, addresses)
                with self.subTest(limit=limit):
                    self.assertLessEqual(fleet.excess('large', limit), 0)
                    self.assertGreater(
                        len(fleet.ran_at['large']),
                        0.9 * 10 * limit.rate_per_s,
                    )

        play(scenario)


class StartTest(unittest.TestCase):
    """Deployments without limits."""

    def test_no_message_without_operations(self) -> None:
        """Guards against messages where no customer has a limit."""

        async def scenario(fleet: LimitFleet) -> None:
            await anyio.sleep(10)
            self.assertEqual(fleet.messages, 0)

        play(scenario)
