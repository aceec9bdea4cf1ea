"""Which member may follow a primary that an outside order replaces.

The platform promotes whom the system names, with what that member has
received and nothing more. A commit is acknowledged once the primary and
`synchronous_replicas` replicas have it. So a successor holds every
acknowledged commit if no other replica can have received more: all others
are paused, and none of them is ahead of the successor.
"""

from dataclasses import dataclass, field

from lavendergate.core.types import LogPosition, Term, UpstreamId

# A primary without an answer for this long is replaced, in seconds. It
# outlasts a lost packet and one retransmission between regions.
PRIMARY_SILENCE_S = 0.7
# Replicas that receive nothing for this long although the primary is ahead
# are cut off from it, in seconds.
REPLICATION_STALL_S = 1.5
# Replicas catch up with what a departed one had acknowledged within this
# time, in seconds, even if the primary was not seen since.
DEPARTURE_GRACE_S = 15.0
# Reports of proxies count for this long, in seconds.
REPORT_AGE_LIMIT_S = 1.5


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberObservation:
    """What the leader of control saw of one member.

    Parameters
    ----------
    is_leaving
        Whether the member announced that it is leaving.
    answered_at
        Time of the last answer to a status question, in seconds.
    failing_since
        Time of the first unanswered question since; None while it answers.
    behind_since
        Time since which the member lacks a position that the primary had;
        None if it holds what the primary had when it was last compared.
    paused_term
        Term of the pause in force at the member; 0 if it receives.
    """

    upstream_id: UpstreamId
    is_leaving: bool
    is_primary: bool
    term: Term
    received: LogPosition
    answered_at: float
    failing_since: float | None
    behind_since: float | None
    paused_term: Term


