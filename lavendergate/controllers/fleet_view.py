"""Routes, members and primaries as known to a proxy."""

from collections.abc import Callable, Iterable

from lavendergate.controllers.waiters import Signal
from lavendergate.core.fleet_directory import (
    FleetDirectory,
    MemberAvailability,
    MemberEntry,
    merge,
)
from lavendergate.core.leases.evidence import PrimaryClaim
from lavendergate.core.routes import Route, RouteTable
from lavendergate.core.types import GroupId, Term, UpstreamId
from lavendergate.rpc.fleet_service import PrimaryNotice

# Time for which a member that is leaving may still get new work if its service
# has no other member, in seconds. The member may stop only some time after
# this.
LEAVING_GRACE_S = 4.0
# Time for which a member that denied being primary is not used as primary, in
# seconds, unless the control hosts publish a newer term before.
PRIMARY_DENIAL_S = 0.3


class FleetView:
    """Fleet state of a proxy.

    Parameters
    ----------
    clock
        Monotonic time, in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._routes = RouteTable()
        self._directory = FleetDirectory()
        self._primaries: dict[GroupId, PrimaryNotice] = {}
        self._leaving_since: dict[UpstreamId, float] = {}
        self._denied_primaries: dict[GroupId, tuple[UpstreamId, float]] = {}
        self._changed = Signal()
        self._proxies: int | None = None
        self._primary_observers: list[Callable[[PrimaryNotice], None]] = []

    @property
    def routes(self) -> RouteTable:
        """Route table in force on this host; its version never decreases."""
        return self._routes

    @property
    def proxies(self) -> int | None:
        """Number of proxies that share the members' connections, if known."""
        return self._proxies

    @proxies.setter
    def proxies(self, number: int | None) -> None:
        if number:
            self._proxies = number

    @property
    def directory(self) -> FleetDirectory:
        """All members that announced themselves."""
        return self._directory

    def route(self, database: str) -> Route | None:
        """Return the route of a database."""
        return self._routes.routes.get(database)

    def adopt_routes(self, table: RouteTable) -> bool:
        """Replace the route table if the version is higher.

        Returns
        -------
        bool
            Whether the table was replaced.
        """
        if table.version <= self._routes.version:
            return False
        self._routes = table
        self._changed.notify()
        return True

    def merge(
        self, entries: tuple[MemberEntry, ...]
    ) -> tuple[MemberEntry, ...]:
        """Merge announcements; return those that changed the directory."""
        self._directory, changed = merge(self._directory, entries)
        now = self._clock()
        for entry in changed:
            if entry.availability == MemberAvailability.draining:
                self._leaving_since.setdefault(entry.upstream_id, now)
            else:
                self._leaving_since.pop(entry.upstream_id, None)
        if changed:
            self._changed.notify()
        return changed

    def observe_primaries(
        self, observer: Callable[[PrimaryNotice], None]
    ) -> None:
        """Call an observer for each primary that is new to this host."""
        self._primary_observers.append(observer)

    def record_primaries(self, notices: Iterable[PrimaryNotice]) -> None:
        """Record primaries that a control host published or this host saw.

        A notice of an older term is ignored.
        """
        for notice in notices:
            known = self._primaries.get(notice.service)
            if known is not None and known.term > notice.term:
                continue
            if known != notice:
                self._primaries[notice.service] = notice
                if known is None or known.term < notice.term:
                    self._denied_primaries.pop(notice.service, None)
                for observer in self._primary_observers:
                    observer(notice)
                self._changed.notify()

    def primary_of(self, service: GroupId) -> MemberEntry | None:
        """Return the primary of a service, if one is known.

        If none was published, or the published one is not a member, this
        is the member that announced itself as primary.
        """
        notice = self._primaries.get(service)
        if notice is not None:
            entry = self._directory.member(notice.upstream_id)
            if entry is not None and entry.service == service:
                return entry
        return self._directory.claimed_primary(service)

    def record_primary_denial(
        self, service: GroupId, upstream_id: UpstreamId
    ) -> None:
        """Record that a member denied being the primary of a service."""
        self._denied_primaries[service] = (
            upstream_id,
            self._clock() + PRIMARY_DENIAL_S,
        )

    def has_denied_being_primary(self, entry: MemberEntry) -> bool:
        """Return whether a member recently denied being primary."""
        denied_by, until = self._denied_primaries.get(entry.service, (None, 0))
        return denied_by == entry.upstream_id and self._clock() < until

    def claim_of(self, service: GroupId) -> PrimaryClaim | None:
        """Return the published primary of a service with its term."""
        notice = self._primaries.get(service)
        if notice is None:
            return None
        return PrimaryClaim(upstream_id=notice.upstream_id, term=notice.term)

    def term_of(self, service: GroupId) -> Term:
        """Return the newest known term of a service."""
        notice = self._primaries.get(service)
        return Term(0) if notice is None else notice.term

    def members_of(self, service: GroupId) -> tuple[MemberEntry, ...]:
        """Return all members of a service that have not left."""
        return self._directory.members_of(service)

    def readable_members(self, service: GroupId) -> tuple[MemberEntry, ...]:
        """Return the members that may get new work.

        Members that are leaving are included only if no other member is
        ready, and only for `LEAVING_GRACE_S` after they announced it.
        """
        members = self._directory.members_of(service)
        staying = tuple(
            entry
            for entry in members
            if entry.availability == MemberAvailability.ready
        )
        return staying or tuple(
            entry for entry in members if self.accepts_work(entry)
        )

    def accepts_work(self, entry: MemberEntry) -> bool:
        """Return whether a member may get new work.

        False for a member that has been leaving for `LEAVING_GRACE_S`.
        """
        since = self._leaving_since.get(entry.upstream_id)
        return since is None or self._clock() - since < LEAVING_GRACE_S

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait for the next change, at most `timeout_s` seconds."""
        await self._changed.wait(timeout_s)
