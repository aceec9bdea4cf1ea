"""Admission control: queues statements while a group is overloaded."""

from collections.abc import Callable

from result import Err

from lavendergate.controllers.admission import GroupAdmission
from lavendergate.core.admission import (
    AdmissionRequest,
    AdmissionSettings,
    QueueClass,
)
from lavendergate.core.classification import StatementKind
from lavendergate.core.types import GroupId
from lavendergate.filters.base import (
    Filter,
    Forward,
    StatementRequest,
    StatementResult,
    error_result,
)

_READ_KINDS = frozenset((StatementKind.read,))


class AdmitFilter(Filter):
    """Queues statements by group and queue class.

    Statements of open transactions do not reach this filter, because they
    already have an upstream connection.

    Parameters
    ----------
    admission
        Returns the admission queue of a group.
    """

    def __init__(
        self, *, admission: Callable[[GroupId], GroupAdmission]
    ) -> None:
        self._admission = admission

    async def handle(
        self, request: StatementRequest, forward: Forward
    ) -> StatementResult:
        """Wait for admission, then forward the statement."""
        group_id = request.session.group_id
        if group_id is None:
            return await forward(request)
        admission = self._admission(group_id)
        admission_request = AdmissionRequest(
            caller_id=request.session.caller_id,
            queue_class=queue_class(request),
            needs_primary=request.kind not in _READ_KINDS,
            deadline=request.deadline,
        )
        admitted = await admission.enter(
            admission_request,
            AdmissionSettings(
                queue_limit=request.settings.queue_limit,
                caller_concurrency=request.settings.caller_concurrency,
            ),
        )
        if isinstance(admitted, Err):
            return error_result(admitted.err_value)
        try:
            return await forward(request)
        finally:
            admission.leave(admission_request)


def queue_class(request: StatementRequest) -> QueueClass:
    """Return the configured class, else one derived from the statement."""
    configured = request.settings.queue_class
    if configured is not None:
        return QueueClass[configured]
    if request.kind not in _READ_KINDS:
        return QueueClass.write
    max_age_ms = request.hints.max_age_ms
    if max_age_ms is None:
        max_age_ms = request.settings.read_max_age_ms
    return QueueClass.stale if max_age_ms else QueueClass.session
