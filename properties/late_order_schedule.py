"""Promotions whose orders are carried out late, without an answer."""

from collections.abc import Callable, Coroutine
from typing import Any

import anyio

from properties.promotion_schedule import PromotionSchedule

_MOST_MEMBERS = 5


class LateOrderSchedule(PromotionSchedule):
    """One schedule in which orders are carried out late, without an answer.

    Members join meanwhile, and returned replicas receive what they missed.
    """

    def more_actions(
        self,
    ) -> tuple[Callable[[], Coroutine[Any, Any, None]], ...]:
        """Delay orders, and let members join and restart."""
        return (
            self._delay_orders,
            self._delay_orders,
            self._join,
            self._restart_replica,
        )

    async def _delay_orders(self) -> None:
        self.control.orders.late_s = lambda: self._random.uniform(0.2, 6)
        await anyio.sleep(self._random.choice((1.0, 3.0)))
        self.control.orders.late_s = None

    async def _join(self) -> None:
        if len(self.group.members) < _MOST_MEMBERS:
            self.group.join(f'joined-{len(self.group.members)}')
            self.control.announce()
        await anyio.lowlevel.checkpoint()

    async def _restart_replica(self) -> None:
        """Restart a replica, which ends its pause."""
        replica = self._random.choice(
            [
                member
                for member in self.group.members.values()
                if not (member.is_primary or member.is_down)
            ]
            or [None]
        )
        if replica is None:
            return
        replica.is_down = True
        await anyio.sleep(self._random.choice((0.05, 0.5)))
        self.group.restart(replica)
