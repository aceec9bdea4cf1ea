"""State, events and effects of one group's failover."""

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
    """Settings of one group that failover uses."""

    enabled: bool = True
    members: int = 3
    min_interval_s: float = 10.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """An attempt to establish a primary in a new term.

    Parameters
    ----------
    suspect
        Replaced primary, which is chosen again only if nothing else is safe.
    target
        Member that an operator asked for.
    """

    term: Term
    reason: Reason
    suspect: UpstreamId | None = None
    target: UpstreamId | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Idle:
    """No promotion is running; members are made to follow the primary."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Preparing:
    """The target of a switchover catches up while writes still run."""

    attempt: Attempt
    deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Beginning:
    """The term is proposed to the replicated log."""

    attempt: Attempt
    deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class FencingOld:
    """A switchover fences the old primary, which still serves its log."""

    attempt: Attempt
    deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class CatchingUp:
    """The target of a switchover fetches the old primary's last entries."""

    attempt: Attempt
    fenced: Mapping[UpstreamId, MemberStatus]
    deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Fencing:
    """Members promise the term until a majority has.

    Parameters
    ----------
    fenced
        Status of each member that promised the term.
    preferred_until
        Until when only the target, or members other than the suspect, are
        promoted.
    """

    attempt: Attempt
    fenced: Mapping[UpstreamId, MemberStatus]
    preferred_until: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Promoting:
    """The one candidate of the term is being promoted."""

    attempt: Attempt
    candidate: UpstreamId
    first_position: int
    deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Confirming:
    """The promoted candidate is proposed to the replicated log."""

    attempt: Attempt
    candidate: UpstreamId
    first_position: int
    deadline: float


Phase = (
    Idle
    | Preparing
    | Beginning
    | FencingOld
    | CatchingUp
    | Fencing
    | Promoting
    | Confirming
)


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupFailover:
    """State of one group's failover on the leader.

    Parameters
    ----------
    retry_at
        Earliest time of the next call to a member.
    registered_at
        When this leader first saw the group without a primary.
    confirmed_at
        When this leader first saw the present primary confirmed.
    automatic_at
        When the last automatic promotion was confirmed.
    switchover_at
        Earliest time of the next switchover away from a leaving primary.
    """

    group_id: GroupId
    phase: Phase = Idle()  # noqa: RUF009
    retry_at: Mapping[UpstreamId, float] = field(default_factory=dict)
    registered_at: float | None = None
    confirmed_at: float | None = None
    confirmed_term: Term = NO_TERM
    automatic_at: float | None = None
    switchover_at: float = 0
    observed: 'Observed | None' = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Observed:
    """Committed and announced state of the group, at each tick and change.

    Parameters
    ----------
    members
        Announced upstreams of the group.
    suspicion
        What the watchers of the present primary agree on.
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
        Status after the fence; None if it was refused or its answer lost.
    refused
        Whether the member answered that the term is not greater than the
        promised one.
    """

    upstream_id: UpstreamId
    term: Term
    status: MemberStatus | None
    refused: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusAnswered:
    """Answer to `QueryStatus`; None if there was none."""

    upstream_id: UpstreamId
    term: Term
    status: MemberStatus | None


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitAnswered:
    """Answer to `WaitMember`."""

    upstream_id: UpstreamId
    term: Term
    held: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class PromoteAnswered:
    """Answer to `PromoteMember`; None if it failed or was lost."""

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
        Entries that the primary's log does not have; None if the call failed.
    """

    upstream_id: UpstreamId
    term: Term
    truncated_entries: int | None


@dataclass(frozen=True, kw_only=True, slots=True)
class SwitchoverRequested:
    """An operator, or a leaving primary, asks for another primary."""

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
    """Call `group_wait`."""

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
    """What a report is about."""

    term_begun = 'term begun'
    primary_confirmed = 'primary confirmed'
    promotion_uncertain = 'promotion uncertain'
    switchover_done = 'switchover done'
    switchover_failed = 'switchover failed'
    tail_truncated = 'tail truncated'
    term_surpassed = 'term surpassed'


@dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """Something that operators should know."""

    kind: ReportKind
    message: str


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
