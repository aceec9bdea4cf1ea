"""Evidence of a proxy that a member was the newest primary of its service.

The position that a primary reports includes all acknowledged commits only if
no other member was promoted before. Reported positions are therefore used once
a lease, or the reports of all other members, cover the time of the question.

A commit may be acknowledged only if no order to promote a member that lacks it
may be on its way. A lease proves this: an order is sent after all leases have
ended. Without one, each other member must have received the commit, so that any
member that is promoted has it. That one replica confirmed it is not enough: the
replica may have been absent when the order was proved, and have returned since.

Nor is it enough that all members have it that the proxy knows: another one may
have joined since the proxy last heard from control, and be ordered to lead
while all the others are away. As many members as confirm a commit must
therefore have run without a break since the last lease. An order that was
proved later has paused them, so that its candidate has all that they have.
"""

import enum
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from lavendergate.core.sessions.freshness import (
    PositionHistory,
    PositionSample,
)
from lavendergate.core.sessions.statements import MemberReport
from lavendergate.core.types import LogPosition, Term, UpstreamId

_NEVER = float('-inf')
# Positions that may wait for evidence. Without a lease, a proxy asks for a few
# positions a second.
_PENDING_LIMIT = 64
# Time for which a report of all other members shows that they receive the
# primary's commits, in seconds.
_RECEIVING_VALIDITY_S = 0.5
# Time for which members that could prove no commit are taken to prove none, in
# seconds.
_FAILURE_VALIDITY_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class PrimaryClaim:
    """A member that claims to be the primary in a term."""

    upstream_id: UpstreamId
    term: Term


@dataclass(frozen=True, kw_only=True, slots=True)
class PrimaryCommit:
    """A commit that the primary of a service has completed.

    Parameters
    ----------
    completed_at
        When its answer arrived, in seconds.
    """

    upstream_id: UpstreamId
    position: LogPosition
    completed_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReplicaReport:
    """What a member other than the primary has reported.

    Parameters
    ----------
    received
        Position that it had received.
    running_since
        Time since when it is known to have run without a break, in seconds.
    """

    received: LogPosition
    running_since: float


@enum.unique
class CommitProof(enum.Enum):
    """What proves that a commit survives each promotion.

    `lease`: a lease covers the time of its answer.
    `members`: all other members have received it.
    `none`: nothing yet.
    `impossible`: its member is no longer the newest primary.
    """

    lease = 'lease'
    members = 'members'
    none = 'none'
    impossible = 'impossible'


