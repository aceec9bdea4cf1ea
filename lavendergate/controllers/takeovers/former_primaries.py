"""Demotes former primaries that still consider themselves primary."""

from lavendergate.controllers.member_poller import MemberPoller
from lavendergate.controllers.waiters import TaskStarter
from lavendergate.core.primary_replacement import (
    MemberObservation,
    ServiceObservation,
)
from lavendergate.core.sessions.statements import DemotePrimary
from lavendergate.core.types import GroupId, Term, UpstreamId
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent


class FormerPrimaries:
    """Demotes former primaries as soon as they answer.

    Parameters
    ----------
    poller
        Connections to the members.
    """

    def __init__(self, *, poller: MemberPoller, events: EventLog) -> None:
        self._poller = poller
        self._events = events
        self._demoting: set[UpstreamId] = set()

    def demote(
        self, tasks: TaskStarter, service: GroupId, observed: ServiceObservation
    ) -> None:
        """Demote the answering members that claim an older term."""
        primary = observed.member(observed.primary)
        if primary is None:
            return
        for former in observed.replicas:
            if (
                former.is_primary
                and former.term < primary.term
                and former.failing_since is None
                and former.upstream_id not in self._demoting
            ):
                self._demoting.add(former.upstream_id)
                tasks.start_soon(self._demote, service, former, primary.term)

    async def _demote(
        self, service: GroupId, former: MemberObservation, term: Term
    ) -> None:
        try:
            report = await self._poller.ask(
                former.upstream_id, DemotePrimary(term=term)
            )
        finally:
            self._demoting.discard(former.upstream_id)
        if report is not None and not report.is_primary:
            self._events.emit(
                SessionEvent.former_primary_demoted,
                upstream=former.upstream_id,
                service=service,
                term=term,
            )
