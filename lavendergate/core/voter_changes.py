"""Selects the next configuration change of the replicated log.

Failed control hosts are replaced automatically: hosts that request to join
become learners, learners that have caught up become voters, and voters that do
not answer are removed once another host has taken their place. Each change
concerns one host.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from lavendergate.core.commands import ChangeVoters
from lavendergate.core.types import HostId

# With five voters, a majority remains while one is being replaced and another
# one fails.
TARGET_VOTERS = 5
# Limit of voters and learners; further hosts do not receive the log.
_MAX_VOTERS_AND_LEARNERS = 9
# A voter that does not answer for this long is replaced if a learner has caught
# up. A restart takes less time than this.
_VOTER_TIMEOUT_S = 4.0
# A learner that does not answer for this long is removed.
_LEARNER_TIMEOUT_S = 20.0
# A learner that lacks at most this many entries keeps up with the leader's
# current rate.
_MAX_MISSING_ENTRIES = 16
# A learner counts as caught up only if its last answer is not older than this.
_MAX_ANSWER_AGE_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeProgress:
    """Replication state of a node, as the leader sees it.

    Parameters
    ----------
    since_answer_s
        Time since its last answer, in seconds.
    missing_entries
        Number of entries that it has not confirmed.
    """

    incarnation: str
    since_answer_s: float
    missing_entries: int


@dataclass(frozen=True, kw_only=True, slots=True)
class JoiningHost:
    """A host that has requested to join the control hosts."""

    host_id: HostId
    incarnation: str
    address: str


def next_configuration(
    current: ChangeVoters,
    progress: Mapping[HostId, NodeProgress],
    joining_hosts: tuple[JoiningHost, ...],
) -> ChangeVoters | None:
    """Return the next configuration, or None if no change is required.

    Parameters
    ----------
    current
        Committed configuration.
    progress
        Replication state of the nodes other than the leader.
    joining_hosts
        Hosts that recently requested to join.
    """
    selector = _ChangeSelector(current=current, progress=progress)
    for joining_host in joining_hosts:
        change = selector.add_learner(joining_host)
        if change is not None:
            return change
    return (
        selector.promote_learner()
        or selector.reduce_voters()
        or selector.remove_unresponsive_learner()
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class _ChangeSelector:
    current: ChangeVoters
    progress: Mapping[HostId, NodeProgress]

    def add_learner(self, joining_host: JoiningHost) -> ChangeVoters | None:
        """Add a host as a learner, after its former incarnation is removed."""
        current = self.current
        known = current.incarnations.get(joining_host.host_id)
        if known is None:
            if (
                len(current.voters | current.learners)
                >= _MAX_VOTERS_AND_LEARNERS
            ):
                return None
            return _with_learner(current, joining_host)
        if known != joining_host.incarnation:
            # The host lost its disk, including the entries that it had
            # confirmed, so its former votes and confirmations do not hold.
            return _without_node(current, joining_host.host_id)
        return None

    def promote_learner(self) -> ChangeVoters | None:
        """Make a learner that has caught up a voter, if one is required."""
        current = self.current
        lacks_voters = len(current.voters) < TARGET_VOTERS
        may_replace = len(current.voters) == TARGET_VOTERS
        if not (lacks_voters or (may_replace and self._unresponsive_voters())):
            return None
        for host_id in sorted(current.learners):
            if self._is_caught_up(host_id):
                return msgspec.structs.replace(
                    current,
                    voters=current.voters | {host_id},
                    learners=current.learners - {host_id},
                )
        return None

    def reduce_voters(self) -> ChangeVoters | None:
        """Remove or demote a voter if there are too many.

        The one that has not answered for the longest time is removed. If all
        answer, one becomes a learner.
        """
        if len(self.current.voters) <= TARGET_VOTERS:
            return None
        unresponsive = self._unresponsive_voters()
        if unresponsive:
            return _without_node(self.current, unresponsive[0])
        others = self.current.voters & self.progress.keys()
        if not others:
            return None
        surplus = max(others)
        return msgspec.structs.replace(
            self.current,
            voters=self.current.voters - {surplus},
            learners=self.current.learners | {surplus},
        )

    def remove_unresponsive_learner(self) -> ChangeVoters | None:
        """Remove a learner that no longer answers."""
        for host_id in sorted(self.current.learners):
            node = self.progress.get(host_id)
            if node is not None and node.since_answer_s >= _LEARNER_TIMEOUT_S:
                return _without_node(self.current, host_id)
        return None

    def _unresponsive_voters(self) -> list[HostId]:
        unresponsive = [
            (node.since_answer_s, host_id)
            for host_id, node in self.progress.items()
            if host_id in self.current.voters
            and node.since_answer_s >= _VOTER_TIMEOUT_S
        ]
        return [host_id for _, host_id in sorted(unresponsive, reverse=True)]

    def _is_caught_up(self, host_id: HostId) -> bool:
        node = self.progress.get(host_id)
        return (
            node is not None
            and node.since_answer_s <= _MAX_ANSWER_AGE_S
            and node.missing_entries <= _MAX_MISSING_ENTRIES
        )


def _with_learner(
    current: ChangeVoters, joining_host: JoiningHost
) -> ChangeVoters:
    host_id = joining_host.host_id
    return msgspec.structs.replace(
        current,
        learners=current.learners | {host_id},
        addresses=current.addresses | {host_id: joining_host.address},
        incarnations=current.incarnations | {host_id: joining_host.incarnation},
    )


def _without_node(current: ChangeVoters, host_id: HostId) -> ChangeVoters:
    return msgspec.structs.replace(
        current,
        voters=current.voters - {host_id},
        learners=current.learners - {host_id},
        addresses=_without_key(current.addresses, host_id),
        incarnations=_without_key(current.incarnations, host_id),
    )


def _without_key(
    mapping: dict[HostId, str], host_id: HostId
) -> dict[HostId, str]:
    return {key: kept for key, kept in mapping.items() if key != host_id}
