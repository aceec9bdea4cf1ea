"""Admission of statements of one group; decisions are in `core.admission`."""

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
class _Waiting:
    event: anyio.Event = field(default_factory=anyio.Event)
    error: StatementError | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupCapacity:
    """Statements that this proxy may have in flight in a group.

    Parameters
    ----------
    primary
        On the primary alone.
    total
        On all members.
    """

    primary: int
    total: int


UNBOUNDED = GroupCapacity(primary=1 << 30, total=1 << 30)


class GroupAdmission:
    """Queue of one group and those who wait in it.

    Parameters
    ----------
    capacity
        Returns the present capacity.
    """

    def __init__(
        self, *, group_id: GroupId, capacity: Callable[[], GroupCapacity]
    ) -> None:
        self._capacity = capacity
        self._core = AdmissionQueue(
            group_id=group_id, settings=AdmissionSettings()
        )
        self._waiting: dict[AdmissionRequest, _Waiting] = {}
        self._on_primary = 0
        self._running = 0

    @property
    def queued(self) -> int:
        """Number of queued statements."""
        return self._core.queued

    async def enter(
        self, request: AdmissionRequest, settings: AdmissionSettings
    ) -> Result[None, StatementError]:
        """Wait until the statement may start; the error means `not run`."""
        self._core.settings = settings
        now = anyio.current_time()
        if self._core.try_start(request, now, self._may_start):
            return Ok(None)
        offered = self._core.enqueue(request, now)
        if isinstance(offered, Err):
            return offered
        for victim in offered.ok_value:
            self._end(victim, self._core.overload_error())
        return await self._wait(request)

    def leave(self, request: AdmissionRequest) -> None:
        """Record the end of a statement and start those that wait."""
        if request.started_at is None:
            return
        self._running -= 1
        self._on_primary -= request.needs_primary
        now = anyio.current_time()
        self._core.finish(request, now)
        self.start_queued()

    def start_queued(self) -> None:
        """Start queued statements, after capacity was freed or added."""
        now = anyio.current_time()
        for request in self._core.start_queued(now, self._may_start):
            waiting = self._waiting.get(request)
            if waiting is not None:
                waiting.event.set()

    async def _wait(
        self, request: AdmissionRequest
    ) -> Result[None, StatementError]:
        waiting = _Waiting()
        self._waiting[request] = waiting
        try:
            with anyio.CancelScope(deadline=request.deadline):
                await waiting.event.wait()
        except BaseException:
            self._core.withdraw(request)
            self.leave(request)
            raise
        finally:
            self._waiting.pop(request, None)
        if request.started_at is not None:
            return Ok(None)
        self._core.withdraw(request)
        return Err(waiting.error or self._core.expiry_error(request))

    def _end(self, request: AdmissionRequest, error: StatementError) -> None:
        waiting = self._waiting.get(request)
        if waiting is not None:
            waiting.error = error
            waiting.event.set()

    def _may_start(self, request: AdmissionRequest) -> bool:
        capacity = self._capacity()
        if self._running >= capacity.total:
            return False
        if request.needs_primary and self._on_primary >= capacity.primary:
            return False
        self._running += 1
        self._on_primary += request.needs_primary
        return True
