"""Counts statements and emits events for failed ones."""

import anyio
from result import Err

from lavendergate.controllers.directory import Directory
from lavendergate.core.classification import StatementKind
from lavendergate.core.errors import Outcome
from lavendergate.filters.admit import queue_class
from lavendergate.filters.base import (
    Filter,
    Forward,
    StatementFailure,
    StatementRequest,
    StatementResult,
)
from lavendergate.observability.log import EventLog
from lavendergate.observability.metrics import Metric, Metrics
from lavendergate.observability.statement_events import StatementEvent

_MS_PER_S = 1000
# Under overload, thousands of statements a second are refused. The metrics
# count all of them, the event log records only this many per second.
NOT_RUN_EVENTS_PER_S = 10


class ObserveFilter(Filter):
    """First filter: records the outcome and duration of each statement.

    Parameters
    ----------
    directory
        Knows the primary of a group, to count reads by role of the member.
    """

    def __init__(
        self, *, events: EventLog, metrics: Metrics, directory: Directory
    ) -> None:
        self._events = events
        self._metrics = metrics
        self._directory = directory
        self._second = 0
        self._events_in_second = 0

    async def handle(
        self, request: StatementRequest, forward: Forward
    ) -> StatementResult:
        """Forward the statement, then record its outcome."""
        result = await forward(request)
        group = request.session.group_id or ''
        if isinstance(result, Err):
            self._record_failure(request, result.err_value, group)
            return result
        self._metrics.send(Metric.statements_done, label=group)
        elapsed_ms = (anyio.current_time() - request.arrived_at) * _MS_PER_S
        self._metrics.send(
            Metric.statement_time, elapsed_ms, queue_class(request).name
        )
        if request.kind is StatementKind.read and request.member is not None:
            self._metrics.send(self._read_metric(request), label=group)
        return result

    def _read_metric(self, request: StatementRequest) -> Metric:
        group_id = request.session.group_id
        view = None if group_id is None else self._directory.group(group_id)
        is_primary = view is not None and view.primary == request.member
        return Metric.reads_primary if is_primary else Metric.reads_replica

    def _record_failure(
        self, request: StatementRequest, error: StatementFailure, group: str
    ) -> None:
        match error.outcome:
            case Outcome.unknown:
                self._metrics.send(Metric.statements_unknown, label=group)
                self._emit_failure(
                    StatementEvent.statement_unknown, request, error
                )
            case Outcome.not_run:
                self._metrics.send(Metric.statements_not_run, label=group)
                if self._is_below_event_limit():
                    self._emit_failure(
                        StatementEvent.statement_not_run, request, error
                    )
            case Outcome.done:
                self._metrics.send(Metric.statements_done, label=group)

    def _is_below_event_limit(self) -> bool:
        second = int(anyio.current_time())
        if second != self._second:
            self._second = second
            self._events_in_second = 0
        self._events_in_second += 1
        return self._events_in_second <= NOT_RUN_EVENTS_PER_S

    def _emit_failure(
        self,
        event: StatementEvent,
        request: StatementRequest,
        error: StatementFailure,
    ) -> None:
        optional_fields = {
            'request_id': request.hints.request_id,
            'session': request.hints.session,
            'upstream': request.member,
        }
        self._events.emit(
            event,
            group=request.session.group_id or '',
            reason=error.message,
            caller=request.session.caller_id,
            **{name: text for name, text in optional_fields.items() if text},
        )
