"""Splits MySQL statements into tokens."""

import re
from dataclasses import dataclass

from standin.errors import MemberError

_PATTERN = re.compile(
    r"""
    (?P<space>\s+|/\*.*?\*/|\#[^\n]*|--(?:[ \t][^\n]*|(?=\n|$)))
    |(?P<string>'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*")
    |(?P<quoted>`(?:[^`]|``)*`)
    |(?P<hex>0x[0-9A-Fa-f]+\b|[xX]'[0-9A-Fa-f]*')
    |(?P<number>\d+(?:\.\d*)?(?:[eE][+-]?\d+)?\b|\.\d+)
    |(?P<variable>@@(?:\w+\.)?\w+)
    |(?P<word>[^\W\d]\w*|\$\w+)
    |(?P<mark>\?)
    |(?P<symbol><=>|<>|!=|<=|>=|:=|\|\||&&|<<|>>|[^\w\s])
    """,
    re.VERBOSE | re.DOTALL,
)
_ESCAPES = {
    '0': '\0',
    'b': '\b',
    'n': '\n',
    'r': '\r',
    't': '\t',
    'Z': '\x1a',
    '%': '\\%',
    '_': '\\_',
}
_ESCAPE = re.compile(r"""(?:\\|'(?=')|"(?="))(.)""", re.DOTALL)


@dataclass(frozen=True, kw_only=True, slots=True)
class Token:
    """A token of a statement.

    The text of a string literal is its unescaped value, and the text of a
    quoted identifier is the name without quotes.
    """

    kind: str
    text: str

    @property
    def upper(self) -> str:
        """Upper-case text of a word or symbol, empty for other kinds."""
        if self.kind in {'word', 'symbol'}:
            return self.text.upper()
        return ''


def tokenize(sql: str) -> list[Token]:
    """Split a statement; comments and final semicolons are dropped.

    Raises
    ------
    MemberError
        With number 1064 if a literal or comment is not terminated.
    """
    tokens = []
    offset = 0
    while offset < len(sql):
        found = _PATTERN.match(sql, offset)
        if found is None or found.lastgroup is None:
            raise syntax_error(sql[offset:])
        offset = found.end()
        text = found.group()
        if text in {"'", '"', '`'}:
            raise syntax_error(text + sql[offset:])
        if found.lastgroup != 'space':
            tokens.append(_token(found.lastgroup, text))
    while tokens and tokens[-1].upper == ';':
        tokens.pop()
    return tokens


def literal(value: object) -> str:
    """Format a value as a literal of SQLite."""
    match value:
        case None:
            return 'NULL'
        case bool():
            return str(int(value))
        case int() | float():
            return repr(value)
        case bytes() | bytearray():
            return f"X'{value.hex()}'"
        case _:
            return _text_literal(str(value))


def to_bytes(text: str) -> bytes:
    """Return the bytes that were decoded to this text.

    Surrogates stand for bytes that are not valid UTF-8.
    """
    return text.encode('utf-8', 'surrogateescape')


def identifier(name: str) -> str:
    """Format a name as a quoted identifier of SQLite."""
    escaped = name.replace('"', '""')
    return f'"{escaped}"'


def syntax_error(near: str) -> MemberError:
    """Return the syntax error of MySQL, which quotes the failing text."""
    return MemberError(
        1064,
        'You have an error in your SQL syntax; check the manual that '
        'corresponds to your MySQL server version for the right syntax to '
        f"use near '{near[:80]}'",
    )


def _text_literal(text: str) -> str:
    if any('\udc80' <= char <= '\udcff' for char in text):
        return f"X'{to_bytes(text).hex()}'"
    if '\0' in text:
        # SQLite ends a statement at a zero character.
        return f"CAST(X'{text.encode().hex()}' AS TEXT)"
    escaped = text.replace("'", "''")
    return f"'{escaped}'"


def _token(kind: str, text: str) -> Token:
    match kind:
        case 'string':
            return Token(kind=kind, text=_string_value(text))
        case 'quoted':
            return Token(kind=kind, text=text[1:-1].replace('``', '`'))
        case 'hex':
            digits = text[2:].rstrip("'")
            return Token(
                kind=kind, text=digits.zfill(len(digits) % 2 + len(digits))
            )
        case _:
            return Token(kind=kind, text=text)


def _string_value(text: str) -> str:
    return _ESCAPE.sub(
        lambda found: _ESCAPES.get(found.group(1), found.group(1)),
        text[1:-1],
    )
