"""What a proxy knows about routes, members and primaries."""

from collections.abc import Callable, Iterable

from lavendergate.controllers.waiters import Signal
from lavendergate.core.fleet_directory import (
    FleetDirectory,
    MemberAvailability,
    MemberEntry,
    merge,
)
from lavendergate.core.routes import Route, RouteTable
from lavendergate.core.types import GroupId, Term, UpstreamId
from lavendergate.rpc.fleet_service import PrimaryNotice

# A member that is leaving may end this long after its announcement was
# acknowledged; it gets no new work well before, in seconds.
LEAVING_GRACE_S = 4.0
# A member that answered that it does not lead is not asked again for this
# long, in seconds, unless control names it anew.
DOUBT_S = 0.3


class FleetView:
    """Current view of a proxy.

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
        self._doubted: dict[GroupId, tuple[UpstreamId, float]] = {}
        self._changed = Signal()
        self._proxies: int | None = None

    @property
    def routes(self) -> RouteTable:
        """Route table in force on this host; its version never falls."""
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
        """Take a route table, if its version is higher."""
        if table.version <= self._routes.version:
            return False
        self._routes = table
        self._changed.notify()
        return True

    def merge(
        self, entries: tuple[MemberEntry, ...]
    ) -> tuple[MemberEntry, ...]:
        """Take announcements and return those that changed the directory."""
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

    def notice_primaries(self, notices: Iterable[PrimaryNotice]) -> None:
        """Take notices of control or observations of this host."""
        for notice in notices:
            known = self._primaries.get(notice.service)
            if known is not None and known.term > notice.term:
                continue
            if known != notice:
                self._primaries[notice.service] = notice
                if known is None or known.term < notice.term:
                    self._doubted.pop(notice.service, None)
                self._changed.notify()

    def primary_of(self, service: GroupId) -> MemberEntry | None:
        """Return the primary of a service, if one is known."""
        notice = self._primaries.get(service)
        if notice is not None:
            entry = self._directory.member(notice.upstream_id)
            if entry is not None and entry.service == service:
                return entry
        return self._directory.claimed_primary(service)

    def doubt_primary(self, service: GroupId, upstream_id: UpstreamId) -> None:
        """Record that a member answered that it does not lead."""
        self._doubted[service] = (upstream_id, self._clock() + DOUBT_S)

    def is_doubted(self, entry: MemberEntry) -> bool:
        """Return whether a member answered lately that it does not lead."""
        doubted, until = self._doubted.get(entry.service, (None, 0))
        return doubted == entry.upstream_id and self._clock() < until

    def term_of(self, service: GroupId) -> Term:
        """Return the newest term of a service that is known."""
        notice = self._primaries.get(service)
        return Term(0) if notice is None else notice.term

    def readable_members(self, service: GroupId) -> tuple[MemberEntry, ...]:
        """Return the members that may get new work.

        Members that are leaving are named only where no other one is left,
        and not for longer than they may be expected to serve.
        """
        members = self._directory.members_of(service)
        staying = tuple(
            entry
            for entry in members
            if entry.availability == MemberAvailability.ready
        )
        return staying or tuple(
            entry for entry in members if self.takes_work(entry)
        )

    def takes_work(self, entry: MemberEntry) -> bool:
        """Return whether a member may get new work at all."""
        since = self._leaving_since.get(entry.upstream_id)
        return since is None or self._clock() - since < LEAVING_GRACE_S

    async def wait_for_change(self, timeout_s: float) -> None:
        """Return after the next change, or when the time is over."""
        await self._changed.wait(timeout_s)
