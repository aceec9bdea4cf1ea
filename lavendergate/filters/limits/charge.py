"""Charges the operations of customers to their limits."""

from collections.abc import Callable

import xxhash

from lavendergate.controllers.limits.borrower import (
    Allowed,
    LimitBorrower,
    LimitReached,
    NoOwner,
)
from lavendergate.controllers.limits.reports import LimitReports
from lavendergate.core.customers.table import Customer, OperationLimit
from lavendergate.core.sessions.statements import (
    Execute,
    Phase,
    Read,
    RefusalCode,
    SessionAnswer,
    Write,
)
from lavendergate.filters.sessions.base import (
    ForwardRequest,
    SessionFilter,
    SessionRequest,
    refusal_answer,
)

# Longest time for which an operation waits for an owner of the limit, in
# seconds. A lost owner has a successor or the others grant by then.
_PATIENCE_S = 0.6
# Part of the time until the deadline that this wait may take.
_PATIENCE_PART = 0.4
# Time over which the returns of refused callers are spread, in seconds.
_SPREAD_S = 1.0
_NO_OWNER_RETRY_MS = 500
_MS_PER_S = 1000


class LimitFilter(SessionFilter):
    """Refuses operations of customers that have reached their limit.

    A statement outside of a transaction is one operation, and so is a
    transaction. A transaction is charged with its first statement on data:
    before that it uses no member, and a caller that rests after the begin
    would carry its charge into a later window.

    Parameters
    ----------
    borrower
        Decides whether an operation may run.
    reports
        Receives the decisions.
    monotonic
        Monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        borrower: LimitBorrower,
        reports: LimitReports,
        monotonic: Callable[[], float],
    ) -> None:
        self._borrower = borrower
        self._reports = reports
        self._monotonic = monotonic

    async def handle(
        self, request: SessionRequest, forward: ForwardRequest
    ) -> SessionAnswer:
        """Answer the request, or forward it to the next filter."""
        customer = request.session.customer
        if customer is None or customer.limit is None:
            return await forward(request)
        transaction = request.session.transaction
        is_charged = transaction is not None and transaction.is_charged
        if is_charged or not isinstance(
            request.statement, Read | Write | Execute
        ):
            return await forward(request)
        refusal = await self._charge(request, customer, customer.limit)
        if refusal is None:
            if transaction is not None:
                transaction.is_charged = True
            return await forward(request)
        if transaction is not None:
            # Nothing has run, so there is no connection to release.
            request.session.transaction = None
            request.session.phase = Phase.failed
        return refusal_answer(request, RefusalCode.busy, refusal)

    async def _charge(
        self,
        request: SessionRequest,
        customer: Customer,
        limit: OperationLimit,
    ) -> str | None:
        """Charge an operation; return why it is refused, if it is."""
        remaining_s = request.deadline - self._monotonic()
        verdict = await self._borrower.acquire(
            customer, limit, min(_PATIENCE_S, remaining_s * _PATIENCE_PART)
        )
        self._reports.record(customer, limit, verdict)
        match verdict:
            case Allowed():
                return None
            case LimitReached(retry_after_s=retry_after_s):
                wait_s = retry_after_s + _spread_s(request.request_id)
                return (
                    f'customer {customer.name} has reached its limit of '
                    f'{limit.rate_per_s:g} operations per second with a burst '
                    f'of {limit.burst:g}; retry in '
                    f'{round(wait_s * _MS_PER_S)} ms'
                )
            case NoOwner():
                return (
                    f'no owner of the limit of customer {customer.name} '
                    f'answers; retry in {_NO_OWNER_RETRY_MS} ms'
                )


def _spread_s(request_id: str) -> float:
    """Return the part of a caller's wait that differs between callers."""
    digest = xxhash.xxh3_64_intdigest(request_id.encode())
    return _SPREAD_S * (digest % _MS_PER_S) / _MS_PER_S
