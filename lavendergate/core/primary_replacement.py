"""Decides when a primary is replaced and which replica may replace it.

The platform promotes the member that the control leader names, with the
entries that the member has received so far. A commit is acknowledged once the
primary and `synchronous_replicas` replicas have it. A candidate therefore has
every acknowledged commit if no paused replica is ahead of it and fewer than
`synchronous_replicas` other starts of members may hold commits that it lacks:
these are too few to have acknowledged a commit by themselves.

Such a start is a replica that is not paused, or one that has ended. It holds
nothing that the candidate lacks if it had ended when the primary last reported
a position that the candidate has.
"""

from dataclasses import dataclass, field

from lavendergate.core.departures.ledger import Departure
from lavendergate.core.types import LogPosition, Term, UpstreamId

# A primary that does not answer for this long is replaced. Long enough for one
# lost packet and its retransmission between regions.
PRIMARY_TIMEOUT_S = 0.7
# Replication counts as stalled if replicas receive nothing for this long
# although the primary is ahead of them.
REPLICATION_STALL_TIMEOUT_S = 1.5
# Reports of proxies are ignored when they are older than this.
REPORT_AGE_LIMIT_S = 1.5


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberObservation:
    """State of one member as the control leader observed it.

    All times are monotonic, in seconds.

    Parameters
    ----------
    is_leaving
        Whether the member announced that it is leaving.
    answered_at
        Time of the last answer to a status query; minus infinity before the
        first one.
    failing_since
        Time of the first unanswered query after the last answer; None while
        the member answers.
    behind_since
        Time since which the member lacks a position that the primary had;
        None if it was not behind the primary when they were last compared.
    paused_term
        Term of the replication pause in force at the member; 0 if it
        receives entries.
    waiting_since
        Time of the query that the member has not answered yet; None while no
        query is in flight.
    is_absent
        Whether no process listened at the member's address when it was last
        asked.
    bound
        Position that the primary reported since the member is absent. The
        member has confirmed no commit above it. None if there is none.
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
    waiting_since: float | None = None
    is_absent: bool = False
    bound: LogPosition | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ReachabilityReport:
    """Whether one proxy reaches the primary of a service."""

    reported_at: float
    reachable: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceObservation:
    """State of a service as the control leader observed it.

    Parameters
    ----------
    primary
        Primary of the newest known term; None if there is none.
    members
        All members that may run, also those that announced their departure.
    reports
        Latest report of each proxy that used the primary recently.
    departures
        Starts of replicas that have ended.
    had_primary
        Whether a primary of the service was ever seen.
    """

    primary: UpstreamId | None
    members: tuple[MemberObservation, ...]
    reports: tuple[ReachabilityReport, ...] = ()
    departures: tuple[Departure, ...] = ()
    had_primary: bool = False

    def member(
        self, upstream_id: UpstreamId | None
    ) -> MemberObservation | None:
        """Return the observation of a member, or None if it is not known."""
        for known in self.members:
            if known.upstream_id == upstream_id:
                return known
        return None

    @property
    def replicas(self) -> tuple[MemberObservation, ...]:
        """All members except the primary."""
        return tuple(
            known for known in self.members if known.upstream_id != self.primary
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class KeepPrimary:
    """No member is promoted now."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReplacePrimary:
    """The primary has to be replaced.

    Parameters
    ----------
    reason
        Why it is replaced, for the logs.
    """

    reason: str


ReplacementDecision = KeepPrimary | ReplacePrimary


def decide_replacement(
    observed: ServiceObservation, now: float, *, synchronous_replicas: int = 1
) -> ReplacementDecision:
    """Decide whether a service needs another primary.

    Parameters
    ----------
    synchronous_replicas
        Number of replicas that have a commit before it is acknowledged.
    now
        Monotonic time, in seconds.
    """
    primary = observed.member(observed.primary)
    if primary is None:
        return _decide_without_primary(observed)
    if primary.is_leaving and _may_hand_over(observed, synchronous_replicas):
        return ReplacePrimary(reason='the primary is leaving')
    if _is_unresponsive(primary, now) and not _most_proxies_reach_primary(
        observed, now
    ):
        return ReplacePrimary(reason='the primary does not answer')
    if _most_proxies_fail_to_reach_primary(observed, now):
        return ReplacePrimary(reason='most proxies do not reach the primary')
    if _is_replication_stalled(observed, now):
        return ReplacePrimary(
            reason='the replicas do not receive from the primary'
        )
    return KeepPrimary()


