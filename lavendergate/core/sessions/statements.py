"""Protocol-independent statements of sessions, and the answers to them.

Statements of callers and statements that the system itself issues share these
types. A codec that decodes a statement and encodes it again gives the same
text.
"""

import enum
from dataclasses import dataclass
from typing import Annotated

from lavendergate.core.bounds.ranges import IN_COUNT, Count
from lavendergate.core.types import LogPosition, Term


@enum.unique
class AccessKind(enum.Enum):
    """Whether a statement changes data."""

    read = 'read'
    write = 'write'


@dataclass(frozen=True, kw_only=True, slots=True)
class Begin:
    """Starts a transaction."""

    read_only: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Commit:
    """Ends a transaction and keeps its writes."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Rollback:
    """Ends a transaction and discards its writes."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Read:
    """Reads an item."""

    item: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """Replaces the content of an item."""

    item: str
    content: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SetValue:
    """Sets a value of the session."""

    name: str
    value: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Shape:
    """What a prepared statement does.

    Parameters
    ----------
    text
        Text that distinguishes statements with the same access kind.
    """

    access: AccessKind
    text: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Prepare:
    """Prepares a statement under a name in the session."""

    name: str
    shape: Shape


@dataclass(frozen=True, kw_only=True, slots=True)
class Execute:
    """Runs a prepared statement.

    Parameters
    ----------
    content
        New content of the item if the statement writes, else None.
    """

    name: str
    item: str
    content: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Forget:
    """Removes a prepared statement."""

    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ResetSession:
    """Clears the values and prepared statements of a member connection."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportStatus:
    """Asks a member for its role and position."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PauseReplication:
    """Pauses replication to a replica until it is resumed or promoted."""

    term: Term


@dataclass(frozen=True, kw_only=True, slots=True)
class ResumeReplication:
    """Resumes replication to a paused replica."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DemotePrimary:
    """Makes a primary of a lower term than `term` a replica."""

    term: Term


CallerStatement = (
    Begin
    | Commit
    | Rollback
    | Read
    | Write
    | SetValue
    | Prepare
    | Execute
    | Forget
)
Statement = (
    CallerStatement
    | ResetSession
    | ReportStatus
    | PauseReplication
    | ResumeReplication
    | DemotePrimary
)


@enum.unique
class Phase(enum.Enum):
    """Transaction state of a session between two statements."""

    idle = 'idle'
    in_transaction = 'in_transaction'
    failed = 'failed'


@enum.unique
class RefusalCode(enum.Enum):
    """Why a statement did not complete."""

    aborted = 'aborted'
    busy = 'busy'
    connection_limit = 'connection_limit'
    failed = 'failed'
    lagging = 'lagging'
    malformed = 'malformed'
    misrouted = 'misrouted'
    no_database = 'no_database'
    no_statement = 'no_statement'
    not_authorized = 'not_authorized'
    read_only = 'read_only'
    timeout = 'timeout'
    unknown = 'unknown'


# A member that answers with one of these did not run the statement.
NOT_RUN_CODES = frozenset(
    (
        RefusalCode.busy,
        RefusalCode.connection_limit,
        RefusalCode.lagging,
        RefusalCode.malformed,
        RefusalCode.misrouted,
        RefusalCode.no_database,
        RefusalCode.no_statement,
        RefusalCode.not_authorized,
        RefusalCode.read_only,
    )
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Completed:
    """The statement ran.

    Parameters
    ----------
    signature
        Proof of execution, signed by the member; None if the system answered
        without a member.
    """

    signature: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The statement did not complete.

    Only the codes in `NOT_RUN_CODES` prove that it did not run.

    Parameters
    ----------
    text
        Human-readable reason and remedy.
    retry_after_s
        Predicted time until a repeated statement would be served, in
        seconds; 0 if unknown.
    """

    code: RefusalCode
    text: str = ''
    retry_after_s: float = 0


Outcome = Completed | Refused


@dataclass(frozen=True, kw_only=True, slots=True)
class SessionAnswer:
    """Answer to one statement.

    Parameters
    ----------
    position
        Position up to which the member has applied its log; None if no
        member answered.
    """

    outcome: Outcome
    phase: Phase = Phase.idle
    rows: tuple[str, ...] = ()
    position: LogPosition | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberReport:
    """Answer to a status request, or to a command for replication.

    Parameters
    ----------
    term
        Highest term that the member knows.
    received
        Last log position that the member received, applied or not.
    paused_term
        Term for which replication is paused; 0 if it is not paused.
    """

    is_primary: bool
    term: Annotated[Term, IN_COUNT]
    received: LogPosition
    paused_term: Annotated[Term, IN_COUNT]
    lag_ms: Count
    busy: Count
    connections: Count
