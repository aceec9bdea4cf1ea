"""State, events and effects of the failover of one group."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from lavendergate.core.records import GroupRecord
from lavendergate.core.types import (
    NO_TERM,
    GroupId,
    LogPosition,
    MemberStatus,
    MemberView,
    Term,
    UpstreamId,
)
from lavendergate.core.watchers import NO_SUSPICION, Suspicion


@enum.unique
class Reason(enum.Enum):
    """Why a term begins."""

    first_primary = 'first primary of a new group'
    automatic = 'the primary is unreachable or lost its role'
    switchover = 'switchover'
    unfinished = 'an earlier promotion is unfinished'


@dataclass(frozen=True, kw_only=True, slots=True)
class FailoverSettings:
    """Settings of one group that control failover.

    Parameters
    ----------
    members
        Number of members that the group should have.
    min_interval_s
        Minimum time between automatic promotions, in seconds. It does not
        apply if all watchers report that the primary failed.
    """

    enabled: bool = True
    members: int = 3
    min_interval_s: float = 10.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """An attempt to establish a primary in a new term.

    Parameters
    ----------
    old_primary
        Primary to replace. It is promoted again only if no other choice is
        safe: the other fenced members are not a majority, and none of them
        is as advanced.
    target
        Member that an operator or a leaving primary wants promoted.
    """

    term: Term
    reason: Reason
    old_primary: UpstreamId | None = None
    target: UpstreamId | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Idle:
    """No promotion is running.

    Members that do not follow the confirmed primary are redirected to it.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class PreparingSwitchover:
    """The target of a switchover catches up; writes are still accepted."""

    attempt: Attempt
    deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class BeginningTerm:
    """The term has been proposed to the replicated log."""

    attempt: Attempt
    deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class FencingOldPrimary:
    """The old primary is being fenced for a switchover.

    A fenced member still serves its log, so the target can catch up.
    """

    attempt: Attempt
    deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class CatchingUp:
    """The target of a switchover fetches the fenced primary's last entries."""

    attempt: Attempt
    fenced: Mapping[UpstreamId, MemberStatus]
    deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Fencing:
    """Members are being fenced until a majority has promised the term.

    Parameters
    ----------
    fenced
        Status of each member that promised the term.
    preferred_until
        Time until which promotion waits for the promise of the target or,
        without a target, for a majority without the old primary.
    """

    attempt: Attempt
    fenced: Mapping[UpstreamId, MemberStatus]
    preferred_until: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Promoting:
    """The only candidate of the term is being promoted."""

    attempt: Attempt
    candidate: UpstreamId
    first_position: int
    deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Confirming:
    """The promoted candidate has been proposed for confirmation."""

    attempt: Attempt
    candidate: UpstreamId
    first_position: int
    deadline: float


Phase = (
    Idle
    | PreparingSwitchover
    | BeginningTerm
    | FencingOldPrimary
    | CatchingUp
    | Fencing
    | Promoting
    | Confirming
)


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupFailover:
    """State of the failover of one group on the control leader.

    All times are monotonic, in seconds.

    Parameters
    ----------
    retry_at
        Earliest time of the next call to each member.
    first_observed_at
        When this leader first observed the group.
    confirmed_at
        When the last primary was confirmed, as far as this leader knows.
    automatic_promotion_at
        When this leader last confirmed an automatic promotion or one that
        replaced an unfinished promotion.
    next_switchover_at
        Earliest time of the next switchover away from a leaving primary.
    """

    group_id: GroupId
    phase: Phase = Idle()  # noqa: RUF009
    retry_at: Mapping[UpstreamId, float] = field(default_factory=dict)
    first_observed_at: float | None = None
    confirmed_at: float | None = None
    confirmed_term: Term = NO_TERM
    automatic_promotion_at: float | None = None
    next_switchover_at: float = 0
    observed: 'Observed | None' = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Observed:
    """Committed and announced state of a group.

    Sent at each tick and at each change.

    Parameters
    ----------
    members
        Announced upstreams of the group.
    suspicion
        Combined probe results of the watchers of the current primary.
    """

    record: GroupRecord
    members: Mapping[UpstreamId, MemberView]
    suspicion: Suspicion = NO_SUSPICION
    settings: FailoverSettings = FailoverSettings()  # noqa: RUF009


