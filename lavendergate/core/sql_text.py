"""Lexical helpers for SQL text: comments, strings and keywords."""

import re
from collections.abc import Set as AbstractSet

# Strings, quoted names and comments. An unterminated one extends to the end of
# the text, so that nothing in it is mistaken for a keyword. Executable comments
# of MySQL (``/*! ... */``) do not match.
_STRING_OR_COMMENT = re.compile(
    r"""'(?:[^'\\]|\\.|'')*(?:'|\Z)
    | "(?:[^"\\]|\\.|"")*(?:"|\Z)
    | `(?:[^`]|``)*(?:`|\Z)
    | /\*(?!!).*?(?:\*/|\Z)
    | \#[^\n]*
    | --(?=\s|\Z)[^\n]*""",
    re.VERBOSE | re.DOTALL,
)
_BEFORE_FIRST_WORD = re.compile(
    r'(?:[\s(;]+|/\*(?!!).*?\*/|\#[^\n]*(?:\n|\Z)|--\s[^\n]*(?:\n|\Z))*',
    re.DOTALL,
)
_WORD = re.compile('[A-Za-z_]+')
_SECOND_STATEMENT = re.compile(r';[\s;]*[^\s;]')
_PARENTHESIS_OR_WORD = re.compile(r'[()]|[A-Za-z_]+')


def mask_strings_and_comments(sql: str) -> str:
    """Replace strings and quoted names with ``''``, comments with a space."""
    return _STRING_OR_COMMENT.sub(_masked_text, sql)


def first_word(sql: str) -> str:
    """Return the first keyword in upper case, or an empty string."""
    match = _WORD.match(sql)
    if match is None:
        leading = _BEFORE_FIRST_WORD.match(sql)
        match = _WORD.match(sql, leading.end() if leading else 0)
    return '' if match is None else match.group().upper()


def has_second_statement(sql: str) -> bool:
    """Return whether text other than comments follows a semicolon."""
    if sql.find(';') >= len(sql.rstrip('; \t\r\n')):
        return False
    return _SECOND_STATEMENT.search(mask_strings_and_comments(sql)) is not None


def top_level_word(sql: str, words: AbstractSet[str]) -> str | None:
    """Return the first of these keywords outside of parentheses, or None."""
    depth = 0
    for match in _PARENTHESIS_OR_WORD.finditer(
        mask_strings_and_comments(sql).upper()
    ):
        token = match.group()
        if token == '(':
            depth += 1
        elif token == ')':
            depth -= 1
        elif depth == 0 and token in words:
            return token
    return None


def _masked_text(match: re.Match[str]) -> str:
    return ' ' if match.group()[0] in '/#-' else "''"
