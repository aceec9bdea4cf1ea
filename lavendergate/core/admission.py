"""Admission control: bounded priority queue of one group.

The queue orders statements by class, refuses new statements that cannot meet
their deadline, and limits the concurrency of each caller.
"""

import enum
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from result import Err, Ok, Result

from lavendergate.core.errors import (
    CallerLimitError,
    DeadlineError,
    OverloadError,
    StatementError,
)
from lavendergate.core.types import CallerId, GroupId

_MS_PER_S = 1000
_LATENCY_WEIGHT = 0.1
_MIN_RETRY_AFTER_MS = 10


@enum.unique
class QueueClass(enum.IntEnum):
    """Priority classes; a higher number starts first and is shed last."""

    stale = 0
    session = 1
    write = 2
    billing = 3


@dataclass(kw_only=True, slots=True, eq=False)
class AdmissionRequest:
    """A statement that requests admission; compared by identity.

    Parameters
    ----------
    needs_primary
        Whether only the primary can run the statement.
    deadline
        Time by which the statement must have ended, on the monotonic clock,
        in seconds.
    started_at
        Start time on the monotonic clock, in seconds; None while queued.
    """

    caller_id: CallerId
    queue_class: QueueClass
    needs_primary: bool
    deadline: float
    started_at: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionSettings:
    """Admission settings of a group.

    Parameters
    ----------
    queue_limit
        Maximum number of queued statements, from the setting
        `queue.limit`.
    caller_concurrency
        Maximum number of statements of one caller that run at the same
        time, from the setting `caller.concurrency`. Further statements of
        the caller stay queued.
    """

    queue_limit: int = 256
    caller_concurrency: int = 64


@dataclass(kw_only=True, slots=True)
class _ExecutionStats:
    """Execution statistics of the primary, or of all replicas together.

    Parameters
    ----------
    running
        Number of statements in flight.
    latency_s
        Moving average of the time from start to end, in seconds; 0 before
        the first statement has ended.
    """

    running: int = 0
    latency_s: float = 0

    def record(self, latency_s: float) -> None:
        if self.latency_s == 0:
            self.latency_s = latency_s
        self.latency_s += _LATENCY_WEIGHT * (latency_s - self.latency_s)

    def wait_s(self, ahead: int) -> float:
        """Return the expected wait behind this many queued statements."""
        return (ahead + 1) * self.latency_s / max(self.running, 1)


TryReserve = Callable[[AdmissionRequest], bool]
EnqueueResult = Result[tuple[AdmissionRequest, ...], StatementError]


