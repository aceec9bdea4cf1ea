"""Groups and members, as the control leader last reported them."""

from collections.abc import Iterable, Mapping

import anyio

from lavendergate.core.reports import GroupReport, group_view
from lavendergate.core.types import (
    GroupId,
    GroupView,
    LogPosition,
    UpstreamId,
)


class Directory:
    """Views of all groups, and the log positions known of each member."""

    def __init__(self) -> None:
        self._groups: dict[GroupId, GroupView] = {}
        self._positions: dict[UpstreamId, LogPosition] = {}
        self._suspected: set[UpstreamId] = set()
        self._changed = anyio.Event()
        self._version = 0

    @property
    def version(self) -> int:
        """Directory version of the last group reports."""
        return self._version

    @property
    def groups(self) -> Mapping[GroupId, GroupView]:
        """Views of all known groups."""
        return self._groups

    @property
    def known_positions(self) -> Mapping[UpstreamId, LogPosition]:
        """Newest log position that each member is known to hold."""
        return self._positions

    def group(self, group_id: GroupId) -> GroupView | None:
        """Return the view of a group, or None if it is unknown."""
        return self._groups.get(group_id)

    def update(
        self, reports: Iterable[GroupReport], *, version: int, now: float
    ) -> None:
        """Replace the views by new reports, except reports of an older term."""
        for report in reports:
            known = self._groups.get(report.group_id)
            if known is not None and known.term > report.term:
                continue
            self._store_view(group_view(report, now), known)
        self._version = version
        self._notify()

    def record_position(
        self, upstream_id: UpstreamId, position: LogPosition
    ) -> None:
        """Record a log position that a member itself reported."""
        known = self._positions.get(upstream_id)
        if known is None or known < position:
            self._positions[upstream_id] = position

    def mark_suspected(self, upstream_id: UpstreamId) -> None:
        """Mark a member as suspected after a new connection to it failed."""
        self._suspected.add(upstream_id)

    def pop_suspected(self) -> tuple[UpstreamId, ...]:
        """Return and clear the members suspected since the last call."""
        suspected = tuple(sorted(self._suspected))
        self._suspected.clear()
        return suspected

    async def wait_for_change(self, *, deadline: float) -> bool:
        """Wait for new reports.

        Returns
        -------
        bool
            Whether reports arrived before the deadline.
        """
        changed = self._changed
        with anyio.CancelScope(deadline=deadline):
            await changed.wait()
        return changed.is_set()

    def _store_view(self, view: GroupView, known: GroupView | None) -> None:
        if known is not None and known.term != view.term:
            # A new primary may have truncated a member's log, so the member
            # may no longer hold the positions recorded in the older term.
            for upstream_id in view.member_ids:
                self._positions.pop(upstream_id, None)
        self._groups[view.group_id] = view
        for member in view.members:
            self.record_position(member.upstream_id, member.status.last_entry)

    def _notify(self) -> None:
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()