@dataclass(frozen=True, kw_only=True, slots=True)
class ReachReport:
    """How one proxy reaches a service's primary."""

    reported_at: float
    reachable: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceObservation:
    """What the leader of control knows about a service.

    Parameters
    ----------
    primary
        Member that leads the newest term known; None if there is none.
    members
        All members that are not gone.
    reports
        Latest report of each proxy that used the primary lately.
    departed_at
        When a replica last left or started again empty; None if none did.
    primary_seen_at
        When the primary last reported its position.
    """

    primary: UpstreamId | None
    members: tuple[MemberObservation, ...]
    reports: tuple[ReachReport, ...] = ()
    departed_at: float | None = None
    primary_seen_at: float | None = None

    def member(
        self, upstream_id: UpstreamId | None
    ) -> MemberObservation | None:
        """Return the observation of a member."""
        for known in self.members:
            if known.upstream_id == upstream_id:
                return known
        return None

    @property
    def replicas(self) -> tuple[MemberObservation, ...]:
        """All members but the primary."""
        return tuple(
            known for known in self.members if known.upstream_id != self.primary
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Keep:
    """The primary stays."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Replace:
    """The primary is to be replaced.

    Parameters
    ----------
    reason
        Why, for the logs.
    """

    reason: str


Verdict = Keep | Replace


def judge_primary(observed: ServiceObservation, now: float) -> Verdict:
    """Decide whether a service needs another primary."""
    primary = observed.member(observed.primary)
    if primary is None:
        return _judge_absent(observed)
    if primary.is_leaving and _has_successor(observed):
        return Replace(reason='the primary is leaving')
    if _is_silent(primary, now) and not _proxies_reach(observed, now):
        return Replace(reason='the primary does not answer')
    if _proxies_miss(observed, now):
        return Replace(reason='most proxies do not reach the primary')
    if _is_cut_from_replicas(observed, now):
        return Replace(reason='the replicas do not receive from the primary')
    return Keep()


def _judge_absent(observed: ServiceObservation) -> Verdict:
    answered = [
        known for known in observed.members if known.answered_at > float('-inf')
    ]
    if len(answered) < len(observed.members) or len(answered) < 2:
        return Keep()
    return Replace(reason='no member leads')


def _has_successor(observed: ServiceObservation) -> bool:
    return any(
        not replica.is_leaving and replica.failing_since is None
        for replica in observed.replicas
    )


def _is_silent(member: MemberObservation, now: float) -> bool:
    since = member.failing_since
    return since is not None and now - since >= PRIMARY_SILENCE_S


def _recent(
    observed: ServiceObservation, now: float
) -> tuple[ReachReport, ...]:
    return tuple(
        report
        for report in observed.reports
        if now - report.reported_at <= REPORT_AGE_LIMIT_S
    )


def _proxies_reach(observed: ServiceObservation, now: float) -> bool:
    recent = _recent(observed, now)
    reaching = sum(report.reachable for report in recent)
    return reaching * 2 > len(recent)


def _proxies_miss(observed: ServiceObservation, now: float) -> bool:
    recent = _recent(observed, now)
    missing = sum(not report.reachable for report in recent)
    return missing >= 2 and missing * 2 > len(recent)


def _is_cut_from_replicas(observed: ServiceObservation, now: float) -> bool:
    replicas = [
        replica
        for replica in observed.replicas
        if replica.failing_since is None and not replica.paused_term
    ]
    return bool(replicas) and all(
        replica.behind_since is not None
        and now - replica.behind_since >= REPLICATION_STALL_S
        for replica in replicas
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class PausedReplica:
    """A replica that receives nothing until it is resumed or promoted."""

    upstream_id: UpstreamId
    received: LogPosition


@dataclass(frozen=True, kw_only=True, slots=True)
class Evidence:
    """What is proved about the replicas before a promotion.

    Parameters
    ----------
    candidate, candidate_received
        Member to promote, and its position read after all pauses.
    paused
        Replicas that confirmed the pause.
    unproved
        Replicas without a confirmed pause. Each could have received a
        commit that no other replica holds.
    """

    candidate: UpstreamId
    candidate_received: LogPosition
    paused: tuple[PausedReplica, ...] = ()
    unproved: frozenset[UpstreamId] = field(default_factory=frozenset)


@dataclass(frozen=True, kw_only=True, slots=True)
class Promotable:
    """The candidate holds every acknowledged commit."""

    upstream_id: UpstreamId


@dataclass(frozen=True, kw_only=True, slots=True)
class Unproved:
    """A commit could be lost; the promotion has to wait.

    Parameters
    ----------
    better
        Replica that is ahead of the candidate, if that is the reason.
    """

    reason: str
    better: UpstreamId | None = None


Proof = Promotable | Unproved


def choose_candidate(
    observed: ServiceObservation, ordered: UpstreamId | None
) -> UpstreamId | None:
    """Return the replica that is most likely to hold everything.

    Parameters
    ----------
    observed
        What is known about the service.
    ordered
        Member that an earlier order named, whose outcome is not known. The
        order may still be carried out, so the same member is preferred.
    """
    able = [
        replica
        for replica in observed.replicas
        if replica.failing_since is None and replica.answered_at > float('-inf')
    ]
    staying = [replica for replica in able if not replica.is_leaving] or able
    if not staying:
        return None
    return max(
        staying,
        key=lambda replica: (
            replica.received,
            replica.upstream_id == ordered,
            replica.upstream_id,
        ),
    ).upstream_id


def prove(
    observed: ServiceObservation,
    evidence: Evidence,
    now: float,
    *,
    synchronous_replicas: int,
) -> Proof:
    """Return whether the candidate holds every acknowledged commit.

    Parameters
    ----------
    observed
        What is known about the service.
    evidence
        Positions that were read after the pauses.
    now
        Monotonic time, in seconds.
    synchronous_replicas
        Replicas that hold a commit before it is acknowledged; with none, no
        replica is certain to hold anything.
    """
    if len(evidence.unproved) >= max(1, synchronous_replicas):
        names = ', '.join(sorted(evidence.unproved))
        return Unproved(reason=f'replicas {names} did not confirm the pause')
    for replica in evidence.paused:
        if replica.received > evidence.candidate_received:
            return Unproved(
                reason=f'replica {replica.upstream_id} received more',
                better=replica.upstream_id,
            )
    if _may_lack_departed(observed, now):
        return Unproved(
            reason='a replica left and the primary was not seen since'
        )
    return Promotable(upstream_id=evidence.candidate)


def _may_lack_departed(observed: ServiceObservation, now: float) -> bool:
    departed_at = observed.departed_at
    if departed_at is None or now - departed_at >= DEPARTURE_GRACE_S:
        return False
    seen_at = observed.primary_seen_at
    return seen_at is None or seen_at <= departed_at
