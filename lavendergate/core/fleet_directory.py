"""Replicated directory of the members that have announced themselves.

An entry of the directory is an announcement of a member. Merging is
commutative and idempotent: hosts that have received the same announcements, in
any order and any number of times, have equal directories.

A service is a group, as announced by its members.
"""

import enum
from dataclasses import dataclass
from typing import Annotated

import msgspec
from pyrsistent import PMap, pmap

from lavendergate.core.bounds.ranges import (
    IN_NAME,
    IN_WORD,
    MAX_COUNT,
    Address,
    Count,
    Slots,
    UnixMs,
)
from lavendergate.core.types import FailureDomain, GroupId, UpstreamId

# Largest step between two announcements of a start that reach a host: a day of
# announcements that no host has received.
_MAX_SEQUENCE_STEP = 100_000
_LAST_SEQUENCE = MAX_COUNT


@enum.unique
class MemberAvailability(enum.Enum):
    """Whether a member accepts work, as it announced."""

    ready = 'ready'
    draining = 'draining'
    gone = 'gone'


@enum.unique
class DepartureStage(enum.IntEnum):
    """How far the departure of a start of a member is proved.

    A start that sent its last call may run on for a moment, and a call that
    does not name its start may come from an earlier one. Until the start has
    ended, it may confirm commits, and the control leader asks it before each
    promotion.
    """

    none = 0
    announced = 1
    ended = 2
    # All members have every commit that the start can have confirmed.
    settled = 3


