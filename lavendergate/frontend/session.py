"""Session of one caller's MySQL connection."""

from collections.abc import Callable

import anyio
from mysql_mimic.connection import Connection
from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.session import BaseSession
from mysql_mimic.variables import GlobalVariables, SessionVariables
from result import Err, Ok

from lavendergate.core.errors import DrainingError, UnknownOutcomeError
from lavendergate.core.types import CallerId, GroupId
from lavendergate.filters.base import (
    Forward,
    SessionState,
    StatementRequest,
    StatementResult,
    error_result,
)
from lavendergate.filters.local import (
    end_open_transaction,
    reset_session,
    select_group,
)

# Time limit of a statement until `HintsFilter` sets its deadline, in seconds.
_INITIAL_TIMEOUT_S = 60.0
_GLOBAL_VARIABLES = GlobalVariables()


class MysqlSession(BaseSession):
    """Connects the protocol library with the filter chain.

    Parameters
    ----------
    chain
        Filter chain that answers a statement.
    is_draining
        Returns whether the proxy is draining and refuses new statements.
    """

    def __init__(
        self, *, chain: Forward, is_draining: Callable[[], bool]
    ) -> None:
        self.variables = SessionVariables(_GLOBAL_VARIABLES)
        self.username: str | None = None
        self.database: str | None = None
        self._chain = chain
        self._is_draining = is_draining
        self._state = SessionState()
        self._unanswered_statements = 0
        self._run_scope = anyio.CancelScope()
        self._is_ending = False

    @property
    def state(self) -> SessionState:
        """State that the filters use."""
        return self._state

    @property
    def is_busy(self) -> bool:
        """Whether a statement is running or a transaction is open."""
        return self.is_running or self.in_transaction

    @property
    def is_running(self) -> bool:
        """Whether a statement has not been answered yet."""
        return self._unanswered_statements > 0

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._state.transaction is not None

    @property
    def autocommit(self) -> bool:
        """Whether each statement is a transaction of its own."""
        return self._state.autocommit

    async def run(
        self, sql: str, attributes: dict[str, str]
    ) -> StatementResult:
        """Run one statement through the filters.

        The session counts as busy until `mark_answered` is called, because the
        answer has yet to be sent.
        """
        self._unanswered_statements += 1
        if self._is_ending or (self._is_draining() and not self.in_transaction):
            return error_result(DrainingError())
        now = anyio.current_time()
        result: StatementResult = error_result(
            UnknownOutcomeError(reason='this proxy stops')
        )
        self._run_scope = anyio.CancelScope()
        with self._run_scope:
            result = await self._chain(
                StatementRequest(
                    session=self._state,
                    sql=sql,
                    attributes=attributes,
                    arrived_at=now,
                    deadline=now + _INITIAL_TIMEOUT_S,
                )
            )
        if isinstance(result, Ok) and not result.ok_value.columns:
            self._state.row_count = result.ok_value.affected_rows
            if result.ok_value.last_insert_id:
                self._state.last_insert_id = result.ok_value.last_insert_id
        return result

    def give_up_statement(self) -> None:
        """Answer a running statement as unknown, since the process ends.

        Later ones, also those of an open transaction, are refused.
        """
        self._is_ending = True
        self._run_scope.cancel()

    def mark_answered(self) -> None:
        """Record that the answer to a statement was sent."""
        self._unanswered_statements -= 1

    async def init(self, connection: Connection) -> None:
        """Copy the caller, connection id and group of the login."""
        self._state.caller_id = CallerId(self.username or '')
        self._state.connection_id = connection.connection_id
        if self.database:
            self._state.group_id = GroupId(self.database)

    async def use(self, database: str) -> None:
        """Select a group."""
        selected = select_group(self._state, GroupId(database))
        if isinstance(selected, Err):
            raise MysqlError(
                selected.err_value.message, ErrorCode.UNKNOWN_ERROR
            )

    async def reset(self) -> None:
        """Reset the session state for COM_RESET_CONNECTION."""
        reset_session(self._state)
        self._state.caller_id = CallerId(self.username or '')

    async def close(self) -> None:
        """Roll back an open transaction."""
        end_open_transaction(self._state)
