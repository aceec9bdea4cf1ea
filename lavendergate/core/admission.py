"""Bounded queue of one group: classes, deadlines, callers' concurrency."""

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
_LOWEST_RETRY_MS = 10


@enum.unique
class QueueClass(enum.IntEnum):
    """Classes in shedding order: the lowest is shed first."""

    stale = 0
    session = 1
    write = 2
    billing = 3


@dataclass(kw_only=True, slots=True, eq=False)
class AdmissionRequest:
    """A statement that asks to start; compared by identity.

    Parameters
    ----------
    needs_primary
        Whether only the primary can run the statement.
    deadline
        Time at which the statement must end, on the monotonic clock, in
        seconds.
    started_at
        Time of the start, None while queued.
    """

    caller_id: CallerId
    queue_class: QueueClass
    needs_primary: bool
    deadline: float
    started_at: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionSettings:
    """Settings of a group that admission uses.

    Parameters
    ----------
    queue_limit
        Statements that may be queued, from `queue.limit`.
    caller_concurrency
        Statements of one caller that may run at the same time, from
        `caller.concurrency`. Further ones stay queued.
    """

    queue_limit: int = 256
    caller_concurrency: int = 64


@dataclass(kw_only=True, slots=True)
class _Lane:
    """Measured service of the primary, or of the other members.

    Parameters
    ----------
    running
        Statements in flight.
    latency_s
        Moving average of the time from start to end; 0 before the first.
    """

    running: int = 0
    latency_s: float = 0

    def record(self, latency_s: float) -> None:
        if self.latency_s == 0:
            self.latency_s = latency_s
        self.latency_s += _LATENCY_WEIGHT * (latency_s - self.latency_s)

    def wait_s(self, ahead: int) -> float:
        """Expected wait behind this many queued statements."""
        return (ahead + 1) * self.latency_s / max(self.running, 1)


MayStart = Callable[[AdmissionRequest], bool]
Offered = Result[tuple[AdmissionRequest, ...], StatementError]


