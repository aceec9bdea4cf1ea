"""Inputs and results of the routing decision for a statement."""

from dataclasses import dataclass

from lavendergate.core.errors import StatementError
from lavendergate.core.types import LogPosition, Term, UpstreamId


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteRequest:
    """A statement that only the primary can run.

    It is a write, a locking read or the first statement of a transaction.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class SessionRead:
    """A read that must see the session's own writes.

    Parameters
    ----------
    position
        Log position that the result must include, from the session token or
        from a read index; None if neither is known.
    is_read_index
        Whether the position comes from a read index. If a later term has
        truncated the position, a read index is obtained again; a truncated
        position from a token means that a write of the session is lost.
    has_waited
        Whether a wait on a replica for this read has timed out.
    """

    position: LogPosition | None
    is_read_index: bool = False
    has_waited: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class BoundedRead:
    """A read that accepts data up to a maximum age, in milliseconds."""

    max_age_ms: int


Request = WriteRequest | SessionRead | BoundedRead


@dataclass(frozen=True, kw_only=True, slots=True)
class UseMember:
    """Run the read on this member without a wait."""

    upstream_id: UpstreamId


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitOnMember:
    """Wait until the replica holds the position, then run the read there.

    After `timeout_ms` milliseconds the read is routed again with
    `has_waited` set.
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
class ObtainReadIndex:
    """Obtain a read index from the primary of this term, then route again.

    The read is routed again as a `SessionRead` with the position of the
    read index and `is_read_index` set.
    """

    upstream_id: UpstreamId
    term: Term


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitForPrimary:
    """Wait for a newer group view until the deadline, then route again.

    Parameters
    ----------
    error
        Error with which the statement ends at the deadline; None stands for
        `NoPrimaryError`.
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
    | ObtainReadIndex
    | WaitForPrimary
    | Refuse
)