@dataclass(kw_only=True, slots=True)
class PrimaryEvidence:
    """What one proxy can prove about the primary of a service.

    All times are in seconds on a clock that also runs while the host is
    suspended.

    Parameters
    ----------
    claim
        The present primary, as far as the proxy knows; None if none is known.
    history
        Positions that are proved to include all commits acknowledged before
        they were requested.
    """

    claim: PrimaryClaim | None = None
    history: PositionHistory = field(default_factory=PositionHistory)
    _confirmed_until: float = _NEVER
    _leased_until: float = _NEVER
    _received_by_all: LogPosition | None = None
    _all_receive_at: float = _NEVER
    _unprovable_at: float = _NEVER
    # All orders that may be on their way were proved after this time.
    _ordered_after: float = _NEVER
    _pending: list[PositionSample] = field(default_factory=list)
    _newest: LogPosition | None = None

    @property
    def newest_position(self) -> LogPosition | None:
        """Highest position that the present primary has reported."""
        return self._newest

    def follow(self, claim: PrimaryClaim | None) -> None:
        """Adopt a primary; unproved positions of another one are dropped.

        Leases on the service were promises about every order, so the end of
        the last one holds for the next primary, too.
        """
        if claim != self.claim:
            self.claim = claim
            self._confirmed_until = _NEVER
            self._leased_until = _NEVER
            self._received_by_all = None
            self._all_receive_at = _NEVER
            self._unprovable_at = _NEVER
            self._pending = []
            self._newest = None

    def confirm(self, claim: PrimaryClaim, until: float) -> None:
        """Record that no other member was promoted before a time."""
        if claim != self.claim:
            return
        self._confirmed_until = max(self._confirmed_until, until)
        waiting, self._pending = self._pending, []
        for sample in waiting:
            self._add(sample)

    def lease(self, claim: PrimaryClaim, until: float) -> None:
        """Record that no order is sent, and none is on its way, until a time.

        An order on its way may still name the primary itself.
        """
        self._ordered_after = max(self._ordered_after, until)
        if claim == self.claim:
            self._leased_until = max(self._leased_until, until)
        self.confirm(claim, until)

    def record_received(
        self,
        claim: PrimaryClaim,
        reported: LogPosition,
        replicas: Collection[ReplicaReport],
        asked_at: float,
        *,
        synchronous_replicas: int = 1,
    ) -> None:
        """Record what all other members had received.

        Parameters
        ----------
        reported
            Position that the primary reported before they were asked.
        replicas
            Report of each other member.
        synchronous_replicas
            Number of replicas that confirm each commit.
        """
        if claim != self.claim or not replicas:
            return
        unbroken = sum(
            replica.running_since <= self._ordered_after for replica in replicas
        )
        if unbroken < max(1, synchronous_replicas):
            self.record_unprovable(claim, asked_at)
            return
        self._unprovable_at = _NEVER
        least = min(replica.received for replica in replicas)
        if self._received_by_all is None or least > self._received_by_all:
            self._received_by_all = least
        if least >= reported:
            self._all_receive_at = max(self._all_receive_at, asked_at)

    def record_unprovable(self, claim: PrimaryClaim, now: float) -> None:
        """Record that the other members could prove no commit.

        One did not answer, or too few have run since the last lease.
        """
        if claim == self.claim:
            self._unprovable_at = now

    def is_unprovable(self, now: float) -> bool:
        """Return whether the other members could recently prove no commit."""
        return now - self._unprovable_at <= _FAILURE_VALIDITY_S

    def is_leased_at(self, moment: float) -> bool:
        """Return whether a lease covers a time."""
        return moment <= self._leased_until

    def may_prove_commits(self, now: float) -> bool:
        """Return whether a commit that ends now could probably be proved."""
        if self.is_leased_at(now):
            return True
        return now - self._all_receive_at <= _RECEIVING_VALIDITY_S

    def proof_of(self, commit: PrimaryCommit) -> CommitProof:
        """Return what proves that a commit survives each promotion."""
        claim = self.claim
        if claim is None:
            return CommitProof.none
        is_of_claim = (
            commit.upstream_id == claim.upstream_id
            and commit.position.term == claim.term
        )
        if not is_of_claim:
            return CommitProof.impossible
        if self.is_leased_at(commit.completed_at):
            return CommitProof.lease
        received = self._received_by_all
        if received is not None and received >= commit.position:
            return CommitProof.members
        return CommitProof.none

    def add(self, claim: PrimaryClaim, sample: PositionSample) -> None:
        """Add a position that a member reported as primary."""
        if claim != self.claim:
            return
        if self._newest is None or sample.position > self._newest:
            self._newest = sample.position
        self._add(sample)

    def is_confirmed_at(self, moment: float) -> bool:
        """Return whether no other member was promoted before a time."""
        return moment <= self._confirmed_until

    def forget_beyond(self, position: LogPosition) -> None:
        """Remove positions beyond `position`, where the log was truncated."""
        self.history.forget_beyond(position)
        self._pending = [
            sample for sample in self._pending if sample.position <= position
        ]
        self._newest = None
        self._received_by_all = None

    def _add(self, sample: PositionSample) -> None:
        if self.is_confirmed_at(sample.asked_at):
            self.history.add(sample)
        else:
            self._pending = [*self._pending, sample][-_PENDING_LIMIT:]


def confirms_primary(
    claim: PrimaryClaim, reports: Iterable[MemberReport | None]
) -> bool:
    """Return whether the other members show that a primary still leads.

    A member is the primary of the next term from the moment of its promotion.
    If no other member reports this or a newer term as primary, or knows a newer
    term, none was promoted before they were asked.

    Parameters
    ----------
    reports
        Report of each other member of the service; None for a member that
        did not answer.
    """
    return all(
        report is not None and not _contradicts(claim, report)
        for report in reports
    )


def _contradicts(claim: PrimaryClaim, report: MemberReport) -> bool:
    if report.is_primary:
        return report.term >= claim.term
    return report.term > claim.term
