"""Answers statements about session state and variables in the proxy."""

import re
from collections.abc import Callable

from result import Err, Ok, Result

from lavendergate.backends.base import Column, QueryResult
from lavendergate.core.classification import StatementKind
from lavendergate.core.errors import RefusedStatementError, quoted
from lavendergate.core.session_state import autocommit_value
from lavendergate.core.tokens import SessionToken
from lavendergate.core.types import GroupId
from lavendergate.filters.base import (
    Filter,
    Forward,
    SessionState,
    StatementFailure,
    StatementRequest,
    StatementResult,
    error_result,
    success_result,
)
from lavendergate.filters.execute import empty_result, run_before_deadline
from lavendergate.filters.outcome import OutcomeReader
from lavendergate.filters.transaction import end_transaction

SERVER_VERSION = '8.0.36-lavendergate'
# Keeps a caller that sets variables in a loop from using up memory; drivers
# set fewer than ten.
MAX_SESSION_STATEMENTS = 16

_COLUMN_TYPE_LONGLONG = 8
_COLUMN_TYPE_VAR_STRING = 253
_BINARY_CHARACTER_SET = 63
_UTF8MB4_CHARACTER_SET = 45
_COLUMN_LENGTH = 1024

_ACCEPTED_CHARACTER_SETS = frozenset(
    (
        'utf8mb4',
        'utf8mb3',
        'utf8',
        'ascii',
        'binary',
        'default',
        'null',
    )
)
_CHARACTER_SET_NAME = re.compile(
    r"(?:names|character\s+set|charset|character_set_\w+\s*=)\s*['\"]?(\w+)",
    re.IGNORECASE,
)
_USE_STATEMENT = re.compile(r'use\s+`?([^`;\s]+)`?\s*;?\s*', re.IGNORECASE)
_SELECT_ITEM = re.compile(
    r'(?P<variable>@@(?:session\.|global\.|local\.)?(?P<name>[\w$]+))'
    r'|(?P<function>\w+)\s*\(\s*\)',
    re.IGNORECASE,
)
_ALIAS = re.compile(r'\s+as\s+[`\'"]?([^`\'"\s,]+)', re.IGNORECASE)
_TOKEN_VARIABLE = 'lavendergate_token'
_OUTCOME_VARIABLE = 'lavendergate_outcome'

# System variables that drivers read when they connect.
_VARIABLES = {
    'auto_increment_increment': '1',
    'character_set_client': 'utf8mb4',
    'character_set_connection': 'utf8mb4',
    'character_set_results': 'utf8mb4',
    'character_set_server': 'utf8mb4',
    'collation_connection': 'utf8mb4_general_ci',
    'collation_server': 'utf8mb4_general_ci',
    'init_connect': '',
    'interactive_timeout': '28800',
    'license': 'GPL',
    'lower_case_table_names': '0',
    'max_allowed_packet': '16777216',
    'net_write_timeout': '60',
    'performance_schema': '0',
    'sql_mode': 'STRICT_TRANS_TABLES',
    'system_time_zone': 'UTC',
    'time_zone': 'SYSTEM',
    'transaction_isolation': 'READ-COMMITTED',
    'tx_isolation': 'READ-COMMITTED',
    'version': SERVER_VERSION,
    'version_comment': 'lavendergate',
    'wait_timeout': '28800',
}


