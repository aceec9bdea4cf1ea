"""Translates MySQL table definitions to SQLite's dialect."""

import re
from collections.abc import Sequence

from standin.tokens import Token, identifier, literal, syntax_error

_INDEX_WORDS = frozenset(('KEY', 'INDEX', 'FULLTEXT'))
_DROPPED_WORDS = frozenset(('UNSIGNED', 'ZEROFILL', 'SIGNED'))
_TEXT_TYPES = frozenset(
    ('VARCHAR', 'CHAR', 'TEXT', 'LONGTEXT', 'MEDIUMTEXT', 'TINYTEXT', 'JSON')
    + ('ENUM', 'DATETIME', 'TIMESTAMP', 'DATE', 'TIME')
)
_BLOB_TYPES = frozenset(
    ('BINARY', 'VARBINARY', 'BLOB', 'LONGBLOB', 'MEDIUMBLOB', 'TINYBLOB')
)
_REAL_TYPES = frozenset(('DOUBLE', 'FLOAT', 'REAL'))
_NUMERIC_TYPES = frozenset(('DECIMAL', 'NUMERIC'))
_LENGTH_CHECK = re.compile(r'length\("(?P<column>.*)"\) <= \d+')


def is_table_definition(tokens: Sequence[Token]) -> bool:
    """Return whether the statement is a ``CREATE TABLE``."""
    words = [token.upper for token in tokens[:3]]
    return words[:2] == ['CREATE', 'TABLE'] or words == [
        'CREATE',
        'TEMPORARY',
        'TABLE',
    ]


def translate_table(tokens: Sequence[Token]) -> list[str]:
    """Translate a ``CREATE TABLE`` to statements of SQLite.

    Returns
    -------
    list of str
        The table's statement, then one statement for each secondary index.
    """
    start = next(
        (index for index, token in enumerate(tokens) if token.text == '('),
        None,
    )
    if start is None:
        raise syntax_error('')
    head = tokens[:start]
    table = head[-1].text
    if_not_exists = any(token.upper == 'EXISTS' for token in head)
    definitions = _split_at_commas(_parenthesized(tokens, start))
    return _TableTranslator(table, if_not_exists=if_not_exists).translate(
        definitions
    )


def column_of_length_check(check: str) -> str | None:
    """Return the column of a failed length check, None for other checks."""
    found = _LENGTH_CHECK.search(check)
    return found.group('column') if found else None


class _TableTranslator:
    def __init__(self, name: str, *, if_not_exists: bool) -> None:
        self._name = name
        self._if_not_exists = 'IF NOT EXISTS ' if if_not_exists else ''
        self._definitions: list[str] = []
        self._indexes: list[str] = []
        self._auto_increment_column: str | None = None

    def translate(self, definitions: Sequence[Sequence[Token]]) -> list[str]:
        for definition in definitions:
            self._add_definition(definition)
        body = ', '.join(self._definitions)
        table = identifier(self._name)
        return [
            f'CREATE TABLE {self._if_not_exists}{table} ({body})',
            *self._indexes,
        ]

    def _add_definition(self, definition: Sequence[Token]) -> None:
        if not definition:
            raise syntax_error(')')
        words = [token.upper for token in definition]
        if words[0] == 'CONSTRAINT':
            offset = 1 if words[1] in {'PRIMARY', 'UNIQUE'} else 2
            definition, words = definition[offset:], words[offset:]
        if words[0] == 'PRIMARY':
            self._add_primary_key(definition)
        elif words[0] == 'UNIQUE':
            columns = _column_list(definition)
            self._definitions.append(f'UNIQUE ({columns})')
        elif words[0] in _INDEX_WORDS:
            self._add_index(definition)
        elif words[0] in {'FOREIGN', 'CHECK'}:
            return
        else:
            self._definitions.append(self._translate_column(definition))

    def _add_primary_key(self, definition: Sequence[Token]) -> None:
        columns = _column_list(definition)
        if self._auto_increment_column is None:
            self._definitions.append(f'PRIMARY KEY ({columns})')
        elif columns != identifier(self._auto_increment_column):
            raise syntax_error('the key of an AUTO_INCREMENT column')

    def _add_index(self, definition: Sequence[Token]) -> None:
        columns = _column_list(definition)
        name = f'{self._name}_index_{len(self._indexes) + 1}'
        self._indexes.append(
            f'CREATE INDEX {self._if_not_exists}{identifier(name)} '
            f'ON {identifier(self._name)} ({columns})'
        )

    def _translate_column(self, definition: Sequence[Token]) -> str:
        name = definition[0].text
        words = [token.upper for token in definition]
        if 'AUTO_INCREMENT' in words:
            self._auto_increment_column = name
            return f'{identifier(name)} INTEGER PRIMARY KEY AUTOINCREMENT'
        if len(definition) < 2:
            raise syntax_error(name)
        sqlite_type = _column_type(words[1])
        options = _column_options(definition[2:])
        length = _length_limit(definition)
        check = ''
        if length is not None and words[1] in {'VARCHAR', 'CHAR'}:
            check = f' CHECK (length({identifier(name)}) <= {length})'
        return f'{identifier(name)} {sqlite_type}{options}{check}'


