"""Interface to the upstreams.

A backend opens connections to members. The statement path for callers of the
MySQL protocol and the probes depend only on this module, so that another
protocol can be added without changes to them.
"""

import abc
from collections.abc import AsyncIterator
from dataclasses import dataclass

Row = tuple[bytes | None, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberAddress:
    """IP address and TCP port on which a member accepts connections."""

    host: str
    port: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Column:
    """Description of a result column, in MySQL's type and character codes."""

    name: str
    type_code: int
    character_set: int
    flags: int
    length: int


@dataclass(kw_only=True, slots=True)
class QueryResult:
    """Answer of a member to one statement.

    Parameters
    ----------
    columns
        Columns of a result set; empty if the statement returned none.
    rows
        First rows, values in MySQL's text representation.
    more_rows
        Later rows, read from the connection as they are consumed; None if
        `rows` is complete.
    affected_rows, last_insert_id
        Row count and last generated id of a statement without a result set.
    """

    columns: tuple[Column, ...] = ()
    rows: list[Row]
    more_rows: AsyncIterator[list[Row]] | None = None
    affected_rows: int = 0
    last_insert_id: int = 0


class MemberError(Exception):
    """Base class of errors of a member or its connection."""


class UpstreamError(MemberError):
    """A member answered a statement with an error.

    Parameters
    ----------
    code
        MySQL error number.
    sqlstate
        Five characters of SQLSTATE.
    message
        Message of the member, passed to the caller unchanged.
    """

    def __init__(self, *, code: int, sqlstate: str, message: str) -> None:
        super().__init__(f'upstream error {code} ({sqlstate}): {message}')
        self.code = code
        self.sqlstate = sqlstate
        self.message = message


class UpstreamUnreachableError(MemberError):
    """No connection to a member could be opened; nothing was sent.

    Parameters
    ----------
    reason
        Description of the failure, with the member's address.
    has_answered
        Whether the member itself refused the connection, for instance
        because of its connection limit, which shows that it is running.
    connection_id
        Id under which the member may list the connection: it may have
        accepted the login although its answer was lost.
    """

    def __init__(
        self,
        reason: str,
        *,
        has_answered: bool = False,
        connection_id: int | None = None,
    ) -> None:
        super().__init__(reason)
        self.has_answered = has_answered
        self.connection_id = connection_id


class ConnectionLostError(MemberError):
    """A connection failed after a statement was sent on it.

    The statement may have run.
    """


class UpstreamConnection(abc.ABC):
    """One connection to a member; carries one statement at a time.

    Attributes
    ----------
    session_statements
        ``SET`` statements that were run on the connection. Only sessions
        with the same statements may use it.
    """

    session_statements: tuple[str, ...] = ()

    @abc.abstractmethod
    async def execute(self, sql: str) -> QueryResult:
        """Run a statement.

        Raises
        ------
        UpstreamError
            If the member answered with an error.
        ConnectionLostError
            If the connection failed; the statement may have run.
        """

    @property
    @abc.abstractmethod
    def connection_id(self) -> int:
        """Id under which the member lists the connection."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection at once, without waiting for the member."""

    @property
    @abc.abstractmethod
    def is_usable(self) -> bool:
        """Whether the connection is open and no answer is outstanding."""


class UpstreamBackend(abc.ABC):
    """Opens connections to members."""

    @abc.abstractmethod
    async def connect(
        self,
        address: MemberAddress,
        *,
        database: str,
        timeout_s: float,
    ) -> UpstreamConnection:
        """Open a connection.

        Raises
        ------
        UpstreamUnreachableError
            If the member refused, or did not answer within the timeout.
        """
