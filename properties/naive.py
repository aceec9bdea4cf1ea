"""The naive proxy that the checks and measurements compare with.

It sends everything to the primary that it last heard of, acknowledges at
once, promotes without fencing and has no tokens.
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
from properties.cores import Cores, RoutingInput


class NaiveCores(Cores):
    """Decisions of the naive version."""

    fences = False
    acknowledges_at_once = True
    keeps_records = False
    withdraws_expired = False

    def route(
        self,
        request: Request,
        given: RoutingInput,
    ) -> Decision:
        """Send everything to the primary."""
        view = given.view
        if view.primary is None:
            return WaitForPrimary()
        return UsePrimary(upstream_id=view.primary, term=view.term)

    def position(self, text: str) -> LogPosition | None:
        """Ignore tokens."""
        return None

    def may_retry(self, failure: Failure) -> bool:
        """Repeat whatever failed."""
        return True

    def outcome(self, failure: Failure) -> Outcome:
        """Report each failure as `not run`."""
        return Outcome.not_run

    def is_reusable(self, *, is_answered: bool, has_transaction: bool) -> bool:
        """Reuse each connection."""
        return True
