"""Admission of the statements of one group.

The decisions are in `lavendergate.core.admission`; this module reads the clock
and wakes queued statements.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from result import Err, Ok, Result

from lavendergate.core.admission import (
    AdmissionQueue,
    AdmissionRequest,
    AdmissionSettings,
)
from lavendergate.core.errors import StatementError
from lavendergate.core.types import GroupId


@dataclass(kw_only=True, slots=True)
class _Waiter:
    """A queued statement; the event is set when it starts or has an error."""

    event: anyio.Event = field(default_factory=anyio.Event)
    error: StatementError | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupCapacity:
    """Limits on the statements that this proxy has in flight in a group.

    Parameters
    ----------
    primary
        Limit for statements that need the primary.
    total
        Limit for all statements of the group together.
    """

    primary: int
    total: int


UNBOUNDED = GroupCapacity(primary=1 << 30, total=1 << 30)


class GroupAdmission:
    """Admits the statements of one group and queues those beyond its capacity.

    Parameters
    ----------
    group_id
        The group.
    capacity
        Returns the current capacity.
    """

    def __init__(
        self, *, group_id: GroupId, capacity: Callable[[], GroupCapacity]
    ) -> None:
        self._capacity = capacity
        self._core = AdmissionQueue(
            group_id=group_id, settings=AdmissionSettings()
        )
        self._waiters: dict[AdmissionRequest, _Waiter] = {}
        self._running_on_primary = 0
        self._running = 0

    @property
    def queued(self) -> int:
        """Number of queued statements."""
        return self._core.queued

    async def enter(
        self, request: AdmissionRequest, settings: AdmissionSettings
    ) -> Result[None, StatementError]:
        """Wait until the statement may start.

        Returns
        -------
        Ok or Err
            Ok if the statement was started; the caller then calls `leave`. An
            error means that it was shed or refused, or that its deadline
            passed in the queue: its outcome is `not run`.
        """
        self._core.settings = settings
        now = anyio.current_time()
        if self._core.try_start(request, now, self._try_reserve):
            return Ok(None)
        offered = self._core.enqueue(request, now)
        if isinstance(offered, Err):
            return offered
        for shed in offered.ok_value:
            self._reject(shed, self._core.overload_error())
        return await self._wait_for_start(request)

    def leave(self, request: AdmissionRequest) -> None:
        """Record the end of a statement and start queued ones in its place."""
        if request.started_at is None:
            return
        self._running -= 1
        self._running_on_primary -= request.needs_primary
        now = anyio.current_time()
        self._core.finish(request, now)
        self.start_queued()

    def start_queued(self) -> None:
        """Start queued statements, after capacity was freed or added."""
        now = anyio.current_time()
        for request in self._core.start_queued(now, self._try_reserve):
            waiter = self._waiters.get(request)
            if waiter is not None:
                waiter.event.set()

    async def _wait_for_start(
        self, request: AdmissionRequest
    ) -> Result[None, StatementError]:
        waiter = _Waiter()
        self._waiters[request] = waiter
        try:
            with anyio.CancelScope(deadline=request.deadline):
                await waiter.event.wait()
        except BaseException:
            self._core.withdraw(request)
            self.leave(request)
            raise
        finally:
            self._waiters.pop(request, None)
        if request.started_at is not None:
            return Ok(None)
        self._core.withdraw(request)
        return Err(waiter.error or self._core.expiry_error(request))

    def _reject(self, request: AdmissionRequest, error: StatementError) -> None:
        waiter = self._waiters.get(request)
        if waiter is not None:
            waiter.error = error
            waiter.event.set()

    def _try_reserve(self, request: AdmissionRequest) -> bool:
        """Reserve capacity for a statement; return False if there is none."""
        capacity = self._capacity()
        if self._running >= capacity.total:
            return False
        if (
            request.needs_primary
            and self._running_on_primary >= capacity.primary
        ):
            return False
        self._running += 1
        self._running_on_primary += request.needs_primary
        return True
