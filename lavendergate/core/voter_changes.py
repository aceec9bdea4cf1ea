"""Selects the next configuration change of the replicated log.

Failed control hosts are replaced automatically: hosts that request to join
become learners, learners that have caught up become voters, and voters that
have left are removed. Each change concerns one host.

A voter that has left is removed only if the group then bears more losses. With
an odd number of voters the removal of one gains nothing, and the group would
need another voter if the removed one came back with its disk. So one is removed
from an even number of voters, and two of an odd number only after a time in
which a host would have been restarted.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from lavendergate.core.commands import ChangeVoters
from lavendergate.core.types import HostId

# With five voters, a majority remains while one is being replaced and another
# one fails.
TARGET_VOTERS = 5
# Seven voters bear the loss of three disks; so many vote only if as many hosts
# are present. A further voter would raise the majority for each commit.
MAX_VOTERS = 7
# With two voters, each acknowledged change is on both; with one it would be on
# a single disk, and a stop signal does not tell whether the host comes back.
_MIN_VOTERS = 3
# Limit of voters and learners; further hosts do not receive the log.
_MAX_VOTERS_AND_LEARNERS = 9
# A voter that does not answer for this long is replaced or removed if the group
# then bears more losses. A restart takes less time than this.
_VOTER_TIMEOUT_S = 4.0
# A voter that does not answer for this long gives its place to a learner that
# has caught up: a host that joins meanwhile shows that it was replaced. Most
# restarts take less time.
REPLACED_VOTER_TIMEOUT_S = 2.5
# A voter that did not announce its stop is counted among two that are removed
# from an odd number of voters only after this time. The group of the remaining
# ones bears fewer losses than the one with hosts that come back, and a machine
# that reboots, is frozen or is cut off comes back within this time.
_ABSENT_VOTER_TIMEOUT_S = 60.0
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
    has_answered
        Whether it has answered this leader. If not, `since_answer_s` counts
        from the time at which the leader began to replicate to it.
    """

    incarnation: str
    since_answer_s: float
    missing_entries: int
    has_answered: bool = True


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
    leaving: frozenset[HostId] = frozenset(),
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
    leaving
        Hosts that announced their stop and have not answered since.
    """
    selector = _ChangeSelector(
        current=current, progress=progress, leaving=leaving
    )
    for joining_host in joining_hosts:
        change = selector.add_learner(joining_host)
        if change is not None:
            return change
    return (
        selector.remove_departed_voter()
        or selector.promote_learner()
        or selector.demote_surplus_voter()
        or selector.remove_unresponsive_learner()
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class _ChangeSelector:
    current: ChangeVoters
    progress: Mapping[HostId, NodeProgress]
    leaving: frozenset[HostId]

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

    def remove_departed_voter(self) -> ChangeVoters | None:
        """Remove a voter that has left, if the group then bears more losses.

        The one that has not answered for the longest time is removed.
        """
        count = len(self.current.voters)
        if count <= _MIN_VOTERS:
            return None
        candidates = self._departed_voters()
        if count % 2:
            candidates = self._absent_voters()
            if len(candidates) < 2 or count - 2 < _MIN_VOTERS:
                return None
        if not candidates:
            return None
        change = _without_node(self.current, candidates[0])
        return change if self._can_commit(change) else None

    def promote_learner(self) -> ChangeVoters | None:
        """Make a learner that has caught up a voter, if one is required."""
        current = self.current
        caught_up = [
            host_id
            for host_id in sorted(current.learners)
            if self._is_caught_up(host_id)
        ]
        if len(caught_up) < self._learners_required():
            return None
        if self._awaits_silent_voter():
            return None
        promoted = caught_up[0]
        return msgspec.structs.replace(
            current,
            voters=current.voters | {promoted},
            learners=current.learners - {promoted},
        )

    def demote_surplus_voter(self) -> ChangeVoters | None:
        """Make a voter a learner if there are too many voters.

        Six voters bear no more losses than five, so they are kept only while
        a learner may become the seventh.
        """
        count = len(self.current.voters)
        has_next = any(self._answers(host) for host in self.current.learners)
        is_surplus = count > MAX_VOTERS or (
            count == TARGET_VOTERS + 1 and not has_next
        )
        others = self.current.voters & self.progress.keys()
        if not (is_surplus and others):
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
            timeout_s = _LEARNER_TIMEOUT_S
            if host_id in self.leaving:
                timeout_s = _VOTER_TIMEOUT_S
            if self._since_answer_s(host_id) >= timeout_s:
                return _without_node(self.current, host_id)
        return None

    def _learners_required(self) -> float:
        """Return how many learners must have caught up to promote one."""
        count = len(self.current.voters)
        if count < TARGET_VOTERS:
            return 1
        if count <= MAX_VOTERS and self._departed_voters():
            return 1
        # An even number of voters is only a step to the next odd one.
        return MAX_VOTERS - count if count < MAX_VOTERS else math.inf

    def _awaits_silent_voter(self) -> bool:
        """Return whether a voter must answer or be replaced first.

        Beside a silent voter, an odd group that grows by one bears no more
        losses, and if the leader is lost meanwhile it needs one more host.
        """
        voters = self.current.voters
        if len(voters) % 2 == 0 or len(voters) >= TARGET_VOTERS:
            return False
        return any(
            _MAX_ANSWER_AGE_S
            < self._since_answer_s(host_id)
            < REPLACED_VOTER_TIMEOUT_S
            for host_id in voters - self.leaving
        )

    def _departed_voters(self) -> list[HostId]:
        """Return voters that are stopping or have not answered for a while."""
        return self._longest_silent_first(
            host_id
            for host_id in self.current.voters
            if host_id in self.leaving
            or self._since_answer_s(host_id) >= _VOTER_TIMEOUT_S
        )

    def _absent_voters(self) -> list[HostId]:
        """Return voters that would have come back after a restart."""
        return self._longest_silent_first(
            host_id
            for host_id in self.current.voters
            if self._since_answer_s(host_id)
            >= (
                _VOTER_TIMEOUT_S
                if host_id in self.leaving
                else _ABSENT_VOTER_TIMEOUT_S
            )
        )

    def _longest_silent_first(self, hosts: Iterable[HostId]) -> list[HostId]:
        return sorted(
            hosts,
            key=lambda host_id: (self._since_answer_s(host_id), host_id),
            reverse=True,
        )

    def _can_commit(self, change: ChangeVoters) -> bool:
        """Return whether a majority of the changed voters answers."""
        staying = change.voters - self.leaving
        answering = sum(self._answers(host_id) for host_id in staying)
        return answering > len(change.voters) // 2

    def _since_answer_s(self, host_id: HostId) -> float:
        node = self.progress.get(host_id)
        return 0 if node is None else node.since_answer_s

    def _answers(self, host_id: HostId) -> bool:
        return self._since_answer_s(host_id) <= _MAX_ANSWER_AGE_S

    def _is_caught_up(self, host_id: HostId) -> bool:
        node = self.progress.get(host_id)
        return (
            node is not None
            and node.has_answered
            and host_id not in self.leaving
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
