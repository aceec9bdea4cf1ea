"""Reports how many losses the control group bears."""

import anyio

from lavendergate.controllers.control_node import ControlNode
from lavendergate.core.loss_tolerance import LossTolerance, loss_tolerance
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent

_INTERVAL_S = 0.5
# A reduced tolerance is reported after this time, in seconds. The join of a
# host and the removal of an announced one take less.
_REPORT_AFTER_S = 2.0


class ToleranceWatch:
    """Observes the tolerance on the leader.

    Parameters
    ----------
    node
        Node of the replicated log.
    """

    def __init__(self, *, node: ControlNode, events: EventLog) -> None:
        self._node = node
        self._events = events
        self._reduced_since: float | None = None
        self._is_reported = False

    @property
    def tolerance(self) -> LossTolerance | None:
        """Present tolerance; None unless this host leads."""
        view = self._node.view
        if not view.is_leader or view.configuration is None:
            return None
        return loss_tolerance(
            view.configuration.command, self._node.node_progress()
        )

    async def run(self) -> None:
        """Report a reduced tolerance, and its end, until cancelled."""
        while True:
            self._observe(self.tolerance, anyio.current_time())
            await anyio.sleep(_INTERVAL_S)

    def _observe(self, tolerance: LossTolerance | None, now: float) -> None:
        if tolerance is None:
            # The next leader reports.
            self._reduced_since = None
            self._is_reported = False
        elif tolerance.is_reduced:
            self._observe_reduced(tolerance, now)
        else:
            self._reduced_since = None
            if self._is_reported:
                self._is_reported = False
                self._events.emit(
                    SessionEvent.control_tolerance_regained,
                    borne=tolerance.borne,
                    voters=tolerance.voters,
                    present=tolerance.present,
                )

    def _observe_reduced(self, tolerance: LossTolerance, now: float) -> None:
        if self._reduced_since is None:
            self._reduced_since = now
        if self._is_reported or now - self._reduced_since < _REPORT_AFTER_S:
            return
        self._is_reported = True
        self._events.emit(
            SessionEvent.control_tolerance_reduced,
            borne=tolerance.borne,
            possible=tolerance.possible,
            missing=', '.join(tolerance.missing) or 'none',
            voters=tolerance.voters,
            present=tolerance.present,
        )
