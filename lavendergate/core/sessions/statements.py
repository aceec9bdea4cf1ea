"""Statements of sessions and answers to them, whatever protocol carries them.

Statements of callers and those that the system issues itself share these
types. A codec writes a statement exactly as it was read.
"""

import enum
from dataclasses import dataclass

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
    """Ends a transaction and drops its writes."""


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
        Text that tells statements of one kind apart.
    """

    access: AccessKind
    text: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Prepare:
    """Gives a statement a name in the session."""

    name: str
    shape: Shape


@dataclass(frozen=True, kw_only=True, slots=True)
class Execute:
    """Runs a prepared statement.

    Parameters
    ----------
    content
        New content of the item, if the statement writes.
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
    """Stops a replica from receiving until it is resumed or promoted."""

    term: Term


@dataclass(frozen=True, kw_only=True, slots=True)
class ResumeReplication:
    """Lets a paused replica receive again."""


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
)


@enum.unique
class Phase(enum.Enum):
    """Where a session stands between two statements."""

    idle = 'idle'
    in_transaction = 'in_transaction'
    failed = 'failed'


@enum.unique
class RefusalCode(enum.Enum):
    """Why a statement has no result."""

    aborted = 'aborted'
    busy = 'busy'
    connection_limit = 'connection_limit'
    failed = 'failed'
    lagging = 'lagging'
    malformed = 'malformed'
    misrouted = 'misrouted'
    no_database = 'no_database'
    no_statement = 'no_statement'
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
        RefusalCode.read_only,
    )
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Completed:
    """The statement ran.

    Parameters
    ----------
    signature
        The member's proof of the run; None if the system answered itself.
    """

    signature: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The statement has no result.

    Parameters
    ----------
    text
        Reason and remedy, for people.
    """

    code: RefusalCode
    text: str = ''


Outcome = Completed | Refused


@dataclass(frozen=True, kw_only=True, slots=True)
class SessionAnswer:
    """Answer to one statement.

    Parameters
    ----------
    position
        Applied position of the member's log; None if no member answered.
    """

    outcome: Outcome
    phase: Phase = Phase.idle
    rows: tuple[str, ...] = ()
    position: LogPosition | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberReport:
    """A member's answer to `ReportStatus` and to orders.

    Parameters
    ----------
    term
        Newest term that the member knows.
    received
        Last position that the member received, applied or not.
    paused_term
        Term of the pause in force; 0 if the member receives.
    """

    is_primary: bool
    term: Term
    received: LogPosition
    paused_term: Term
    lag_ms: int
    busy: int
    connections: int