def _column_type(word: str) -> str:
    if word in _TEXT_TYPES:
        return 'TEXT'
    if word in _BLOB_TYPES:
        return 'BLOB'
    if word in _REAL_TYPES:
        return 'REAL'
    if word in _NUMERIC_TYPES:
        return 'NUMERIC'
    return 'INTEGER'


def _length_limit(definition: Sequence[Token]) -> str | None:
    if len(definition) > 3 and definition[2].text == '(':
        return definition[3].text
    return None


def _column_options(tokens: Sequence[Token]) -> str:
    """Return the column options that SQLite supports; drop all others."""
    text = ''
    words = [token.upper for token in tokens]
    for index, word in enumerate(words):
        following = words[index + 1] if index + 1 < len(words) else ''
        if word == 'NOT' and following == 'NULL':
            text += ' NOT NULL'
        elif word == 'PRIMARY':
            text += ' PRIMARY KEY NOT NULL'
        elif word == 'UNIQUE':
            text += ' UNIQUE'
        elif word == 'DEFAULT' and index + 1 < len(tokens):
            text += f' DEFAULT {_default_value(tokens[index + 1 :])}'
    return text


def _default_value(tokens: Sequence[Token]) -> str:
    token = tokens[0]
    if token.kind == 'string':
        return literal(token.text)
    if token.upper in {'CURRENT_TIMESTAMP', 'NOW'}:
        return '(mysql_now())'
    if token.upper == '-' and len(tokens) > 1:
        return f'-{tokens[1].text}'
    return token.text


def _column_list(definition: Sequence[Token]) -> str:
    start = next(
        (index for index, token in enumerate(definition) if token.text == '('),
        None,
    )
    if start is None:
        raise syntax_error(definition[0].text)
    columns = _split_at_commas(_parenthesized(definition, start))
    return ', '.join(identifier(column[0].text) for column in columns)


def _parenthesized(tokens: Sequence[Token], start: int) -> list[Token]:
    depth = 0
    for index in range(start, len(tokens)):
        if tokens[index].kind != 'symbol':
            continue
        depth += {'(': 1, ')': -1}.get(tokens[index].text, 0)
        if depth == 0:
            return list(tokens[start + 1 : index])
    raise syntax_error(tokens[start].text)


def _split_at_commas(tokens: Sequence[Token]) -> list[list[Token]]:
    parts: list[list[Token]] = [[]]
    depth = 0
    for token in tokens:
        if token.kind == 'symbol':
            depth += {'(': 1, ')': -1}.get(token.text, 0)
        if token.upper == ',' and depth == 0:
            parts.append([])
        else:
            parts[-1].append(token)
    return parts
