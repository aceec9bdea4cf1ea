"""The table ``performance_schema.session_connect_attrs`` of a member.

It contains only the attribute ``program_name``.
"""

from collections.abc import Sequence

from standin.errors import MemberError
from standin.replies import Reply, table_reply
from standin.services import MemberServices
from standin.tokens import Token

_TABLE = 'SESSION_CONNECT_ATTRS'
_ATTRIBUTE = 'program_name'
_NO_SUCH_COLUMN = 1054


def reads_connect_attributes(tokens: Sequence[Token]) -> bool:
    """Return whether a query reads ``session_connect_attrs``."""
    return any(token.upper == _TABLE for token in tokens)


def connect_attributes(
    tokens: Sequence[Token], *, services: MemberServices, user: str | None
) -> Reply:
    """Return the selected columns for each connection.

    Parameters
    ----------
    user
        User whose connections are returned; None for all.
    """
    words = [token.upper for token in tokens]
    names = [
        token.text.lower()
        for token in tokens[1 : words.index('FROM')]
        if token.text not in {',', '*'}
    ]
    known = {'processlist_id', 'attr_name', 'attr_value'}
    for name in names:
        if name not in known:
            raise MemberError(_NO_SUCH_COLUMN, f"Unknown column '{name}'")
    rows = []
    for connection in services.registry:
        if user not in {None, connection.session.username}:
            continue
        row = {
            'processlist_id': connection.connection_id,
            'attr_name': _ATTRIBUTE,
            'attr_value': connection.program_name,
        }
        rows.append(tuple(row[name] for name in names))
    return table_reply(names, rows)