def _decide_without_primary(
    observed: ServiceObservation,
) -> ReplacementDecision:
    present = [known for known in observed.members if not known.is_absent]
    answered = [known for known in present if known.answered_at > float('-inf')]
    # While a service starts, its first member is not the only one.
    expected = 1 if observed.had_primary else 2
    if len(answered) < max(len(present), expected):
        return KeepPrimary()
    return ReplacePrimary(reason='no member is primary')


def _may_hand_over(
    observed: ServiceObservation, synchronous_replicas: int
) -> bool:
    """Whether a replica may follow a primary that still serves.

    Absent replicas may return and confirm commits before a promotion takes
    effect. The primary serves until they have returned or it has ended.
    """
    absent_count = sum(replica.is_absent for replica in observed.replicas)
    if absent_count >= max(1, synchronous_replicas):
        return False
    return any(
        not replica.is_leaving and replica.failing_since is None
        for replica in observed.replicas
    )


def _is_unresponsive(member: MemberObservation, now: float) -> bool:
    since = member.failing_since
    return since is not None and now - since >= PRIMARY_TIMEOUT_S


def _recent_reports(
    observed: ServiceObservation, now: float
) -> tuple[ReachabilityReport, ...]:
    return tuple(
        report
        for report in observed.reports
        if now - report.reported_at <= REPORT_AGE_LIMIT_S
    )


def _most_proxies_reach_primary(
    observed: ServiceObservation, now: float
) -> bool:
    recent = _recent_reports(observed, now)
    reachable_count = sum(report.reachable for report in recent)
    return reachable_count * 2 > len(recent)


def _most_proxies_fail_to_reach_primary(
    observed: ServiceObservation, now: float
) -> bool:
    """Whether at least two proxies, and more than half, do not reach it."""
    recent = _recent_reports(observed, now)
    unreachable_count = sum(not report.reachable for report in recent)
    return unreachable_count >= 2 and unreachable_count * 2 > len(recent)


