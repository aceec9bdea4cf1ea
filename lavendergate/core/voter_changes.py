"""Which change of its voters a control group needs next.

The group repairs itself: hosts that ask to join become learners, learners
that have caught up become voters, and voters that stay silent are removed
once another host is there in their place. Each change concerns one host.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from lavendergate.core.commands import ChangeVoters
from lavendergate.core.types import HostId

# Five voters serve on while one is replaced and another one fails.
TARGET_VOTERS = 5
# Hosts beyond this number do not receive the log.
_MAX_NODES = 9
# A voter that is silent this long is replaced if a learner is ready, in
# seconds. A restart takes less.
_REPLACE_AFTER_S = 4.0
# A learner that is silent this long is dropped, in seconds.
_FORGET_AFTER_S = 20.0
# A learner that lacks no more than this follows the leader's current rate.
_CAUGHT_UP_ENTRIES = 16
_IN_CONTACT_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeContact:
    """How a node follows the leader.

    Parameters
    ----------
    silent_s
        Time since its last answer, in seconds.
    missing_entries
        Entries that it has not confirmed.
    """

    incarnation: str
    silent_s: float
    missing_entries: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Joiner:
    """A host that asks to join."""

    host_id: HostId
    incarnation: str
    address: str


def next_change(
    current: ChangeVoters,
    contacts: Mapping[HostId, NodeContact],
    joiners: tuple[Joiner, ...],
) -> ChangeVoters | None:
    """Return the next configuration; None if it is as it should be.

    Parameters
    ----------
    current
        Committed configuration.
    contacts
        How the other nodes follow the leader.
    joiners
        Hosts that asked to join lately.
    """
    group = _Group(current=current, contacts=contacts)
    for joiner in joiners:
        change = group.admit(joiner)
        if change is not None:
            return change
    return group.promote() or group.shrink() or group.forget()


@dataclass(frozen=True, kw_only=True, slots=True)
class _Group:
    current: ChangeVoters
    contacts: Mapping[HostId, NodeContact]

    def admit(self, joiner: Joiner) -> ChangeVoters | None:
        """Add a host as a learner; its former incarnation leaves first."""
        current = self.current
        known = current.incarnations.get(joiner.host_id)
        if known is None:
            if len(current.voters | current.learners) >= _MAX_NODES:
                return None
            return _with_learner(current, joiner)
        if known != joiner.incarnation:
            # It lost its disk, and with it what it had confirmed.
            return _without(current, joiner.host_id)
        return None

    def promote(self) -> ChangeVoters | None:
        """Make a learner that has caught up a voter, where one is needed."""
        current = self.current
        lacks_voters = len(current.voters) < TARGET_VOTERS
        may_replace = len(current.voters) == TARGET_VOTERS
        if not (lacks_voters or (may_replace and self._silent_voters())):
            return None
        for host_id in sorted(current.learners):
            if self._is_caught_up(host_id):
                return msgspec.structs.replace(
                    current,
                    voters=current.voters | {host_id},
                    learners=current.learners - {host_id},
                )
        return None

    def shrink(self) -> ChangeVoters | None:
        """Remove the voter that is silent longest, if there are too many."""
        if len(self.current.voters) <= TARGET_VOTERS:
            return None
        silent = self._silent_voters()
        if silent:
            return _without(self.current, silent[0])
        others = self.current.voters & self.contacts.keys()
        if not others:
            return None
        surplus = max(others)
        return msgspec.structs.replace(
            self.current,
            voters=self.current.voters - {surplus},
            learners=self.current.learners | {surplus},
        )

    def forget(self) -> ChangeVoters | None:
        """Remove a learner that does not answer any more."""
        for host_id in sorted(self.current.learners):
            contact = self.contacts.get(host_id)
            if contact is not None and contact.silent_s >= _FORGET_AFTER_S:
                return _without(self.current, host_id)
        return None

    def _silent_voters(self) -> list[HostId]:
        silent = [
            (contact.silent_s, host_id)
            for host_id, contact in self.contacts.items()
            if host_id in self.current.voters
            and contact.silent_s >= _REPLACE_AFTER_S
        ]
        return [host_id for _, host_id in sorted(silent, reverse=True)]

    def _is_caught_up(self, host_id: HostId) -> bool:
        contact = self.contacts.get(host_id)
        return (
            contact is not None
            and contact.silent_s <= _IN_CONTACT_S
            and contact.missing_entries <= _CAUGHT_UP_ENTRIES
        )


def _with_learner(current: ChangeVoters, joiner: Joiner) -> ChangeVoters:
    host_id = joiner.host_id
    return msgspec.structs.replace(
        current,
        learners=current.learners | {host_id},
        addresses=current.addresses | {host_id: joiner.address},
        incarnations=current.incarnations | {host_id: joiner.incarnation},
    )


def _without(current: ChangeVoters, host_id: HostId) -> ChangeVoters:
    return msgspec.structs.replace(
        current,
        voters=current.voters - {host_id},
        learners=current.learners - {host_id},
        addresses=_drop(current.addresses, host_id),
        incarnations=_drop(current.incarnations, host_id),
    )


def _drop(mapping: dict[HostId, str], host_id: HostId) -> dict[HostId, str]:
    return {key: kept for key, kept in mapping.items() if key != host_id}