class AdmissionQueue:
    """Decides which statements of a group start, wait or are refused.

    Every refusal happens before the statement is sent to a member, so its
    outcome is `not run`.
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
        # A dict keeps the order of arrival and removes in constant time.
        self._queues: tuple[dict[AdmissionRequest, None], ...] = tuple(
            {} for _ in QueueClass
        )
        self._lanes = (_Lane(), _Lane())
        # Queued statements by lane and class.
        self._counts = tuple([0 for _ in QueueClass] for _ in self._lanes)
        self._running: dict[CallerId, int] = {}
        self._queued = 0

    @property
    def queued(self) -> int:
        """Number of queued statements."""
        return self._queued

    @property
    def running(self) -> int:
        """Number of started statements."""
        return self._lanes[0].running + self._lanes[1].running

    def try_start(
        self,
        request: AdmissionRequest,
        now: float,
        may_start: MayStart,
    ) -> bool:
        """Start a statement that need not queue.

        Parameters
        ----------
        may_start
            Tells whether a member has room for the statement.
        """
        # Statements that wait for the primary do not hold up reads on the
        # replicas, else queued writes would leave the replicas idle.
        if self._ahead(request.needs_primary, QueueClass.stale):
            return False
        if self._is_caller_full(request.caller_id):
            return False
        if not may_start(request):
            return False
        self._start(request, now)
        return True

    def offer(self, request: AdmissionRequest, now: float) -> Offered:
        """Queue a statement or refuse it at once.

        Returns
        -------
        result.Result
            The queued statements that were shed for this one, to be ended
            with `overload_error`; or the error of this statement.
        """
        wait_s = self._expected_wait_s(request)
        lane = self._lanes[request.needs_primary]
        if now + wait_s + lane.latency_s > request.deadline:
            return Err(self._deadline_error(wait_s))
        shed: tuple[AdmissionRequest, ...] = ()
        if self._queued >= self.settings.queue_limit:
            victim = self._lowest_below(request.queue_class)
            if victim is None:
                return Err(self.overload_error())
            self.withdraw(victim)
            shed = (victim,)
        self._queues[request.queue_class][request] = None
        self._counts[request.needs_primary][request.queue_class] += 1
        self._queued += 1
        return Ok(shed)

    def take(
        self,
        now: float,
        may_start: MayStart,
    ) -> tuple[AdmissionRequest, ...]:
        """Start queued statements, higher classes first.

        `may_start` must count the statements that it has allowed.
        Statements that would end after their deadline are not started; their
        drivers withdraw them at the deadline.
        """
        started: list[AdmissionRequest] = []
        blocked: set[bool] = set()
        for request in self._in_start_order():
            if len(blocked) == len(self._lanes):
                break
            is_blocked = request.needs_primary in blocked
            if is_blocked or not self._may_run(request, now):
                continue
            if may_start(request):
                self.withdraw(request)
                self._start(request, now)
                started.append(request)
            else:
                blocked.add(request.needs_primary)
        return tuple(started)

    def withdraw(self, request: AdmissionRequest) -> bool:
        """Remove a queued statement; tell whether it was queued."""
        queue = self._queues[request.queue_class]
        if request not in queue:
            return False
        queue.pop(request)
        self._counts[request.needs_primary][request.queue_class] -= 1
        self._queued -= 1
        return True

    def finish(self, request: AdmissionRequest, now: float) -> None:
        """Record the end of a started statement."""
        if request.started_at is None:
            return
        lane = self._lanes[request.needs_primary]
        lane.running -= 1
        lane.record(now - request.started_at)
        request.started_at = None
        left = self._running[request.caller_id] - 1
        if left:
            self._running[request.caller_id] = left
        else:
            self._running.pop(request.caller_id)

    def expiry_error(self, request: AdmissionRequest) -> StatementError:
        """Return the error of a statement whose deadline ended in the queue."""
        if self._is_caller_full(request.caller_id):
            return CallerLimitError(
                caller_id=request.caller_id,
                limit=self.settings.caller_concurrency,
            )
        return self._deadline_error(self._expected_wait_s(request))

    def overload_error(self) -> OverloadError:
        """Return the error of a statement that was shed or found no room."""
        drain_s = max(
            lane.wait_s(sum(counts))
            for lane, counts in zip(self._lanes, self._counts, strict=True)
        )
        return OverloadError(
            group_id=self._group_id,
            queued=self._queued,
            retry_after_ms=max(
                _LOWEST_RETRY_MS, math.ceil(drain_s * _MS_PER_S)
            ),
        )

    def _start(self, request: AdmissionRequest, now: float) -> None:
        request.started_at = now
        self._lanes[request.needs_primary].running += 1
        running = self._running.get(request.caller_id, 0)
        self._running[request.caller_id] = running + 1

    def _in_start_order(self) -> Iterator[AdmissionRequest]:
        for queue in reversed(self._queues):
            yield from tuple(queue)

    def _may_run(self, request: AdmissionRequest, now: float) -> bool:
        lane = self._lanes[request.needs_primary]
        # Work that would end after its deadline is wasted. With nothing
        # running the latency may be out of date, so it does not count.
        margin_s = lane.latency_s if lane.running else 0
        if request.deadline <= now + margin_s:
            return False
        return not self._is_caller_full(request.caller_id)

    def _is_caller_full(self, caller_id: CallerId) -> bool:
        running = self._running.get(caller_id, 0)
        return running >= self.settings.caller_concurrency

    def _ahead(self, lane: bool, lowest: QueueClass) -> int:
        return sum(self._counts[lane][lowest:])

    def _expected_wait_s(self, request: AdmissionRequest) -> float:
        # Lower classes start later, so they do not delay this statement.
        ahead = self._ahead(request.needs_primary, request.queue_class)
        return self._lanes[request.needs_primary].wait_s(ahead)

    def _deadline_error(self, wait_s: float) -> DeadlineError:
        return DeadlineError(
            group_id=self._group_id,
            expected_wait_ms=math.ceil(wait_s * _MS_PER_S),
        )

    def _lowest_below(self, limit: QueueClass) -> AdmissionRequest | None:
        for queue in self._queues[:limit]:
            if queue:
                # The newest has waited least and is least likely to start.
                return next(reversed(queue))
        return None
