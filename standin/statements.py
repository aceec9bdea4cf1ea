"""Parts of statements that sessions look at."""

from collections.abc import Sequence
from typing import Any

from standin.tables import is_table_definition, translate_table
from standin.tokens import Token
from standin.translate import translate


def definition(tokens: Sequence[Token]) -> list[str]:
    """Return the statements of SQLite for a change of the schema."""
    if is_table_definition(tokens):
        return translate_table(tokens)
    if tokens[0].upper == 'TRUNCATE':
        return [translate([Token(kind='word', text='DELETE FROM'), tokens[-1]])]
    return [translate(tokens)]


def insert_id(
    tokens: Sequence[Token], write: Any, cursor: Any, affected: int
) -> int:
    """Return the first generated id of an ``INSERT``, 0 for none."""
    words = [token.upper for token in tokens]
    table = tokens[words.index('INTO') + 1 if 'INTO' in words else 1].text
    if not write.has_automatic_key(table):
        return 0
    # MySQL reports the first id of a statement, SQLite the last one.
    return cursor.lastrowid - affected + 1


def is_call(tokens: Sequence[Token], name: str) -> bool:
    """Return whether a ``SELECT`` calls a function and nothing else."""
    return len(tokens) > 4 and tokens[1].upper == name


def locks_rows(tokens: Sequence[Token]) -> bool:
    """Return whether a ``SELECT`` locks its rows."""
    words = [token.upper for token in tokens]
    return words[-2:] in (['FOR', 'UPDATE'], ['FOR', 'SHARE'])


def text_after_verb(sql: str) -> str:
    """Return a statement without its first word."""
    return sql.strip().partition(' ')[2]
