"""Log positions of primaries; one query serves all reads that wait for it."""

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

_QUERY_TIMEOUT_S = 0.6
# Pause after a query that returned no position, in seconds.
_RETRY_DELAY_S = 0.03


class PrimaryPositions:
    """Recent log positions of the primary of each service.

    Parameters
    ----------
    view
        Provides the primary and the term of each service.
    pools
        Connections for the queries.
    clock
        Clock on which samples are timed, in seconds; it also advances while
        the host is suspended.
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
        self._queries: dict[GroupId, anyio.Event] = {}

    def now(self) -> float:
        """Return the time on the clock of samples, in seconds."""
        return self._clock()

    def history(self, service: GroupId) -> PositionHistory:
        """Return the position history of a service's primary."""
        return self._histories.setdefault(service, PositionHistory())

    def add(
        self, service: GroupId, position: LogPosition, asked_at: float
    ) -> None:
        """Record a position that the primary sent, for a write or a query."""
        sample = PositionSample(position=position, asked_at=asked_at)
        self.history(service).add(sample)

    def refresh(self, service: GroupId) -> None:
        """Start a query of the primary's position, unless one is running."""
        if service not in self._queries:
            self._queries[service] = anyio.Event()
            self._tasks.start_soon(self._query, service)

    async def wait_for_sample(
        self, service: GroupId, asked_at: float, deadline: float
    ) -> PositionSample | None:
        """Return a position that was requested at a given time or later.

        Parameters
        ----------
        asked_at
            Earliest time of the request, on the clock of samples.
        deadline
            Time at which waiting ends, on the monotonic clock.

        Returns
        -------
        PositionSample or None
            None if the deadline passed first.
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
                await self._queries[service].wait()

    def forget_beyond(
        self, service: GroupId, position: LogPosition | None
    ) -> None:
        """Remove positions beyond the end of the primary's log."""
        if position is not None:
            self.history(service).forget_beyond(position)

    async def _query(self, service: GroupId) -> None:
        try:
            is_known = await self._query_primary(service)
            if not is_known:
                await anyio.sleep(_RETRY_DELAY_S)
        finally:
            self._queries.pop(service).set()

    async def _query_primary(self, service: GroupId) -> bool:
        primary = self._view.primary_of(service)
        if primary is None:
            return False
        deadline = self._monotonic() + _QUERY_TIMEOUT_S
        try:
            pooled = await self._pools.acquire(primary, {}, deadline)
        except NoConnectionError:
            return False
        asked_at = self._clock()
        try:
            report = await pooled.report(timeout_s=_QUERY_TIMEOUT_S)
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
