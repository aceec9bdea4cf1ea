"""In-memory replacement for the promotion calls of the platform."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from lavendergate.backends.promotion import OrderOutcome, PromotionOrders
from lavendergate.core.types import GroupId, HostId, UpstreamId
from standin.session_group import SessionGroup


class MemoryPromotionOrders(PromotionOrders):
    """Promotes members of an in-memory group and checks fencing tokens.

    ``unclear`` is the number of next orders that get an unclear outcome and
    have no effect.

    Parameters
    ----------
    group
        The group.
    tasks
        Task group for promotions that take effect later.
    delay_s
        Time from the acknowledgement of an order to its effect, in seconds.

    Attributes
    ----------
    connect_s
        Time to connect before an order is sent, in seconds.
    checks_tokens
        Whether orders with an outdated token are refused.
    late_s
        Returns the time after which an order without an answer is carried
        out, in seconds; None while orders are answered. Its token is checked
        at that time.
    """

    def __init__(
        self, *, group: SessionGroup, tasks: TaskGroup, delay_s: float = 0
    ) -> None:
        self._group = group
        self._tasks = tasks
        self.delay_s = delay_s
        self.connect_s = 0.0
        self.checks_tokens = True
        self.newest_token = 0
        self.orders: list[tuple[UpstreamId, int]] = []
        self.unclear = 0
        self.late_s: Callable[[], float] | None = None

    async def promote(
        self,
        *,
        service: GroupId,
        upstream_id: UpstreamId,
        holder: HostId,
        token: int,
        may_send: Callable[[], bool] = lambda: True,
    ) -> OrderOutcome:
        """Promote a member, unless it is down or the token is outdated."""
        await anyio.sleep(self.connect_s)
        if not may_send():
            return OrderOutcome.not_sent
        self.orders.append((upstream_id, token))
        if self.unclear:
            self.unclear -= 1
            return OrderOutcome.unclear
        if self.late_s is not None:
            self._tasks.start_soon(
                self._accept_late, upstream_id, token, self.late_s()
            )
            return OrderOutcome.unclear
        return self._accept(upstream_id, token)

    async def _accept_late(
        self, upstream_id: UpstreamId, token: int, late_s: float
    ) -> None:
        await anyio.sleep(late_s)
        self._accept(upstream_id, token)

    def _accept(self, upstream_id: UpstreamId, token: int) -> OrderOutcome:
        if token < self.newest_token and self.checks_tokens:
            return OrderOutcome.refused
        self.newest_token = max(token, self.newest_token)
        member = self._group.members[upstream_id]
        if member.is_down:
            return OrderOutcome.refused
        if not member.is_primary:
            self._tasks.start_soon(self._promote_later, upstream_id)
        return OrderOutcome.done

    async def _promote_later(self, upstream_id: UpstreamId) -> None:
        await anyio.sleep(self.delay_s)
        if not self._group.members[upstream_id].is_down:
            self._group.promote(upstream_id)
