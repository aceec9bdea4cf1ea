"""Analysis of tokenized statements for sessions."""

from collections.abc import Sequence
from typing import Any

from standin.tables import is_table_definition, translate_table
from standin.tokens import Token
from standin.translate import translate


def translate_definition(tokens: Sequence[Token]) -> list[str]:
    """Translate a schema change to statements of SQLite."""
    if is_table_definition(tokens):
        return translate_table(tokens)
    if tokens[0].upper == 'TRUNCATE':
        return [translate([Token(kind='word', text='DELETE FROM'), tokens[-1]])]
    return [translate(tokens)]


def first_insert_id(
    tokens: Sequence[Token], transaction: Any, cursor: Any, affected: int
) -> int:
    """Return the first generated id of an ``INSERT``, 0 for none.

    Parameters
    ----------
    tokens
        Tokens of the statement.
    transaction
        Transaction in which the statement ran.
    cursor
        Cursor of the statement.
    affected
        Number of inserted rows.
    """
    words = [token.upper for token in tokens]
    table = tokens[words.index('INTO') + 1 if 'INTO' in words else 1].text
    if not transaction.has_auto_increment(table):
        return 0
    # MySQL reports the first id of a multi-row insert, SQLite the last one.
    return cursor.lastrowid - affected + 1


def is_call_of(tokens: Sequence[Token], name: str) -> bool:
    """Return whether the first expression of a ``SELECT`` calls `name`."""
    return len(tokens) > 4 and tokens[1].upper == name


def locks_rows(tokens: Sequence[Token]) -> bool:
    """Return whether a ``SELECT`` ends with ``FOR UPDATE`` or ``FOR SHARE``."""
    words = [token.upper for token in tokens]
    return words[-2:] in (['FOR', 'UPDATE'], ['FOR', 'SHARE'])


def text_after_verb(sql: str) -> str:
    """Return a statement without its first word."""
    return sql.strip().partition(' ')[2]
