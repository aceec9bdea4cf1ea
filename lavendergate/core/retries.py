"""Retry policy: budget, backoff with full jitter, and retryable failures."""

import enum
from dataclasses import dataclass

BASE_BACKOFF_MS = 10
MAX_BACKOFF_MS = 500
# Maximum number of unused retries that a caller accumulates. The bound prevents
# a failover, which fails many statements at once, from multiplying the load.
MAX_SAVED_RETRIES = 10.0
MIN_RETRIES_PER_S = 1.0

_PERCENT = 100
_MAX_DOUBLINGS = 10


@enum.unique
class Failure(enum.Enum):
    """Kind of failure of an attempt, which determines whether it is retried.

    `not_sent`: no byte of the statement reached the member.
    `refused`: the member answered that it did not run the statement, for
    instance because it is a replica and the statement is a write.
    `rolled_back`: the member rolled the transaction back, for instance
    after a deadlock.
    `lost_answer`: the statement was sent, but its outcome is not known: no
    answer arrived, or the member answered that it shut down or that the
    statement was killed.
    `statement_error`: the statement itself is invalid.
    """

    not_sent = 'not_sent'
    refused = 'refused'
    rolled_back = 'rolled_back'
    lost_answer = 'lost_answer'
    statement_error = 'statement_error'


_WITHOUT_EFFECT = frozenset(
    (Failure.not_sent, Failure.refused, Failure.rolled_back)
)

# MySQL error codes that mean something else than an invalid statement.
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
    """Return the kind of failure for a MySQL error code in an answer."""
    return _FAILURE_BY_CODE.get(code, Failure.statement_error)


def did_not_run(failure: Failure) -> bool:
    """Return whether the failure proves that no effect remains."""
    return failure in _WITHOUT_EFFECT


def may_retry(
    failure: Failure,
    *,
    is_idempotent: bool,
    has_transaction: bool,
) -> bool:
    """Return whether the proxy may run the statement again.

    Parameters
    ----------
    failure
        Failure of the last attempt.
    is_idempotent
        Whether the statement is a read or has the hint ``idempotent=1``.
    has_transaction
        Whether earlier statements of the same transaction ran. Their
        effects are lost with the connection, so only the caller can repeat
        the whole transaction.
    """
    if has_transaction or failure is Failure.statement_error:
        return False
    return is_idempotent or failure in _WITHOUT_EFFECT


def backoff_ms(attempt: int, jitter: float) -> float:
    """Return the delay before a retry in milliseconds, with full jitter.

    Parameters
    ----------
    attempt
        Number of failed attempts, from 1.
    jitter
        Random number from 0 to 1.
    """
    max_delay_ms = BASE_BACKOFF_MS << min(attempt - 1, _MAX_DOUBLINGS)
    return jitter * min(MAX_BACKOFF_MS, max_delay_ms)


@dataclass(kw_only=True, slots=True)
class RetryBudget:
    """Retry budget of one caller in one group.

    The budget grows by the larger of a percentage of the requests and
    `MIN_RETRIES_PER_S`.

    Parameters
    ----------
    percent
        Retries per hundred requests, from the setting
        `retry.budget_percent`.
    updated_at
        Time when the budget last grew, in seconds.
    """

    percent: float
    updated_at: float
    _available_retries: float = MIN_RETRIES_PER_S

    def record_request(self, now: float) -> None:
        """Add to the budget for a request that is not a retry."""
        self._grow(now, self.percent / _PERCENT)

    def try_retry(self, now: float) -> bool:
        """Take one retry from the budget; return False if there is none."""
        self._grow(now, 0)
        if self._available_retries < 1:
            return False
        self._available_retries -= 1
        return True

    def _grow(self, now: float, increment: float) -> None:
        elapsed_s = now - self.updated_at
        self.updated_at = now
        growth = max(elapsed_s * MIN_RETRIES_PER_S, increment)
        self._available_retries = min(
            self._available_retries + growth, MAX_SAVED_RETRIES
        )
