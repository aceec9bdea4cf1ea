"""Ends the sessions of a host that is stopping, within its grace period."""

import anyio

from lavendergate.filters.relays.home import RelayHome
from lavendergate.frontend.session_service import SessionService
from lavendergate.supervision.boundary import Boundary

# The balancer checks readiness once a second and stops sending callers after
# two failed checks. Callers that it sends until then are served.
_BALANCER_NOTICE_S = 2.3
# Time before the end of the grace period at which the process exits, in
# seconds.
EXIT_MARGIN_S = 0.5
# Time before the exit at which running statements are answered without their
# members, in seconds: enough for the answers to leave the host.
_ANSWER_MARGIN_S = 0.15
_POLL_INTERVAL_S = 0.05


class PlannedStop:
    """Ends sessions step by step, so that each statement is answered.

    At first sessions are closed as they become idle. Half of the grace period
    is the time that open transactions have to end. Statements that still run
    shortly before the exit are answered with what is known of them.

    Parameters
    ----------
    sessions
        Sessions of callers.
    home
        Statements that run here for other proxies.
    grace_s
        Grace period from the stop signal, in seconds.
    boundary
        Contains errors of one transaction, which must not cut the others.
    """

    def __init__(
        self,
        *,
        sessions: SessionService,
        home: RelayHome,
        grace_s: float,
        boundary: Boundary,
    ) -> None:
        self._sessions = sessions
        self._home = home
        self._grace_s = grace_s
        self._boundary = boundary

    async def run(self) -> None:
        """Return once nothing is open, or when the process must exit."""
        began_at = anyio.current_time()
        half_s = self._grace_s / 2
        exit_at = began_at + self._grace_s - EXIT_MARGIN_S
        self._home.stop()
        await anyio.sleep(min(_BALANCER_NOTICE_S, half_s))
        self._sessions.close_idle()
        await anyio.sleep_until(began_at + half_s)
        self._sessions.end_transactions()
        await self._home.end_transactions(self._boundary)
        await self._wait_until_idle(exit_at - _ANSWER_MARGIN_S)
        self._sessions.give_up_statements()
        await self._wait_until_idle(exit_at)

    async def _wait_until_idle(self, limit: float) -> None:
        while anyio.current_time() < limit:
            self._sessions.close_idle()
            if not self._sessions.session_count and self._home.is_idle:
                return
            await anyio.sleep(_POLL_INTERVAL_S)
