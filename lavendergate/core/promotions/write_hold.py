"""Decides when the first writes may be sent to the primary of a new term.

Replicas that were ahead of a promoted member are rolled back, and until one
follows, none can confirm a commit of the new term. A member that takes the
length of a replica's log for a confirmation acknowledges commits meanwhile that
no replica has received, and they are lost with it. A proxy therefore sends the
first writes once it has seen that as many replicas follow the term as confirm a
commit. Some members report a term only after its first write, so writes wait
no longer than a bound.
"""

import enum
from dataclasses import dataclass, replace

from lavendergate.core.leases.evidence import PrimaryClaim
from lavendergate.core.sessions.statements import MemberReport
from lavendergate.core.types import UpstreamId


@enum.unique
class HoldEnd(enum.Enum):
    """How the wait of a write, or of all writes of a term, ended.

    `followed`: enough replicas follow the term.
    `control`: the term is no longer new to the control leader.
    `bound`: too few did before the bound.
    `deadline`: the write has to be answered before the bound.
    `replaced`: the term has ended.
    """

    followed = 'followed'
    control = 'control'
    bound = 'bound'
    deadline = 'deadline'
    replaced = 'replaced'


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteHold:
    """What is known of the replicas of a new term.

    All times are in seconds on one monotonic clock.

    Parameters
    ----------
    claim
        The primary and its term.
    began_at
        When this host heard of the term.
    until
        End of the bound.
    followers
        Replicas that have reported the term.
    is_known_to_control
        Whether the term is no longer new to the control leader: enough
        replicas have reported it to the leader, or its bound is over.
    """

    claim: PrimaryClaim
    began_at: float
    until: float
    followers: frozenset[UpstreamId] = frozenset()
    is_known_to_control: bool = False

    def record_report(
        self, upstream_id: UpstreamId, report: MemberReport
    ) -> 'WriteHold':
        """Return the hold after a member has reported its state."""
        if report.is_primary or report.term != self.claim.term:
            return self
        return replace(self, followers=self.followers | {upstream_id})

    def end(self, now: float, *, needed: int) -> HoldEnd | None:
        """Return how the hold has ended; None while it lasts.

        Parameters
        ----------
        needed
            Number of replicas that confirm each commit.
        """
        if len(self.followers) >= needed:
            return HoldEnd.followed
        if self.is_known_to_control:
            return HoldEnd.control
        return HoldEnd.bound if now >= self.until else None


@dataclass(frozen=True, kw_only=True, slots=True)
class SendWrite:
    """The write may be sent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitForFollowers:
    """The write waits for the replicas.

    Parameters
    ----------
    until
        Time until which it waits at most, in seconds.
    """

    until: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RefuseWrite:
    """The write has to be answered before the hold surely ends.

    Parameters
    ----------
    retry_after_s
        Time after which a write is not held any more, in seconds.
    """

    retry_after_s: float


WriteDecision = SendWrite | WaitForFollowers | RefuseWrite


def decide_write(
    hold: WriteHold, *, needed: int, now: float, deadline: float
) -> WriteDecision:
    """Decide whether a write may be sent to the primary of a new term.

    Parameters
    ----------
    needed
        Number of replicas that confirm each commit.
    now, deadline
        Current time and the time by which the write must be answered, in
        seconds on the clock of the hold.
    """
    if hold.end(now, needed=needed) is not None:
        return SendWrite()
    if deadline <= hold.until:
        return RefuseWrite(retry_after_s=hold.until - now)
    return WaitForFollowers(until=hold.until)
