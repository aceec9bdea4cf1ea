"""The decisions that the statement model takes, from the real cores.

Faults and the naive version override single methods.
"""

from typing import NamedTuple

from lavendergate.core import pool, retries, routing
from lavendergate.core.admission import (
    AdmissionQueue,
    AdmissionRequest,
    AdmissionSettings,
)
from lavendergate.core.confirmation import WaitResult
from lavendergate.core.decisions import Decision, Request
from lavendergate.core.errors import Outcome
from lavendergate.core.member_load import RoutingPolicy
from lavendergate.core.read_index import ReadIndexBatcher
from lavendergate.core.tokens import (
    SessionToken,
    TokenKey,
    TokenKeys,
    sign_token,
    verify_token,
)
from lavendergate.core.types import GroupView, LogPosition, UpstreamId
from properties.group_model import GROUP, REGION

_KEYS = TokenKeys(signing=TokenKey(key_id='k', secret=b's' * 16))
_POLICY = RoutingPolicy(region=REGION)


class RoutingInput(NamedTuple):
    """What routing decides on, apart from the request."""

    view: GroupView
    known: dict[UpstreamId, LogPosition]
    now: float
    tie: float


class Cores:
    """Decisions of the real cores."""

    fences = True
    acknowledges_at_once = False
    keeps_records = True
    reads_after_failed_wait = False
    withdraws_expired = True

    def route(
        self,
        request: Request,
        given: RoutingInput,
    ) -> Decision:
        """Route a statement."""
        return routing.route(
            request,
            given.view,
            {},
            given.now,
            policy=_POLICY,
            known=given.known,
            tie_breaker=given.tie,
        )

    def advance(self, text: str, position: LogPosition) -> str:
        """Return the token of a session after a write."""
        token = self.read_token(text)
        return sign_token(token.advance(GROUP, position).unwrap(), _KEYS)

    def read_token(self, text: str) -> SessionToken:
        """Return the token that a caller sent."""
        return verify_token(text, _KEYS).unwrap() if text else SessionToken()

    def position(self, text: str) -> LogPosition | None:
        """Return the position that a token demands."""
        return self.read_token(text).position(GROUP)

    def confirmers(self, view: GroupView) -> int:
        """Return the number of replicas that must confirm a write."""
        return view.majority - 1

    def replicas(
        self,
        writer: UpstreamId,
        view: GroupView,
    ) -> frozenset[UpstreamId]:
        """Return the members that may confirm a write."""
        return view.member_ids - {writer}

    def promises(self, view: GroupView) -> int:
        """Return the number of replicas that must confirm a read index."""
        return view.majority - 1

    def batcher(self) -> ReadIndexBatcher:
        """Create the batching of read indexes."""
        return ReadIndexBatcher()

    def wait_end(self, end: WaitResult) -> WaitResult:
        """Return the end of a wait as the confirmations see it."""
        return end

    def may_retry(self, failure: retries.Failure) -> bool:
        """Tell whether the proxy repeats a failed write."""
        return retries.may_retry(
            failure, is_idempotent=False, has_transaction=False
        )

    def outcome(self, failure: retries.Failure) -> Outcome:
        """Return the outcome that the caller of a failed write sees."""
        did_not_run = retries.did_not_run(failure)
        return Outcome.not_run if did_not_run else Outcome.unknown

    def is_reusable(self, *, is_answered: bool, has_transaction: bool) -> bool:
        """Tell whether a connection goes back to the pool."""
        return pool.is_reusable(
            is_answered=is_answered, has_transaction=has_transaction
        )

    def queue(self) -> AdmissionQueue:
        """Create the queue of a proxy."""
        return AdmissionQueue(
            group_id=GROUP, settings=AdmissionSettings(queue_limit=4)
        )

    def expire(self, queue: AdmissionQueue, request: AdmissionRequest) -> None:
        """End a queued statement whose deadline has passed."""
        queue.withdraw(request)
