"""What a statement needs from routing, and what routing decides."""

from dataclasses import dataclass

from lavendergate.core.errors import StatementError
from lavendergate.core.types import LogPosition, Term, UpstreamId


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteRequest:
    """A write, a locking read or the first statement of a transaction."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SessionRead:
    """A read that must see the session's own writes.

    Parameters
    ----------
    position
        Position that the answer must include: from the token, or from a
        read index; None if the session has none.
    is_read_index
        Whether the position comes from a read index. A later term may have
        truncated such a position, then a new read index is needed; from a
        token the same is a lost write.
    has_waited
        Whether a wait on a replica for this read ended without success.
    """

    position: LogPosition | None
    is_read_index: bool = False
    has_waited: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class BoundedRead:
    """A read that accepts data up to a stated age."""

    max_age_ms: int


Request = WriteRequest | SessionRead | BoundedRead


@dataclass(frozen=True, kw_only=True, slots=True)
class UseMember:
    """Run the read on this member now."""

    upstream_id: UpstreamId


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitOnMember:
    """Wait until the replica holds the position, then run the read there.

    After a timeout the read is routed again with `has_waited`.
    """

    upstream_id: UpstreamId
    position: LogPosition
    timeout_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class UsePrimary:
    """Run the statement on the primary of this term."""

    upstream_id: UpstreamId
    term: Term


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfirmFirst:
    """Obtain a read index from the primary of this term, then route again.

    The read is routed again as a `SessionRead` with the position obtained
    and `is_read_index`.
    """

    upstream_id: UpstreamId
    term: Term


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitForPrimary:
    """Wait for a newer group view within the deadline, then route again.

    Parameters
    ----------
    error
        Error at the deadline; None stands for `NoPrimaryError`.
    """

    error: StatementError | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Refuse:
    """End the statement with this error."""

    error: StatementError


Decision = (
    UseMember
    | WaitOnMember
    | UsePrimary
    | ConfirmFirst
    | WaitForPrimary
    | Refuse
)