class LocalFilter(Filter):
    """Handles USE, SET and reads of variables that the proxy provides.

    Parameters
    ----------
    sign
        Signs and encodes a session token.
    outcomes
        Reads the recorded outcome of a request id.
    """

    def __init__(
        self,
        *,
        sign: Callable[[SessionToken], str],
        outcomes: OutcomeReader,
    ) -> None:
        self._sign = sign
        self._outcomes = outcomes
        self._handlers = {
            StatementKind.use_database: self._use,
            StatementKind.set_session: self._set_session,
            StatementKind.local: self._answer_locally,
        }

    async def handle(
        self, request: StatementRequest, forward: Forward
    ) -> StatementResult:
        """Answer the statement here, or forward it."""
        handler = self._handlers.get(request.kind)
        if handler is None:
            return await forward(request)
        return await handler(request)

    async def _use(self, request: StatementRequest) -> StatementResult:
        match = _USE_STATEMENT.fullmatch(request.sql.strip())
        if match is None:
            return error_result(_refusal(request, 'write USE <group>'))
        return select_group(request.session, GroupId(match.group(1)))

    async def _set_session(self, request: StatementRequest) -> StatementResult:
        session = request.session
        other_statements = tuple(
            statement
            for statement in session.session_statements
            if statement != request.sql
        )
        if len(other_statements) >= MAX_SESSION_STATEMENTS:
            return error_result(
                _refusal(
                    request,
                    f'a session may set {MAX_SESSION_STATEMENTS} variables; '
                    'reconnect to begin a new session',
                )
            )
        statements = (*other_statements, request.sql)
        if session.transaction is not None:
            connection = session.transaction.connection
            outcome = await run_before_deadline(
                connection, request.sql, deadline=request.deadline
            )
            if outcome.is_err():
                return outcome
            connection.session_statements = statements
        session.session_statements = statements
        return success_result(empty_result())

    async def _answer_locally(
        self, request: StatementRequest
    ) -> StatementResult:
        lowered = request.sql.lstrip()[:4].lower()
        if lowered.startswith('set'):
            return await self._set_local(request)
        if lowered.startswith('show'):
            return success_result(
                QueryResult(
                    columns=(
                        _column('Level'),
                        _column('Code'),
                        _column('Message'),
                    ),
                    rows=[],
                )
            )
        return await self._select(request)

    async def _set_local(self, request: StatementRequest) -> StatementResult:
        autocommit = autocommit_value(request.sql)
        if autocommit is not None:
            request.session.autocommit = autocommit
            return success_result(empty_result())
        match = _CHARACTER_SET_NAME.search(request.sql)
        if (
            match is None
            or match.group(1).lower() not in _ACCEPTED_CHARACTER_SETS
        ):
            return error_result(
                _refusal(request, 'use utf8mb4, the character set of the proxy')
            )
        return success_result(empty_result())

    async def _select(self, request: StatementRequest) -> StatementResult:
        columns = []
        row = []
        for match in _SELECT_ITEM.finditer(request.sql):
            item_value = await self._item_value(request, match)
            if isinstance(item_value, Err):
                return item_value
            alias = _ALIAS.match(request.sql, match.end())
            name = alias.group(1) if alias else match.group(0)
            columns.append(_column(name))
            row.append(item_value.ok_value.encode())
        if not columns:
            columns, row = [_number_column('1')], [b'1']
        return success_result(
            QueryResult(columns=tuple(columns), rows=[tuple(row)])
        )

    async def _item_value(
        self, request: StatementRequest, match: re.Match[str]
    ) -> Result[str, StatementFailure]:
        session = request.session
        if match.group('function'):
            return Ok(_function_value(match.group('function').upper(), session))
        name = match.group('name').lower()
        if name == _TOKEN_VARIABLE:
            return Ok(self._sign(session.token))
        if name == _OUTCOME_VARIABLE:
            return await self._outcomes.read(request)
        if name == 'autocommit':
            return Ok(str(int(session.autocommit)))
        return Ok(_VARIABLES.get(name, ''))


def select_group(session: SessionState, group_id: GroupId) -> StatementResult:
    """Select a group, unless a transaction is open on another group."""
    transaction = session.transaction
    if transaction is not None and transaction.group_id != group_id:
        return error_result(
            RefusedStatementError(
                statement=f'USE {group_id}',
                advice='commit the transaction on '
                f'{transaction.group_id} first',
            )
        )
    session.group_id = group_id
    return success_result(empty_result())


def reset_session(session: SessionState) -> None:
    """Reset the session state except for the caller, group and token."""
    end_open_transaction(session)
    session.autocommit = True
    session.session_statements = ()


def end_open_transaction(session: SessionState) -> None:
    """Close the connection of an open transaction, which rolls it back."""
    if session.transaction is not None:
        session.transaction.connection.abort()
        end_transaction(session.transaction)
        session.transaction = None


def _function_value(name: str, session: SessionState) -> str:
    user = f'{session.caller_id}@%'
    values = {
        'DATABASE': session.group_id or '',
        'SCHEMA': session.group_id or '',
        'VERSION': SERVER_VERSION,
        'USER': user,
        'CURRENT_USER': user,
        'SESSION_USER': user,
        'LAST_INSERT_ID': str(session.last_insert_id),
        'ROW_COUNT': str(session.row_count),
        'CONNECTION_ID': str(session.connection_id),
    }
    return values.get(name, '0')


def _column(name: str) -> Column:
    return Column(
        name=name,
        type_code=_COLUMN_TYPE_VAR_STRING,
        character_set=_UTF8MB4_CHARACTER_SET,
        flags=0,
        length=_COLUMN_LENGTH,
    )


def _number_column(name: str) -> Column:
    return Column(
        name=name,
        type_code=_COLUMN_TYPE_LONGLONG,
        character_set=_BINARY_CHARACTER_SET,
        flags=0,
        length=20,
    )


def _refusal(request: StatementRequest, advice: str) -> RefusedStatementError:
    return RefusedStatementError(statement=quoted(request.sql), advice=advice)
