"""Requests, results and interface of the filters on the statement path."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from lavendergate.backends.base import QueryResult, UpstreamConnection
from lavendergate.controllers.connections import MemberPool
from lavendergate.core.classification import StatementKind
from lavendergate.core.errors import Outcome, StatementError
from lavendergate.core.hints import NO_HINTS, Hints
from lavendergate.core.settings.document import SettingsDocument
from lavendergate.core.settings.resolution import (
    EffectiveSettings,
    effective_settings,
)
from lavendergate.core.tokens import EMPTY_TOKEN, SessionToken
from lavendergate.core.types import (
    CallerId,
    GroupId,
    LogPosition,
    UpstreamId,
)
from lavendergate.filters.chain import ChainStep, compose


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamAnswerError:
    """An error with which the member answered the statement."""

    code: int
    sqlstate: str
    message: str
    outcome: Outcome = Outcome.done


DEFAULT_SETTINGS = effective_settings(SettingsDocument())

StatementFailure = StatementError | UpstreamAnswerError
StatementResult = Result[QueryResult, StatementFailure]


@dataclass(kw_only=True, slots=True)
class OpenTransaction:
    """An open transaction and the upstream connection it runs on.

    Parameters
    ----------
    is_pinned
        Whether a statement left session state on the connection. Such a
        connection is closed when the transaction ends, not reused.
    """

    group_id: GroupId
    pool: MemberPool
    connection: UpstreamConnection
    is_pinned: bool = False


@dataclass(kw_only=True, slots=True)
class SessionState:
    """Session state of one caller's connection.

    Parameters
    ----------
    token
        Positions that the session wrote or read on this connection.
    session_statements
        ``SET`` statements of the caller; replayed on each upstream
        connection that serves the session.
    """

    caller_id: CallerId = CallerId('')
    group_id: GroupId | None = None
    token: SessionToken = EMPTY_TOKEN
    autocommit: bool = True
    transaction: OpenTransaction | None = None
    session_statements: tuple[str, ...] = ()
    last_insert_id: int = 0
    row_count: int = -1
    connection_id: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class WrittenPosition:
    """Log position of a committed write that a majority has yet to confirm.

    Parameters
    ----------
    writer
        Member that committed the write.
    """

    group_id: GroupId
    writer: UpstreamId
    position: LogPosition


@dataclass(kw_only=True, slots=True)
class StatementRequest:
    """A statement and what the filters have found out about it.

    Parameters
    ----------
    arrived_at, deadline
        Times on the clock of the event loop, in seconds.
    token
        Positions that the answer must include: those of the session and of
        the token in the hint. None if the hint contains no token.
    member, connection
        Member and connection for the statement, set by the routing filter.
    written
        Position of the write, set after the commit on the primary.
    """

    session: SessionState
    sql: str
    attributes: Mapping[str, str]
    arrived_at: float
    deadline: float
    hints: Hints = NO_HINTS
    settings: EffectiveSettings = DEFAULT_SETTINGS
    kind: StatementKind = StatementKind.write
    token: SessionToken | None = None
    member: UpstreamId | None = None
    connection: UpstreamConnection | None = None
    written: WrittenPosition | None = None


Forward = Callable[[StatementRequest], Awaitable[StatementResult]]


class Filter(ChainStep[StatementRequest, StatementResult]):
    """One step of the statement path."""


def build_chain(filters: Sequence[Filter]) -> Forward:
    """Compose filters into one function; the first one runs first."""
    return compose(filters)


def success_result(query_result: QueryResult) -> StatementResult:
    """Wrap a result set or the counts of a statement as a success."""
    return Ok(query_result)


def error_result(error: StatementFailure) -> StatementResult:
    """Wrap an error as a failure."""
    return Err(error)
