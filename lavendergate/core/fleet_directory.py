"""Directory of the members that announced themselves.

Each host merges what it hears, in any order and any number of times, and
all hosts that heard the same announcements hold the same directory.
"""

import enum
from dataclasses import dataclass

import msgspec
from pyrsistent import PMap, pmap

from lavendergate.core.types import FailureDomain, GroupId, UpstreamId

_LAST_SEQUENCE = (1 << 63) - 1


@enum.unique
class MemberAvailability(enum.Enum):
    """What a member says about taking work."""

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
        How the member sees itself.
    born
        Unix time of the member's start, in milliseconds. A member that
        starts again under its id holds nothing of before.
    sequence
        Number of the announcement since the start.
    """

    upstream_id: UpstreamId
    service: GroupId
    address: str
    failure_domain: FailureDomain
    slots: int
    availability: MemberAvailability
    is_primary: bool
    born: int
    sequence: int

    @property
    def freshness(self) -> tuple[int, int, bool]:
        """Orders the announcements of one member; a departure ends them."""
        is_gone = self.availability == MemberAvailability.gone
        return (self.born, self.sequence, is_gone)

    def is_same_start(self, other: 'MemberEntry') -> bool:
        """Return whether an entry is of the same start at the same place."""
        return (self.born, self.address, self.service) == (
            other.born,
            other.address,
            other.service,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetDirectory:
    """Newest entry of each member, those that are gone included.

    The maps share their unchanged parts with earlier directories, so that an
    announcement costs the same in a fleet of any size.

    Parameters
    ----------
    entries
        Entries by member.
    services
        Members of each service that are not gone.
    addresses
        The member that uses an address.
    """

    entries: PMap[UpstreamId, MemberEntry] = pmap()
    services: PMap[GroupId, tuple[MemberEntry, ...]] = pmap()
    addresses: PMap[str, UpstreamId] = pmap()

    def members_of(self, service: GroupId) -> tuple[MemberEntry, ...]:
        """Return the members of a service that are not gone."""
        return self.services.get(service, ())

    def claimed_primary(self, service: GroupId) -> MemberEntry | None:
        """Return the member that says it leads, if only one does."""
        claiming = [
            entry for entry in self.members_of(service) if entry.is_primary
        ]
        return claiming[0] if len(claiming) == 1 else None

    def member(self, upstream_id: UpstreamId) -> MemberEntry | None:
        """Return a member that is not gone."""
        entry = self.entries.get(upstream_id)
        return None if entry is None or _is_gone(entry) else entry

    def put(self, entry: MemberEntry) -> 'FleetDirectory':
        """Return the directory with another entry of a member."""
        services, addresses = self.services, self.addresses
        known = self.member(entry.upstream_id)
        if known is not None:
            addresses = addresses.discard(known.address)
            if _is_gone(entry) or known.service != entry.service:
                members = _without(services[known.service], known)
                services = services.set(known.service, members)
        if not _is_gone(entry):
            members = _replaced(self.members_of(entry.service), entry)
            services = services.set(entry.service, members)
            addresses = addresses.set(entry.address, entry.upstream_id)
        return FleetDirectory(
            entries=self.entries.set(entry.upstream_id, entry),
            services=services,
            addresses=addresses,
        )


def merge(
    directory: FleetDirectory, heard: tuple[MemberEntry, ...]
) -> tuple[FleetDirectory, tuple[MemberEntry, ...]]:
    """Merge announcements into a directory.

    Parameters
    ----------
    directory
        What is known.
    heard
        Announcements in any order.

    Returns
    -------
    The directory, and the entries whose meaning changed. A higher sequence
    alone is no change.
    """
    changed: dict[UpstreamId, MemberEntry] = {}
    for entry in heard:
        directory, written = _merge_one(directory, entry)
        for other in written:
            changed[other.upstream_id] = other
    return directory, tuple(changed.values())


def departed(entry: MemberEntry) -> MemberEntry:
    """Return the entry of a member that has left.

    It outranks all announcements of the same start, since one that was held
    up may arrive later. Without a time of birth a next start cannot be told
    apart, so only earlier announcements are outranked.
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
    written = []
    other = None if _is_gone(entry) else _other_at_address(directory, entry)
    if other is not None:
        # An address is used by one member at a time: the one that was
        # started last.
        if other.born > entry.born:
            entry = departed(entry)
        else:
            directory = directory.put(departed(other))
            written.append(departed(other))
    directory = directory.put(entry)
    if known is None or not _means_the_same(known, entry):
        written.append(entry)
    return directory, written


def _other_at_address(
    directory: FleetDirectory, entry: MemberEntry
) -> MemberEntry | None:
    user = directory.addresses.get(entry.address)
    if user is None or user == entry.upstream_id:
        return None
    return directory.entries[user]


def _replaced(
    members: tuple[MemberEntry, ...], entry: MemberEntry
) -> tuple[MemberEntry, ...]:
    if all(member.upstream_id != entry.upstream_id for member in members):
        return (*members, entry)
    return tuple(
        entry if member.upstream_id == entry.upstream_id else member
        for member in members
    )


def _without(
    members: tuple[MemberEntry, ...], gone: MemberEntry
) -> tuple[MemberEntry, ...]:
    return tuple(
        member for member in members if member.upstream_id != gone.upstream_id
    )


def _means_the_same(known: MemberEntry, entry: MemberEntry) -> bool:
    return msgspec.structs.replace(known, sequence=entry.sequence) == entry


def _is_gone(entry: MemberEntry) -> bool:
    return entry.availability == MemberAvailability.gone
