"""Retry budgets of each caller in each group."""

import anyio

from lavendergate.core.retries import RetryBudget
from lavendergate.core.types import CallerId, GroupId


class RetryBudgets:
    """Limits retries, so that they do not overload a group that slows down."""

    def __init__(self) -> None:
        self._budgets: dict[tuple[CallerId, GroupId], RetryBudget] = {}

    def record_request(
        self, caller_id: CallerId, group_id: GroupId, *, percent: float
    ) -> None:
        """Count a request that is not a retry.

        Parameters
        ----------
        percent
            Retries allowed per 100 requests.
        """
        budget = self._budget(caller_id, group_id)
        budget.percent = percent
        budget.record_request(anyio.current_time())

    def try_retry(self, caller_id: CallerId, group_id: GroupId) -> bool:
        """Use one retry of the budget; return False if none is left."""
        now = anyio.current_time()
        return self._budget(caller_id, group_id).try_retry(now)

    def _budget(self, caller_id: CallerId, group_id: GroupId) -> RetryBudget:
        key = (caller_id, group_id)
        budget = self._budgets.get(key)
        if budget is None:
            budget = RetryBudget(percent=0, updated_at=anyio.current_time())
            self._budgets[key] = budget
        return budget
