"""Retry budget, backoff with full jitter, and which failures are retried."""

import enum
from dataclasses import dataclass

BASE_BACKOFF_MS = 10
MAX_BACKOFF_MS = 500
# Retries that a caller may save up, so that a failover that hits many
# statements at once does not multiply the load.
MAX_SAVED_RETRIES = 10.0
MIN_RETRIES_PER_S = 1.0

_PERCENT = 100
_MAX_DOUBLINGS = 10


@enum.unique
class Failure(enum.Enum):
    """How an attempt ended, as far as it matters for a retry.

    `not_sent`: no byte of the statement reached the member.
    `refused`: the member answered that it did not run the statement, for
    instance as a replica that is asked to write.
    `rolled_back`: the member rolled the transaction back, for instance
    after a deadlock.
    `lost_answer`: the statement was sent and its end is not known.
    `statement_error`: the statement itself is wrong.
    """

    not_sent = 'not_sent'
    refused = 'refused'
    rolled_back = 'rolled_back'
    lost_answer = 'lost_answer'
    statement_error = 'statement_error'


_NOT_RUN = frozenset((Failure.not_sent, Failure.refused, Failure.rolled_back))

# MySQL error codes of answers that prove more than a wrong statement.
_FAILURE_BY_CODE: dict[int, Failure] = {
    1040: Failure.not_sent,  # too many connections
    1203: Failure.not_sent,  # too many connections of one user
    1290: Failure.refused,  # read only, fenced
    1836: Failure.refused,  # read only mode
    1205: Failure.rolled_back,  # lock wait timeout
    1213: Failure.rolled_back,  # deadlock
    1053: Failure.lost_answer,  # server shutdown
    1317: Failure.lost_answer,  # killed
    2006: Failure.lost_answer,  # server has gone away
    2013: Failure.lost_answer,  # lost connection
}


def failure_of_code(code: int) -> Failure:
    """Return the failure that a MySQL error code of an answer stands for."""
    return _FAILURE_BY_CODE.get(code, Failure.statement_error)


def did_not_run(failure: Failure) -> bool:
    """Tell whether the failure proves that nothing ran."""
    return failure in _NOT_RUN


def may_retry(
    failure: Failure,
    *,
    is_idempotent: bool,
    has_transaction: bool,
) -> bool:
    """Tell whether the proxy may run the statement again.

    Parameters
    ----------
    failure
        End of the last attempt.
    is_idempotent
        Whether the statement is a read or has the hint ``idempotent=1``.
    has_transaction
        Whether earlier statements of the same transaction ran. They are
        lost with the connection, so only the caller can repeat them.
    """
    if has_transaction or failure is Failure.statement_error:
        return False
    return is_idempotent or failure in _NOT_RUN


def backoff_ms(attempt: int, jitter: float) -> float:
    """Return the time before a retry, with full jitter.

    Parameters
    ----------
    attempt
        Number of failed attempts, from 1.
    jitter
        Random number from 0 to 1.
    """
    highest = BASE_BACKOFF_MS << min(attempt - 1, _MAX_DOUBLINGS)
    return jitter * min(MAX_BACKOFF_MS, highest)


@dataclass(kw_only=True, slots=True)
class RetryBudget:
    """Budget of one caller in one group.

    The budget grows by the larger of a percentage of the requests and
    `MIN_RETRIES_PER_S`.

    Parameters
    ----------
    percent
        Retries for each hundred requests, from `retry.budget_percent`.
    updated_at
        Time of the last growth, in seconds.
    """

    percent: float
    updated_at: float
    _saved: float = MIN_RETRIES_PER_S

    def record_request(self, now: float) -> None:
        """Count a request that is not a retry."""
        self._grow(now, self.percent / _PERCENT)

    def try_retry(self, now: float) -> bool:
        """Take one retry from the budget, if there is one."""
        self._grow(now, 0)
        if self._saved < 1:
            return False
        self._saved -= 1
        return True

    def _grow(self, now: float, share: float) -> None:
        elapsed_s = now - self.updated_at
        self.updated_at = now
        growth = max(elapsed_s * MIN_RETRIES_PER_S, share)
        self._saved = min(self._saved + growth, MAX_SAVED_RETRIES)
