"""Decisions of a proxy that the statement model calls.

They come from the code under test in `lavendergate.core`. The deliberate faults
and the naive proxy override single methods and flags.
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
    """Input of a routing decision, apart from the request.

    Parameters
    ----------
    view
        View of the group that the proxy has.
    known
        Last log position in the answers of each member to the proxy.
    now
        Present time in seconds.
    tie_breaker
        Random number from 0 to 1 that breaks ties between members.
    """

    view: GroupView
    known: dict[UpstreamId, LogPosition]
    now: float
    tie_breaker: float


class ProxyDecisions:
    """Decisions of the code under test."""

    fences = True
    acknowledges_before_confirmation = False
    keeps_request_records = True
    reads_after_failed_wait = False
    withdraws_expired = True

    def route(
        self,
        request: Request,
        inputs: RoutingInput,
    ) -> Decision:
        """Return the routing decision for a statement."""
        return routing.route(
            request,
            inputs.view,
            {},
            inputs.now,
            policy=_POLICY,
            known=inputs.known,
            tie_breaker=inputs.tie_breaker,
        )

    def advance_token(self, text: str, position: LogPosition) -> str:
        """Return the session token extended by the position of a write."""
        token = self.read_token(text)
        return sign_token(token.advance(GROUP, position).unwrap(), _KEYS)

    def read_token(self, text: str) -> SessionToken:
        """Return the verified session token; an empty text is a new session."""
        return verify_token(text, _KEYS).unwrap() if text else SessionToken()

    def token_position(self, text: str) -> LogPosition | None:
        """Return the position that a read with this token must include."""
        return self.read_token(text).position(GROUP)

    def required_confirmations(self, view: GroupView) -> int:
        """Return the number of replicas that must confirm a write."""
        return view.majority - 1

    def confirming_replicas(
        self,
        writer: UpstreamId,
        view: GroupView,
    ) -> frozenset[UpstreamId]:
        """Return the members that may confirm a write."""
        return view.member_ids - {writer}

    def required_promises(self, view: GroupView) -> int:
        """Return the number of replicas that a read-index round needs.

        Their promised terms show that the primary was not replaced.
        """
        return view.majority - 1

    def create_batcher(self) -> ReadIndexBatcher:
        """Create the batcher of read-index rounds of a proxy."""
        return ReadIndexBatcher()

    def wait_result(self, result: WaitResult) -> WaitResult:
        """Return the result of a wait that is passed to the confirmations."""
        return result

    def may_retry(self, failure: retries.Failure) -> bool:
        """Return whether the proxy retries a failed write."""
        return retries.may_retry(
            failure, is_idempotent=False, has_transaction=False
        )

    def outcome(self, failure: retries.Failure) -> Outcome:
        """Return the outcome that the caller of a failed write sees."""
        did_not_run = retries.did_not_run(failure)
        return Outcome.not_run if did_not_run else Outcome.unknown

    def is_reusable(self, *, is_answered: bool, has_transaction: bool) -> bool:
        """Return whether a connection is released to the pool for reuse."""
        return pool.is_reusable(
            is_answered=is_answered, has_transaction=has_transaction
        )

    def create_queue(self) -> AdmissionQueue:
        """Create the admission queue of a proxy."""
        return AdmissionQueue(
            group_id=GROUP, settings=AdmissionSettings(queue_limit=4)
        )

    def withdraw_expired(
        self, queue: AdmissionQueue, request: AdmissionRequest
    ) -> None:
        """Withdraw a queued statement whose deadline has passed."""
        queue.withdraw(request)
