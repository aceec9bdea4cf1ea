"""Positions of primaries, read together for all reads that need one."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from lavendergate.backends.sessions import AnswerLostError
from lavendergate.controllers.fleet_view import FleetView
from lavendergate.controllers.member_link import NoConnectionError
from lavendergate.controllers.session_pools import SessionPools
from lavendergate.core.sessions.freshness import (
    PositionHistory,
    PositionSample,
)
from lavendergate.core.sessions.statements import MemberReport
from lavendergate.core.types import GroupId, LogPosition
from lavendergate.rpc.fleet_service import PrimaryNotice

_QUESTION_TIMEOUT_S = 0.6
# Pause after a question without a position, in seconds.
_RETRY_S = 0.03


class Positions:
    """Recent positions of the primary of each service.

    Parameters
    ----------
    view
        Names the primaries.
    pools
        Connections for the questions.
    clock
        Clock of positions; it also runs while the host is suspended.
    monotonic
        Monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        pools: SessionPools,
        tasks: TaskGroup,
        clock: Callable[[], float],
        monotonic: Callable[[], float],
    ) -> None:
        self._view = view
        self._pools = pools
        self._tasks = tasks
        self._clock = clock
        self._monotonic = monotonic
        self._histories: dict[GroupId, PositionHistory] = {}
        self._asking: dict[GroupId, anyio.Event] = {}

    def now(self) -> float:
        """Return the time on the clock of positions."""
        return self._clock()

    def history(self, service: GroupId) -> PositionHistory:
        """Return the positions of a service's primary."""
        return self._histories.setdefault(service, PositionHistory())

    def add(
        self, service: GroupId, position: LogPosition, asked_at: float
    ) -> None:
        """Record a position that a primary gave with an acknowledged write."""
        sample = PositionSample(position=position, asked_at=asked_at)
        self.history(service).add(sample)

    def refresh(self, service: GroupId) -> None:
        """Ask the primary, unless a question is on its way."""
        if service not in self._asking:
            self._asking[service] = anyio.Event()
            self._tasks.start_soon(self._ask, service)

    async def since(
        self, service: GroupId, asked_at: float, deadline: float
    ) -> PositionSample | None:
        """Return a position whose question left at a time or later.

        Parameters
        ----------
        asked_at
            Earliest time of the question, on the clock of positions.
        deadline
            Until when to wait, on the monotonic clock.
        """
        while True:
            sample = self.history(service).since(asked_at)
            if sample is not None:
                return sample
            remaining = deadline - self._monotonic()
            if remaining <= 0:
                return None
            self.refresh(service)
            with anyio.move_on_after(remaining):
                await self._asking[service].wait()

    def forget_beyond(
        self, service: GroupId, position: LogPosition | None
    ) -> None:
        """Drop positions that the primary's log does not hold."""
        if position is not None:
            self.history(service).forget_beyond(position)

    async def _ask(self, service: GroupId) -> None:
        try:
            is_known = await self._ask_once(service)
            if not is_known:
                await anyio.sleep(_RETRY_S)
        finally:
            self._asking.pop(service).set()

    async def _ask_once(self, service: GroupId) -> bool:
        primary = self._view.primary_of(service)
        if primary is None:
            return False
        deadline = self._monotonic() + _QUESTION_TIMEOUT_S
        try:
            pooled = await self._pools.acquire(primary, {}, deadline)
        except NoConnectionError:
            return False
        asked_at = self._clock()
        try:
            report = await pooled.report(timeout_s=_QUESTION_TIMEOUT_S)
        except AnswerLostError:
            return False
        finally:
            await self._pools.release(pooled)
        if not isinstance(report, MemberReport) or not report.is_primary:
            return False
        if report.term < self._view.term_of(service):
            return False
        self.add(service, report.received, asked_at)
        notice = PrimaryNotice(
            service=service,
            upstream_id=primary.upstream_id,
            term=report.term,
        )
        self._view.record_primaries((notice,))
        return True