@dataclass(frozen=True, kw_only=True, slots=True)
class TermAnswered:
    """Answer to `ProposeBeginTerm`."""

    term: Term
    accepted: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class FenceAnswered:
    """Answer to `FenceMember`.

    Parameters
    ----------
    status
        Status after the fence; None if it was refused or got no answer.
    refused
        Whether the member refused because it has already promised this
        term or a later one.
    """

    upstream_id: UpstreamId
    term: Term
    status: MemberStatus | None
    refused: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusAnswered:
    """Answer to `QueryStatus`; the status is None without an answer."""

    upstream_id: UpstreamId
    term: Term
    status: MemberStatus | None


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitAnswered:
    """Answer to `WaitMember`.

    Parameters
    ----------
    has_entry
        Whether the member had the entry in time.
    """

    upstream_id: UpstreamId
    term: Term
    has_entry: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class PromoteAnswered:
    """Answer to `PromoteMember`.

    The status is None if the call failed or was not answered.
    """

    upstream_id: UpstreamId
    term: Term
    status: MemberStatus | None


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfirmAnswered:
    """Answer to `ProposeConfirmPrimary`."""

    term: Term
    accepted: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class FollowAnswered:
    """Answer to `FollowPrimary`.

    Parameters
    ----------
    truncated_entries
        Number of entries that the member removed from its log because the
        primary does not have them; None if the call failed.
    """

    upstream_id: UpstreamId
    term: Term
    truncated_entries: int | None


@dataclass(frozen=True, kw_only=True, slots=True)
class SwitchoverRequested:
    """An operator or a leaving primary requests another primary.

    Parameters
    ----------
    target
        Requested member; None to use the most advanced replica.
    """

    target: UpstreamId | None


Event = (
    Observed
    | TermAnswered
    | FenceAnswered
    | StatusAnswered
    | WaitAnswered
    | PromoteAnswered
    | ConfirmAnswered
    | FollowAnswered
    | SwitchoverRequested
)


@dataclass(frozen=True, kw_only=True, slots=True)
class ProposeBeginTerm:
    """Propose `BeginTerm` to the replicated log."""

    term: Term
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class FenceMember:
    """Call `group_fence`."""

    upstream_id: UpstreamId
    term: Term


@dataclass(frozen=True, kw_only=True, slots=True)
class QueryStatus:
    """Call `group_status`."""

    upstream_id: UpstreamId
    term: Term


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitMember:
    """Call `group_wait`, which returns when the member has the entry."""

    upstream_id: UpstreamId
    term: Term
    entry: LogPosition
    timeout_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PromoteMember:
    """Call `group_promote`."""

    upstream_id: UpstreamId
    term: Term


@dataclass(frozen=True, kw_only=True, slots=True)
class ProposeConfirmPrimary:
    """Propose `ConfirmPrimary` to the replicated log."""

    term: Term
    upstream_id: UpstreamId
    first_position: int


@dataclass(frozen=True, kw_only=True, slots=True)
class FollowPrimary:
    """Call `group_follow`."""

    upstream_id: UpstreamId
    term: Term
    primary: UpstreamId


@enum.unique
class ReportKind(enum.Enum):
    """Subject of a report."""

    term_begun = 'term begun'
    primary_confirmed = 'primary confirmed'
    promotion_uncertain = 'promotion uncertain'
    switchover_done = 'switchover done'
    switchover_failed = 'switchover failed'
    tail_truncated = 'tail truncated'
    term_surpassed = 'term surpassed'


@dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """Progress or failure to report to operators.

    Parameters
    ----------
    interrupted
        Primary whose switchover ended before anything was changed, since its
        term was not committed.
    """

    kind: ReportKind
    message: str
    interrupted: UpstreamId | None = None


Effect = (
    ProposeBeginTerm
    | FenceMember
    | QueryStatus
    | WaitMember
    | PromoteMember
    | ProposeConfirmPrimary
    | FollowPrimary
    | Report
)
Step = tuple[GroupFailover, tuple[Effect, ...]]
