"""Questions of a proxy for the state of a member."""

from collections.abc import Callable
from dataclasses import dataclass

from lavendergate.backends.sessions import AnswerLostError
from lavendergate.controllers.members.turns import NoConnectionError
from lavendergate.controllers.session_pools import SessionPools
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.sessions.statements import MemberReport

_QUERY_TIMEOUT_S = 0.6


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberAnswer:
    """Report of a member.

    Parameters
    ----------
    asked_at
        When it was asked, on the clock of samples, in seconds.
    running_since
        Time since when it had run without a break, on the same clock.
    """

    report: MemberReport
    asked_at: float
    running_since: float


class MemberQuestions:
    """Asks members for their role and position.

    Parameters
    ----------
    pools
        Connections for the questions.
    clock
        Clock of samples, in seconds; it also advances while the host is
        suspended.
    monotonic
        Monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        pools: SessionPools,
        clock: Callable[[], float],
        monotonic: Callable[[], float],
    ) -> None:
        self._pools = pools
        self._clock = clock
        self._monotonic = monotonic

    async def ask(self, member: MemberEntry) -> MemberAnswer | None:
        """Return a member's report; None if there is none in time."""
        deadline = self._monotonic() + _QUERY_TIMEOUT_S
        try:
            pooled = await self._pools.acquire(member, {}, deadline)
        except NoConnectionError:
            return None
        asked_at = self._clock()
        try:
            report = await pooled.report(timeout_s=_QUERY_TIMEOUT_S)
        except AnswerLostError:
            return None
        finally:
            await self._pools.release(pooled)
        if not isinstance(report, MemberReport):
            return None
        # The clock of samples may run on while the other one stands still, so
        # that more time has passed on it.
        running_s = self._monotonic() - pooled.member_running_since
        return MemberAnswer(
            report=report,
            asked_at=asked_at,
            running_since=self._clock() - running_s,
        )
