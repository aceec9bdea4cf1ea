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

_LAST_SEQUENCE = MAX_COUNT


@enum.unique
class MemberAvailability(enum.Enum):
    """Whether a member accepts work, as it announced."""

    ready = 'ready'
    draining = 'draining'
    gone = 'gone'


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

    @property
    def freshness(self) -> tuple[int, int, bool]:
        """Sort key for announcements of one member; the newest is highest.

        The announcement that a member has left is newer than another one with
        the same sequence.
        """
        is_gone = self.availability == MemberAvailability.gone
        return (self.born, self.sequence, is_gone)

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
        Members of each service, without those that have left.
    addresses
        Member that uses each address.
    """

    entries: PMap[UpstreamId, MemberEntry] = pmap()
    services: PMap[GroupId, tuple[MemberEntry, ...]] = pmap()
    addresses: PMap[str, UpstreamId] = pmap()

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
        services, addresses = self.services, self.addresses
        known = self.member(entry.upstream_id)
        if known is not None:
            addresses = addresses.discard(known.address)
            if _has_left(entry) or known.service != entry.service:
                members = _without_member(services[known.service], known)
                services = services.set(known.service, members)
        if not _has_left(entry):
            members = _with_member(self.members_of(entry.service), entry)
            services = services.set(entry.service, members)
            addresses = addresses.set(entry.address, entry.upstream_id)
        return FleetDirectory(
            entries=self.entries.set(entry.upstream_id, entry),
            services=services,
            addresses=addresses,
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
        directory, changed_now = _merge_one(directory, entry)
        for other in changed_now:
            changed[other.upstream_id] = other
    return directory, tuple(changed.values())


def departed_entry(entry: MemberEntry) -> MemberEntry:
    """Return the entry of a member that has left.

    The entry is newer than all announcements of the same start, because delayed
    ones may arrive later. If the time of the start is not known (0), the next
    start cannot be distinguished from this one, so the entry is newer only than
    the announcements sent so far.
    """
    return msgspec.structs.replace(
        entry,
        availability=MemberAvailability.gone,
        is_primary=False,
        sequence=_LAST_SEQUENCE if entry.born else entry.sequence,
    )


def _merge_one(
    directory: FleetDirectory, entry: MemberEntry
) -> tuple[FleetDirectory, list[MemberEntry]]:
    known = directory.entries.get(entry.upstream_id)
    if known is not None and known.freshness >= entry.freshness:
        return directory, []
    changed = []
    other = (
        None if _has_left(entry) else _other_member_at_address(directory, entry)
    )
    if other is not None:
        # Only one member can use an address: the one that was started last.
        # The other one is recorded as having left.
        if other.born > entry.born:
            entry = departed_entry(entry)
        else:
            directory = directory.with_entry(departed_entry(other))
            changed.append(departed_entry(other))
    directory = directory.with_entry(entry)
    if known is None or not _equals_ignoring_sequence(known, entry):
        changed.append(entry)
    return directory, changed


def _other_member_at_address(
    directory: FleetDirectory, entry: MemberEntry
) -> MemberEntry | None:
    user = directory.addresses.get(entry.address)
    if user is None or user == entry.upstream_id:
        return None
    return directory.entries[user]


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
