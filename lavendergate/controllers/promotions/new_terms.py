"""Watches on the control leader whether replicas follow new terms."""

from collections.abc import Callable

from lavendergate.controllers.fleet_state import FleetState
from lavendergate.controllers.member_poller import MemberPoller
from lavendergate.controllers.promotions.term_followers import (
    DEFAULT_BOUND_S,
    EndedHold,
    TermFollowers,
)
from lavendergate.controllers.waiters import TaskStarter
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.routes import RouteTable
from lavendergate.core.sessions.statements import MemberReport, ReportStatus
from lavendergate.core.types import GroupId
from lavendergate.rpc.fleet_service import PrimaryNotice

# Pause between two questions of the leader to a replica, in seconds.
_QUESTION_INTERVAL_S = 0.02


class NewTerms:
    """Tells proxies which terms are new and not followed by replicas.

    Proxies of a large fleet cannot all ask the replicas, and one that starts
    does not know how old a term is.

    Parameters
    ----------
    fleet, poller
        Published primaries, and the connections to the members.
    routes
        Returns the route table in force.
    tasks
        Starts the questions.
    clock
        Monotonic time, in seconds.
    bound_s
        Time for which a term counts as new, in seconds, unless enough
        replicas follow it before.
    """

    def __init__(
        self,
        *,
        fleet: FleetState,
        poller: MemberPoller,
        routes: Callable[[], RouteTable],
        tasks: TaskStarter,
        clock: Callable[[], float],
        bound_s: float = DEFAULT_BOUND_S,
    ) -> None:
        self._fleet = fleet
        self._poller = poller
        self._routes = routes
        self._followers = TermFollowers(
            ask=self._ask,
            members_of=lambda service: fleet.directory.members_of(service),
            synchronous_replicas=self._synchronous_replicas,
            interval_s=lambda: _QUESTION_INTERVAL_S,
            bound_s=bound_s,
            tasks=tasks,
            clock=clock,
            on_end=self._record_end,
        )
        fleet.observe_primaries(self._begin)
        fleet.unfollowed = self._followers.unfollowed

    def _begin(self, notice: PrimaryNotice) -> None:
        if self._fleet.is_leading:
            self._followers.begin(notice)

    async def _ask(self, member: MemberEntry) -> MemberReport | None:
        return await self._poller.ask(member.upstream_id, ReportStatus())

    def _synchronous_replicas(self, service: GroupId) -> int | None:
        limits = self._routes().services.get(service)
        return None if limits is None else limits.synchronous_replicas

    def _record_end(self, ended: EndedHold) -> None:
        self._fleet.notify_changed()