class AdmissionQueue:
    """Decides which statements of a group start, wait or are refused.

    A statement is refused only before it is sent to a member, so the
    outcome of a refused statement is always `not run`.
    """

    def __init__(
        self,
        *,
        group_id: GroupId,
        settings: AdmissionSettings,
    ) -> None:
        """Create an empty queue."""
        self.settings = settings
        self._group_id = group_id
        # One queue for each class. A dict preserves the arrival order and
        # removes an entry in constant time.
        self._queues: tuple[dict[AdmissionRequest, None], ...] = tuple(
            {} for _ in QueueClass
        )
        # Indexed by `needs_primary`.
        self._execution_stats = (_ExecutionStats(), _ExecutionStats())
        # Number of queued statements, indexed by `needs_primary` and class.
        self._queued_counts = tuple(
            [0 for _ in QueueClass] for _ in self._execution_stats
        )
        self._running_by_caller: dict[CallerId, int] = {}
        self._queued = 0

    @property
    def queued(self) -> int:
        """Number of queued statements."""
        return self._queued

    @property
    def running(self) -> int:
        """Number of statements in flight."""
        return (
            self._execution_stats[0].running + self._execution_stats[1].running
        )

    def try_start(
        self,
        request: AdmissionRequest,
        now: float,
        try_reserve: TryReserve,
    ) -> bool:
        """Start a statement unless one for the same kind of member is queued.

        Parameters
        ----------
        try_reserve
            Reserves capacity of a member for the statement; returns False if
            there is none.

        Returns
        -------
        bool
            Whether the statement was started.
        """
        # Only statements for the same kind of member count: otherwise queued
        # writes would block reads and leave the replicas idle.
        if self._queued_from_class(request.needs_primary, QueueClass.stale):
            return False
        if self._is_caller_at_limit(request.caller_id):
            return False
        if not try_reserve(request):
            return False
        self._start(request, now)
        return True

    def enqueue(self, request: AdmissionRequest, now: float) -> EnqueueResult:
        """Queue a statement, or refuse it at once.

        Returns
        -------
        result.Result
            The queued statements that were shed to make room for this one,
            which the controller must end with `overload_error`; or the
            error of this statement.
        """
        wait_s = self._expected_wait_s(request)
        stats = self._execution_stats[request.needs_primary]
        if now + wait_s + stats.latency_s > request.deadline:
            return Err(self._deadline_error(wait_s))
        shed: tuple[AdmissionRequest, ...] = ()
        if self._queued >= self.settings.queue_limit:
            victim = self._select_removable(request.queue_class)
            if victim is None:
                return Err(self.overload_error())
            self.withdraw(victim)
            shed = (victim,)
        self._queues[request.queue_class][request] = None
        self._queued_counts[request.needs_primary][request.queue_class] += 1
        self._queued += 1
        return Ok(shed)

    def start_queued(
        self,
        now: float,
        try_reserve: TryReserve,
    ) -> tuple[AdmissionRequest, ...]:
        """Start queued statements, higher classes first.

        `try_reserve` must take into account the statements that it has
        already allowed during this call. Statements that would end after
        their deadline are not started; their controllers remove them from
        the queue at the deadline.
        """
        started: list[AdmissionRequest] = []
        blocked: set[bool] = set()
        for request in self._in_start_order():
            if len(blocked) == len(self._execution_stats):
                break
            is_blocked = request.needs_primary in blocked
            if is_blocked or not self._is_startable(request, now):
                continue
            if try_reserve(request):
                self.withdraw(request)
                self._start(request, now)
                started.append(request)
            else:
                blocked.add(request.needs_primary)
        return tuple(started)

    def withdraw(self, request: AdmissionRequest) -> bool:
        """Remove a queued statement and return whether it was queued."""
        queue = self._queues[request.queue_class]
        if request not in queue:
            return False
        queue.pop(request)
        self._queued_counts[request.needs_primary][request.queue_class] -= 1
        self._queued -= 1
        return True

    def finish(self, request: AdmissionRequest, now: float) -> None:
        """Record the end of a started statement."""
        if request.started_at is None:
            return
        stats = self._execution_stats[request.needs_primary]
        stats.running -= 1
        stats.record(now - request.started_at)
        request.started_at = None
        remaining = self._running_by_caller[request.caller_id] - 1
        if remaining:
            self._running_by_caller[request.caller_id] = remaining
        else:
            self._running_by_caller.pop(request.caller_id)

    def expiry_error(self, request: AdmissionRequest) -> StatementError:
        """Return the error of a statement that expired in the queue."""
        if self._is_caller_at_limit(request.caller_id):
            return CallerLimitError(
                caller_id=request.caller_id,
                limit=self.settings.caller_concurrency,
            )
        return self._deadline_error(self._expected_wait_s(request))

    def overload_error(self) -> OverloadError:
        """Return the error of a statement that was shed or not queued."""
        drain_s = max(
            stats.wait_s(sum(counts))
            for stats, counts in zip(
                self._execution_stats, self._queued_counts, strict=True
            )
        )
        return OverloadError(
            group_id=self._group_id,
            queued=self._queued,
            retry_after_ms=max(
                _MIN_RETRY_AFTER_MS, math.ceil(drain_s * _MS_PER_S)
            ),
        )

    def _start(self, request: AdmissionRequest, now: float) -> None:
        request.started_at = now
        self._execution_stats[request.needs_primary].running += 1
        running = self._running_by_caller.get(request.caller_id, 0)
        self._running_by_caller[request.caller_id] = running + 1

    def _in_start_order(self) -> Iterator[AdmissionRequest]:
        for queue in reversed(self._queues):
            yield from tuple(queue)

    def _is_startable(self, request: AdmissionRequest, now: float) -> bool:
        stats = self._execution_stats[request.needs_primary]
        # Running a statement that cannot end before its deadline wastes the
        # member's capacity. The latency is ignored while no statement runs,
        # because it may then be out of date.
        margin_s = stats.latency_s if stats.running else 0
        if request.deadline <= now + margin_s:
            return False
        return not self._is_caller_at_limit(request.caller_id)

    def _is_caller_at_limit(self, caller_id: CallerId) -> bool:
        running = self._running_by_caller.get(caller_id, 0)
        return running >= self.settings.caller_concurrency

    def _queued_from_class(
        self, needs_primary: bool, lowest: QueueClass
    ) -> int:
        return sum(self._queued_counts[needs_primary][lowest:])

    def _expected_wait_s(self, request: AdmissionRequest) -> float:
        # Statements of lower classes start later and do not delay this one.
        ahead = self._queued_from_class(
            request.needs_primary, request.queue_class
        )
        return self._execution_stats[request.needs_primary].wait_s(ahead)

    def _deadline_error(self, wait_s: float) -> DeadlineError:
        return DeadlineError(
            group_id=self._group_id,
            expected_wait_ms=math.ceil(wait_s * _MS_PER_S),
        )

    def _select_removable(self, limit: QueueClass) -> AdmissionRequest | None:
        for queue in self._queues[:limit]:
            if queue:
                # The newest statement has waited the least and is the least
                # likely to start before its deadline.
                return next(reversed(queue))
        return None
