"""Errors that callers receive: outcome, MySQL error code and remedy.

Expected failures are not raised but returned in ``result.Err``; the MySQL front
end encodes them as error packets.
"""

import enum
from dataclasses import dataclass, fields
from typing import ClassVar

from lavendergate.core.types import CallerId, GroupId, LogPosition

SQLSTATE_GENERAL = 'HY000'
SQLSTATE_SYNTAX = '42000'
QUOTE_LIMIT = 60


@enum.unique
class Outcome(enum.Enum):
    """Whether a statement has run, as far as the proxy knows."""

    done = 'done'
    not_run = 'not run'
    unknown = 'unknown'


def quoted(text: str) -> str:
    """Quote a value for a message, shortened to `QUOTE_LIMIT` characters."""
    if len(text) <= QUOTE_LIMIT:
        return repr(text)
    return f'{text[:QUOTE_LIMIT]!r}… ({len(text)} characters)'


@dataclass(frozen=True, kw_only=True, slots=True)
class StatementError:
    """Base of all errors that a statement can end with.

    Subclasses set the class attributes. `problem` and `remedy` are format
    strings whose placeholders are the fields of the subclass.

    Attributes
    ----------
    code
        MySQL error code.
    outcome
        What the caller may assume about the execution of the statement.
    sqlstate
        SQLSTATE of the error packet.
    problem
        What went wrong.
    remedy
        What the caller can do.
    """

    code: ClassVar[int]
    outcome: ClassVar[Outcome] = Outcome.not_run
    sqlstate: ClassVar[str] = SQLSTATE_GENERAL
    problem: ClassVar[str]
    remedy: ClassVar[str]

    @property
    def message(self) -> str:
        """Message for the caller: outcome, problem and remedy."""
        values = {item.name: getattr(self, item.name) for item in fields(self)}
        problem = self.problem.format_map(values)
        remedy = self.remedy.format_map(values)
        return f'{self.outcome.value}: {problem}; {remedy}'


@dataclass(frozen=True, kw_only=True, slots=True)
class NotRunError(StatementError):
    """The statement is known not to have run."""

    code: ClassVar[int] = 9001
    problem: ClassVar[str] = '{reason}'
    remedy: ClassVar[str] = 'repeat the statement'

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class UnknownOutcomeError(StatementError):
    """The statement was sent, but its outcome is not known."""

    code: ClassVar[int] = 9002
    outcome: ClassVar[Outcome] = Outcome.unknown
    problem: ClassVar[str] = '{reason}'
    remedy: ClassVar[str] = (
        'read the data, or SELECT @@lavendergate_outcome with the hint '
        'request_id, before repeating the statement'
    )

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusedStatementError(StatementError):
    """The proxy does not support the statement."""

    code: ClassVar[int] = 9003
    sqlstate: ClassVar[str] = SQLSTATE_SYNTAX
    problem: ClassVar[str] = 'the statement {statement} is not supported'
    remedy: ClassVar[str] = '{advice}'

    statement: str
    advice: str


@dataclass(frozen=True, kw_only=True, slots=True)
class OverloadError(StatementError):
    """The group's queue was full.

    The statement was not queued, or was removed from the queue for one of a
    higher class.
    """

    code: ClassVar[int] = 9004
    problem: ClassVar[str] = (
        'group {group_id} is overloaded, {queued} statements are queued'
    )
    remedy: ClassVar[str] = (
        'repeat after {retry_after_ms} ms, state a max_age_ms on reads, or '
        'raise the setting queue.limit'
    )

    group_id: GroupId
    queued: int
    retry_after_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class DeadlineError(StatementError):
    """The statement could not start before its deadline."""

    code: ClassVar[int] = 9005
    problem: ClassVar[str] = (
        'the statement cannot start within its deadline, group {group_id} '
        'needs about {expected_wait_ms} ms'
    )
    remedy: ClassVar[str] = (
        'repeat with a larger deadline_ms or raise statement.deadline_ms'
    )

    group_id: GroupId
    expected_wait_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StaleBoundError(StatementError):
    """No member is known to be as fresh as the read requires."""

    code: ClassVar[int] = 9006
    problem: ClassVar[str] = (
        'no member of group {group_id} is known to be within max_age_ms='
        '{max_age_ms}, the freshest is {freshest_age_ms} ms old'
    )
    remedy: ClassVar[str] = 'repeat with a larger max_age_ms, or wait'

    group_id: GroupId
    max_age_ms: int
    freshest_age_ms: int | None