def _is_replication_stalled(observed: ServiceObservation, now: float) -> bool:
    replicas = [
        replica
        for replica in observed.replicas
        if replica.failing_since is None and not replica.paused_term
    ]
    return bool(replicas) and all(
        replica.behind_since is not None
        and now - replica.behind_since >= REPLICATION_STALL_TIMEOUT_S
        for replica in replicas
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class PausedReplica:
    """Replica whose replication is paused until it is resumed or promoted."""

    upstream_id: UpstreamId
    received: LogPosition


@dataclass(frozen=True, kw_only=True, slots=True)
class PromotionEvidence:
    """Positions of the replicas, read after replication was paused.

    Parameters
    ----------
    candidate, candidate_received
        Member to promote, and its position, read after all pauses.
    paused
        Replicas that confirmed the pause.
    unconfirmed
        Replicas that did not confirm the pause. Each may have received a
        commit that no other replica has.
    """

    candidate: UpstreamId
    candidate_received: LogPosition
    paused: tuple[PausedReplica, ...] = ()
    unconfirmed: frozenset[UpstreamId] = field(default_factory=frozenset)


@dataclass(frozen=True, kw_only=True, slots=True)
class Promotable:
    """The candidate has every acknowledged commit and may be promoted.

    Parameters
    ----------
    absent
        Replicas that are not paused and whose bound the candidate has. The
        check holds only while no process listens at their addresses.
    """

    upstream_id: UpstreamId
    absent: frozenset[UpstreamId] = field(default_factory=frozenset)


@dataclass(frozen=True, kw_only=True, slots=True)
class NotPromotable:
    """The promotion could lose an acknowledged commit and has to wait.

    Parameters
    ----------
    more_advanced
        Replica that is ahead of the candidate; None if the reason is another.
    """

    reason: str
    more_advanced: UpstreamId | None = None


PromotionCheck = Promotable | NotPromotable


def choose_candidate(
    observed: ServiceObservation,
    ordered: UpstreamId | None,
    ahead: UpstreamId | None = None,
) -> UpstreamId | None:
    """Return the most advanced replica, or None.

    A replica that is leaving is chosen if no other one answers, or if it is
    known to be ahead of them and they cannot catch up. It is replaced itself
    as soon as another replica has its commits.

    Parameters
    ----------
    observed
        Latest observation of the service.
    ordered
        Member of an earlier promotion order whose outcome is not known. The
        order may still be carried out, so this member is preferred among
        replicas at the same position.
    ahead
        Paused replica that was ahead of the last candidate; None if none was.
    """
    available = [
        replica
        for replica in observed.replicas
        if replica.failing_since is None and replica.answered_at > float('-inf')
    ]
    primary = observed.member(observed.primary)
    # The primary that leaves as planned still sends its commits to others.
    is_planned = (
        primary is not None
        and primary.is_leaving
        and primary.failing_since is None
    )
    preferred = [
        replica
        for replica in available
        if not replica.is_leaving
        or (replica.upstream_id == ahead and not is_planned)
    ] or available
    if not preferred:
        return None
    return max(
        preferred,
        key=lambda replica: (
            replica.received,
            replica.upstream_id == ordered,
            not replica.is_leaving,
            replica.upstream_id,
        ),
    ).upstream_id


def check_promotion(
    observed: ServiceObservation,
    evidence: PromotionEvidence,
    *,
    synchronous_replicas: int,
    now: float,
) -> PromotionCheck:
    """Check whether the candidate has every acknowledged commit.

    Parameters
    ----------
    observed
        Latest observation of the service.
    evidence
        Positions of the replicas, read after the pauses.
    synchronous_replicas
        Number of replicas that have a commit before it is acknowledged. With
        0, no replica is certain to have any commit.
    now
        Monotonic time, in seconds.
    """
    absent: frozenset[UpstreamId] = frozenset()
    # A primary that serves sends its commits to an absent replica that returns
    # before the promotion takes effect.
    if not _may_serve(observed, now):
        absent = frozenset(
            name
            for name in evidence.unconfirmed
            if _has_commits_of_absent(observed.member(name), evidence)
        )
    uncertain = [
        f'replica {name} did not confirm the pause'
        for name in sorted(evidence.unconfirmed - absent)
    ]
    uncertain.extend(
        _explain_departure(departure)
        for departure in observed.departures
        if not _reaches(evidence, departure.bound)
    )
    if len(uncertain) >= max(1, synchronous_replicas):
        return NotPromotable(reason='; '.join(uncertain))
    for replica in evidence.paused:
        if replica.received > evidence.candidate_received:
            return NotPromotable(
                reason=(
                    f'replica {replica.upstream_id} is ahead of the candidate'
                ),
                more_advanced=replica.upstream_id,
            )
    return Promotable(upstream_id=evidence.candidate, absent=absent)


def _may_serve(observed: ServiceObservation, now: float) -> bool:
    """Whether control or most proxies reach the primary."""
    primary = observed.member(observed.primary)
    if primary is None:
        return False
    return not _is_unresponsive(primary, now) or _most_proxies_reach_primary(
        observed, now
    )


def _has_commits_of_absent(
    replica: MemberObservation | None, evidence: PromotionEvidence
) -> bool:
    if replica is None or not replica.is_absent:
        return False
    return _reaches(evidence, replica.bound)


def _reaches(evidence: PromotionEvidence, bound: LogPosition | None) -> bool:
    return bound is not None and evidence.candidate_received >= bound


def _explain_departure(departure: Departure) -> str:
    if departure.bound is None:
        return (
            f'replica {departure.upstream_id} left and the primary has not '
            'been seen since'
        )
    return (
        f'replica {departure.upstream_id} left and the candidate lacks '
        'commits of the primary'
    )