class MemberEntry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Newest announcement of a member.

    Parameters
    ----------
    address
        Where the member accepts connections, ``ip:port``.
    slots
        Statements that the member executes at the same time.
    is_primary
        Whether the member regards itself as primary.
    born
        Unix time of the member's start, in milliseconds; 0 if it is not
        known. A member that is restarted under its id has none of its former
        data.
    sequence
        Number of the announcement, counted from the member's start.
    departure
        How far the departure of a member that is gone is proved.
    """

    upstream_id: Annotated[UpstreamId, IN_WORD]
    service: Annotated[GroupId, IN_WORD]
    address: Address
    failure_domain: Annotated[FailureDomain, IN_NAME]
    slots: Slots
    availability: MemberAvailability
    is_primary: bool
    born: UnixMs
    sequence: Count
    departure: DepartureStage = DepartureStage.none

    @property
    def freshness(self) -> tuple[int, int, bool, int]:
        """Sort key for announcements of one member; the newest is highest.

        The announcement that a member has left is newer than another one with
        the same sequence.
        """
        is_gone = self.availability == MemberAvailability.gone
        return (self.born, self.sequence, is_gone, self.departure)

    @property
    def may_run(self) -> bool:
        """Whether the start may still confirm commits."""
        return self.departure < DepartureStage.ended

    def is_same_instance(self, other: 'MemberEntry') -> bool:
        """Whether an entry has the same start, address and service."""
        return (self.born, self.address, self.service) == (
            other.born,
            other.address,
            other.service,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetDirectory:
    """Newest entry of each member, including those that have left.

    The maps are persistent data structures, which share their unchanged parts
    with earlier directories. The cost of an announcement therefore does not
    depend on the number of members.

    Parameters
    ----------
    entries
        Newest entry of each member.
    services
        Members of each service, without those that have left. Two of them
        may have announced one address; the members are asked by their ids
        which of them is there.
    """

    entries: PMap[UpstreamId, MemberEntry] = pmap()
    services: PMap[GroupId, tuple[MemberEntry, ...]] = pmap()

    def members_of(self, service: GroupId) -> tuple[MemberEntry, ...]:
        """Return the members of a service that have not left."""
        return self.services.get(service, ())

    def claimed_primary(self, service: GroupId) -> MemberEntry | None:
        """Return the member that claims to be primary, if there is only one."""
        claiming = [
            entry for entry in self.members_of(service) if entry.is_primary
        ]
        return claiming[0] if len(claiming) == 1 else None

    def member(self, upstream_id: UpstreamId) -> MemberEntry | None:
        """Return the entry of a member; None if it is unknown or has left."""
        entry = self.entries.get(upstream_id)
        return None if entry is None or _has_left(entry) else entry

    def with_entry(self, entry: MemberEntry) -> 'FleetDirectory':
        """Return the directory with the entry of a member replaced."""
        services = self.services
        known = self.member(entry.upstream_id)
        if known is not None:
            if _has_left(entry) or known.service != entry.service:
                members = _without_member(services[known.service], known)
                services = services.set(known.service, members)
        if not _has_left(entry):
            members = _with_member(self.members_of(entry.service), entry)
            services = services.set(entry.service, members)
        return FleetDirectory(
            entries=self.entries.set(entry.upstream_id, entry),
            services=services,
        )


def merge(
    directory: FleetDirectory, announcements: tuple[MemberEntry, ...]
) -> tuple[FleetDirectory, tuple[MemberEntry, ...]]:
    """Merge announcements into a directory.

    Parameters
    ----------
    directory
        Directory before the announcements.
    announcements
        Announcements in any order.

    Returns
    -------
    The directory, and the entries that changed. An entry with only a higher
    sequence is not reported as changed.
    """
    changed: dict[UpstreamId, MemberEntry] = {}
    for entry in announcements:
        known = directory.entries.get(entry.upstream_id)
        if known is not None and (
            known.freshness >= entry.freshness or contradicts(known, entry)
        ):
            continue
        directory = directory.with_entry(entry)
        if known is None or not _equals_ignoring_sequence(known, entry):
            changed[entry.upstream_id] = entry
    return directory, tuple(changed.values())


def contradicts(known: MemberEntry, entry: MemberEntry) -> bool:
    """Return whether an entry cannot come from the start that is known.

    A start keeps its service and its address. An entry of another writer with
    the id of a member would otherwise remove the member while it runs, and
    one with a far higher sequence would hide all of its later announcements.
    """
    if _has_left(known) or _has_left(entry):
        return False
    if not entry.born or entry.born != known.born:
        return False
    return (
        not known.is_same_instance(entry)
        or entry.sequence - known.sequence > _MAX_SEQUENCE_STEP
    )


def departed_entry(
    entry: MemberEntry,
    *,
    is_final: bool = True,
    stage: DepartureStage = DepartureStage.announced,
) -> MemberEntry:
    """Return the entry of a start that has left.

    Parameters
    ----------
    entry
        Newest announcement of the start.
    is_final
        Whether no announcement of the same start is newer. Delayed ones may
        arrive later, so this holds if the start itself said that it leaves.
        Otherwise a later announcement shows that it runs.
    stage
        How far the departure is proved.
    """
    return msgspec.structs.replace(
        entry,
        availability=MemberAvailability.gone,
        is_primary=False,
        # Without the time of the start (0), the next start cannot be
        # distinguished from this one.
        sequence=_LAST_SEQUENCE if is_final and entry.born else entry.sequence,
        departure=stage,
    )


def departure_of(known: MemberEntry, born: int | None) -> MemberEntry | None:
    """Return the entry for a member's last call, or None if nothing changes.

    Parameters
    ----------
    known
        Newest entry of the member.
    born
        Start that the call names; None if it names none. Such a call may come
        from an earlier start, so it applies only to a start that announced
        that it is draining, and a later announcement revokes it.
    """
    if born is None:
        if known.availability != MemberAvailability.draining:
            return None
        return departed_entry(known, is_final=False)
    if born < known.born:
        return None
    departed = departed_entry(msgspec.structs.replace(known, born=born))
    return departed if departed.freshness > known.freshness else None


def is_departure_known(known: MemberEntry, born: int | None) -> bool:
    """Return whether the start that a last call names is known to have left.

    Parameters
    ----------
    known
        Newest entry of the member.
    born
        Start that the call names; None if it names none.
    """
    return _has_left(known) or (born is not None and born < known.born)


def _with_member(
    members: tuple[MemberEntry, ...], entry: MemberEntry
) -> tuple[MemberEntry, ...]:
    if all(member.upstream_id != entry.upstream_id for member in members):
        return (*members, entry)
    return tuple(
        entry if member.upstream_id == entry.upstream_id else member
        for member in members
    )


def _without_member(
    members: tuple[MemberEntry, ...], gone: MemberEntry
) -> tuple[MemberEntry, ...]:
    return tuple(
        member for member in members if member.upstream_id != gone.upstream_id
    )


def _equals_ignoring_sequence(known: MemberEntry, entry: MemberEntry) -> bool:
    return msgspec.structs.replace(known, sequence=entry.sequence) == entry


def _has_left(entry: MemberEntry) -> bool:
    return entry.availability == MemberAvailability.gone