@dataclass(frozen=True, kw_only=True, slots=True)
class HintError(StatementError):
    """A hint has an unknown key, a malformed value or a value out of range."""

    code: ClassVar[int] = 9007
    sqlstate: ClassVar[str] = SQLSTATE_SYNTAX
    problem: ClassVar[str] = 'hint {key} has the value {quoted_value}'
    remedy: ClassVar[str] = 'expected {expected}'

    key: str
    quoted_value: str
    expected: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestMismatchError(StatementError):
    """The request id was used before with a different statement."""

    code: ClassVar[int] = 9008
    problem: ClassVar[str] = (
        'request_id {request_id} belongs to a different statement, which '
        'has run'
    )
    remedy: ClassVar[str] = 'use a new request_id for each request'

    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class NoPrimaryError(StatementError):
    """No primary was confirmed before the deadline."""

    code: ClassVar[int] = 9009
    problem: ClassVar[str] = (
        'group {group_id} had no confirmed primary within {waited_ms} ms'
    )
    remedy: ClassVar[str] = (
        'repeat the statement; lavendergatectl status shows the promotion'
    )

    group_id: GroupId
    waited_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimitError(StatementError):
    """The caller has too many statements in flight."""

    code: ClassVar[int] = 9010
    problem: ClassVar[str] = (
        'caller {caller_id} has {limit} statements in progress'
    )
    remedy: ClassVar[str] = (
        'send fewer at a time or raise the setting caller.concurrency'
    )

    caller_id: CallerId
    limit: int


@dataclass(frozen=True, kw_only=True, slots=True)
class TokenError(StatementError):
    """A session token cannot be accepted."""

    code: ClassVar[int] = 9011
    problem: ClassVar[str] = 'the session token {quoted_token} {reason}'
    remedy: ClassVar[str] = '{advice}'

    quoted_token: str
    reason: str
    advice: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TokenLimitError(StatementError):
    """The session would span more groups than a token can contain."""

    code: ClassVar[int] = 9012
    problem: ClassVar[str] = (
        'the session would span {groups} groups, a token names at most {limit}'
    )
    remedy: ClassVar[str] = 'begin a new session without the token'

    groups: int
    limit: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LostPositionError(StatementError):
    """The token contains a position that is not on the group's log."""

    code: ClassVar[int] = 9013
    problem: ClassVar[str] = (
        'position {position.position} of term {position.term} is not on '
        'the log of group {group_id}, term {next_term} began at '
        '{next_start}'
    )
    remedy: ClassVar[str] = (
        'begin a new session without the token and check the last writes'
    )

    group_id: GroupId
    position: LogPosition
    next_term: int
    next_start: int


@dataclass(frozen=True, kw_only=True, slots=True)
class UnknownGroupError(StatementError):
    """The selected schema is not a group that the proxy knows."""

    code: ClassVar[int] = 9014
    sqlstate: ClassVar[str] = SQLSTATE_SYNTAX
    problem: ClassVar[str] = 'schema {schema} is not a known group'
    remedy: ClassVar[str] = (
        'select a schema with USE; lavendergatectl status lists the groups'
    )

    schema: str


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainingError(StatementError):
    """The proxy is shutting down and accepts no new statement."""

    code: ClassVar[int] = 9015
    problem: ClassVar[str] = 'this proxy is shutting down'
    remedy: ClassVar[str] = 'reconnect, the load balancer selects another proxy'


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactionLostError(StatementError):
    """The transaction was rolled back because its connection ended."""

    code: ClassVar[int] = 9016
    sqlstate: ClassVar[str] = '40000'
    problem: ClassVar[str] = 'the transaction was rolled back, {reason}'
    remedy: ClassVar[str] = 'repeat the whole transaction'

    reason: str


ERROR_TYPES: tuple[type[StatementError], ...] = (
    NotRunError,
    UnknownOutcomeError,
    RefusedStatementError,
    OverloadError,
    DeadlineError,
    StaleBoundError,
    HintError,
    RequestMismatchError,
    NoPrimaryError,
    CallerLimitError,
    TokenError,
    TokenLimitError,
    LostPositionError,
    UnknownGroupError,
    DrainingError,
    TransactionLostError,
)
