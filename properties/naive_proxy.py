"""Naive proxy, the baseline of the differential tests and measurements.

It sends each statement to the primary of its last view, acknowledges a write
without confirmation by replicas and ignores session tokens. Its control
promotes without fencing.
"""

from lavendergate.core.decisions import (
    Decision,
    Request,
    UsePrimary,
    WaitForPrimary,
)
from lavendergate.core.errors import Outcome
from lavendergate.core.retries import Failure
from lavendergate.core.types import LogPosition
from properties.proxy_decisions import ProxyDecisions, RoutingInput


class NaiveProxyDecisions(ProxyDecisions):
    """Decisions of the naive proxy."""

    fences = False
    acknowledges_before_confirmation = True
    keeps_request_records = False
    withdraws_expired = False

    def route(
        self,
        request: Request,
        inputs: RoutingInput,
    ) -> Decision:
        """Send each statement to the primary of the view."""
        view = inputs.view
        if view.primary is None:
            return WaitForPrimary()
        return UsePrimary(upstream_id=view.primary, term=view.term)

    def token_position(self, text: str) -> LogPosition | None:
        """Ignore the session token."""
        return None

    def may_retry(self, failure: Failure) -> bool:
        """Retry each failed write."""
        return True

    def outcome(self, failure: Failure) -> Outcome:
        """Report each failure as `not run`."""
        return Outcome.not_run

    def is_reusable(self, *, is_answered: bool, has_transaction: bool) -> bool:
        """Reuse a connection in whatever state it is."""
        return True
