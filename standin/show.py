"""System variables and ``SHOW`` statements."""

import re
from collections.abc import Sequence

from mysql_mimic.variables import SessionVariables

from lavendergate.core.types import MemberRole
from standin.database import DataConnection
from standin.errors import MemberError
from standin.log import Statement
from standin.replies import Reply, table_reply
from standin.services import MemberServices
from standin.tokens import Token, literal, syntax_error

_PROCESS_COLUMNS = (
    'Id', 'User', 'Host', 'db', 'Command', 'Time', 'State', 'Info',
    'lavendergate_host',
)  # fmt: skip
_TABLES_QUERY = (
    "SELECT name FROM sqlite_master WHERE type = 'table' "
    "AND name NOT LIKE 'sqlite%' AND name NOT LIKE 'standin%' ORDER BY name"
)
_ADDITIONAL_DEFAULTS = {
    'version_comment': 'lavendergate stand-in',
    'tx_isolation': 'READ-COMMITTED',
    'have_ssl': 'DISABLED',
    'innodb_lock_wait_timeout': 10,
    'foreign_key_checks': 1,
    'unique_checks': 1,
    'session_track_gtids': 'OFF',
}


class Variables:
    """System variables of a session."""

    def __init__(self, variables: SessionVariables) -> None:
        self.last_insert_id = 0
        self._variables = variables
        self._additional: dict[str, object] = dict(_ADDITIONAL_DEFAULTS)

    def read(self, name: str) -> object:
        """Return the value of a system variable.

        Raises
        ------
        MemberError
            With number 1193 if it does not exist.
        """
        if name in {'identity', 'last_insert_id', 'last_insert_id()'}:
            return self.last_insert_id
        name = name.removesuffix('()')
        if name in self._additional:
            return self._additional[name]
        if name not in self._variables.schema:
            raise MemberError(1193, f"Unknown system variable '{name}'")
        return self._variables.get(name)

    def assign(self, tokens: Sequence[Token]) -> bool | None:
        """Execute the assignments of ``SET``.

        Returns
        -------
        bool or None
            New value of ``autocommit`` if it is assigned.
        """
        words = [token.upper for token in tokens]
        if 'TRANSACTION' in words or words[:1] == ['NAMES']:
            return None
        autocommit = None
        for name, token in _parse_assignments(tokens):
            if name == 'autocommit':
                autocommit = token.text.upper() in {'1', 'ON', 'TRUE'}
                continue
            self.read(name)
            if name in self._additional:
                self._additional[name] = token.text
            elif token.upper not in {'DEFAULT', '@'}:
                self._variables.set(name, token.text, force=True)
        return autocommit

    def matching(self, pattern: str | None) -> list[tuple[str, str]]:
        """Return the variables whose names match a ``LIKE`` pattern."""
        expression = _compile_like(pattern or '%')
        names = {*self._variables.schema, *self._additional}
        return [
            (name, str(self.read(name)))
            for name in sorted(names)
            if expression.fullmatch(name)
        ]


def show(
    tokens: Sequence[Token],
    *,
    data: DataConnection,
    services: MemberServices,
    variables: Variables,
    user: str | None,
) -> Reply:
    """Answer ``SHOW`` and ``DESCRIBE``.

    Parameters
    ----------
    user
        User whose connections the process list contains; None for all.
    """
    words = [token.upper for token in tokens]
    if words[0] != 'SHOW':
        return _describe_table(tokens[-1].text, data)
    if 'PROCESSLIST' in words:
        rows = [
            connection.process_list_row() for connection in services.registry
        ]
        visible = [row for row in rows if user in {None, row[1]}]
        return table_reply(_PROCESS_COLUMNS, visible)
    if 'TABLES' in words:
        return table_reply(
            (f'Tables_in_{services.group_id}',), _query(data, _TABLES_QUERY)
        )
    if 'DATABASES' in words or 'SCHEMAS' in words:
        return table_reply(('Database',), ((services.group_id,),))
    if words[1:] == ['STATUS']:
        counts = [
            (f'reads_as_{role.value}', str(services.query_count(role)))
            for role in MemberRole
        ]
        return table_reply(('Variable_name', 'Value'), counts)
    if 'VARIABLES' in words:
        pattern = tokens[-1].text if tokens[-1].kind == 'string' else None
        return table_reply(
            ('Variable_name', 'Value'), variables.matching(pattern)
        )
    if 'COLUMNS' in words or 'FIELDS' in words:
        return _describe_table(tokens[-1].text, data)
    if words[-1] in {'WARNINGS', 'ERRORS'}:
        return table_reply(('Level', 'Code', 'Message'), ())
    raise syntax_error(tokens[-1].text)


def _describe_table(table: str, data: DataConnection) -> Reply:
    rows = _query(data, f'PRAGMA table_info({literal(table)})')
    if not rows:
        raise MemberError(1146, f"Table '{table}' doesn't exist")
    descriptions = [
        (row[1], row[2], 'NO' if row[3] else 'YES', 'PRI' if row[5] else '')
        for row in rows
    ]
    return table_reply(('Field', 'Type', 'Null', 'Key'), descriptions)


def _query(data: DataConnection, sql: str) -> list[tuple[object, ...]]:
    return data.run(Statement(sql=sql, now_us=0, seed=0)).fetchall()


def _parse_assignments(tokens: Sequence[Token]) -> list[tuple[str, Token]]:
    found = []
    for index, token in enumerate(tokens):
        is_assignment = token.upper in {'=', ':='}
        if is_assignment and 0 < index < len(tokens) - 1:
            target = tokens[index - 1].text
            name = target.rpartition('@')[2].rpartition('.')[2].lower()
            is_user_variable = index > 1 and tokens[index - 2].text == '@'
            if not is_user_variable:
                found.append((name, tokens[index + 1]))
    if not found:
        raise syntax_error(tokens[0].text if tokens else '')
    return found


def _compile_like(pattern: str) -> re.Pattern[str]:
    escaped = re.escape(pattern)
    return re.compile(escaped.replace('%', '.*').replace('_', '.'))
