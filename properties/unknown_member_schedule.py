"""Promotions of a member that a proxy without control has not heard of.

A proxy hears nothing from control while a member joins. All replicas that the
proxy knows are away when the new member is ordered to lead, and they return
before the order takes effect. The former primary still serves the proxy.
"""

import anyio
import trio
from trio.testing import MockClock

from properties.promotion_schedule import PromotionSchedule
from properties.task_order import in_order

_NEAR = 0
_JOINED = 'd'
_LEASE_S = 1.0
# Time in which control sees that the replicas are absent while the primary
# still reports its position, in seconds.
_ABSENT_S = 0.9
_ORDER_WAIT_S = 10.0
_CUT_S = 4.0


class UnknownMemberSchedule(PromotionSchedule):
    """One promotion of a member that one proxy does not know."""

    async def run(self) -> None:
        """Play the trouble, and some time without it."""
        await self.start_callers()
        self._cut_proxies.add(_NEAR)
        await anyio.sleep(self._random.uniform(0, 2 * _LEASE_S))
        former = self.group.primary
        known = [
            member
            for member in self.group.members.values()
            if member is not former
        ]
        joined = self.group.join(_JOINED)
        self.control.announce()
        await anyio.sleep(_LEASE_S)
        for replica in known:
            replica.is_down = True
        await anyio.sleep(_ABSENT_S)
        name = former.entry.upstream_id
        far = [self._dialer, *self._proxy_dialers]
        far.remove(self._proxy_dialers[_NEAR])
        for dialer in far:
            dialer.cut.add(name)
        joined.is_replication_cut = True
        with anyio.move_on_after(_ORDER_WAIT_S):
            while not self.control.orders.orders:
                await anyio.sleep(0.02)
        await anyio.sleep(self._random.uniform(0, 0.2))
        for replica in known:
            self.group.restart(replica)
        await anyio.sleep(_CUT_S)
        for dialer in far:
            dialer.cut.discard(name)
        joined.is_replication_cut = False
        self._cut_proxies.discard(_NEAR)
        await self.settle()


def run_schedule(seed: int) -> UnknownMemberSchedule:
    """Play one schedule and return it."""
    played: list[UnknownMemberSchedule] = []

    async def play() -> None:
        async with anyio.create_task_group() as tasks:
            played.append(UnknownMemberSchedule(seed=seed, tasks=tasks))
            await played[0].run()
            tasks.cancel_scope.cancel()

    with in_order(seed):
        trio.run(play, clock=MockClock(autojump_threshold=0))
    return played[0]
