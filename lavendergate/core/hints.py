"""Parsing of hints from query attributes or a leading SQL comment."""

import functools
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from lavendergate.core.errors import HintError, quoted

SESSION_LENGTH_LIMIT = 64
REQUEST_ID_LIMIT = 64
TOKEN_LENGTH_LIMIT = 4096
# One day for ages and one hour for deadlines are far beyond useful values; a
# larger number is most likely given in the wrong unit.
MAX_AGE_LIMIT_MS = 86_400_000
DEADLINE_LIMIT_MS = 3_600_000

_COMMENT_STARTS = ('/* lavendergate ', '/*lavendergate ')
_COMMENT_END = '*/'
# Trace context attributes that client drivers add; they are not hints.
_TRACING_ATTRIBUTES = frozenset(('traceparent', 'tracestate', 'baggage'))


@dataclass(frozen=True, kw_only=True, slots=True)
class Hints:
    """Hints of one statement; None for each hint that the caller did not give.

    Parameters
    ----------
    session
        Name of the session in the event timeline, given by the caller.
    token
        Encoded session token, not verified yet.
    max_age_ms
        Maximum age in milliseconds of the data that a read returns; 0 requires
        that the read includes the session's own writes.
    request_id
        Id of the request, for at-most-once execution.
    idempotent
        Whether the statement is safe to run more than once.
    deadline_ms
        Time from the arrival of the statement until it must have ended, in
        milliseconds.
    """

    session: str | None = None
    token: str | None = None
    max_age_ms: int | None = None
    request_id: str | None = None
    idempotent: bool | None = None
    deadline_ms: int | None = None


NO_HINTS = Hints()

HintValue = str | int | bool
_ParseResult = Result[HintValue, str]


def _parse_text(value: str, limit: int) -> _ParseResult:
    if 0 < len(value) <= limit:
        return Ok(value)
    return Err(f'1 to {limit} characters')


def _parse_number(value: str, lowest: int, highest: int) -> _ParseResult:
    is_number = value.isascii() and value.isdigit()
    if is_number and len(value) <= len(str(highest)):
        number = int(value)
        if lowest <= number <= highest:
            return Ok(number)
    return Err(f'a number of milliseconds from {lowest} to {highest}')


def _parse_flag(value: str) -> _ParseResult:
    if value in {'0', '1'}:
        return Ok(value == '1')
    return Err('0 or 1')


_PARSERS: dict[str, Callable[[str], _ParseResult]] = {
    'session': functools.partial(_parse_text, limit=SESSION_LENGTH_LIMIT),
    'token': functools.partial(_parse_text, limit=TOKEN_LENGTH_LIMIT),
    'max_age_ms': functools.partial(
        _parse_number, lowest=0, highest=MAX_AGE_LIMIT_MS
    ),
    'request_id': functools.partial(_parse_text, limit=REQUEST_ID_LIMIT),
    'idempotent': _parse_flag,
    'deadline_ms': functools.partial(
        _parse_number, lowest=1, highest=DEADLINE_LIMIT_MS
    ),
}


def parse_hints(
    sql: str,
    attributes: Mapping[str, str] | None = None,
) -> Result[tuple[Hints, str], HintError]:
    """Parse the hints of a statement.

    Parameters
    ----------
    sql
        Statement as received from the caller.
    attributes
        Query attributes of the statement. For each key, they take precedence
        over the comment.

    Returns
    -------
    result.Result
        The hints and the statement without the hint comment, or the first
        error.

    Examples
    --------
    >>> parse_hints('/* lavendergate max_age_ms=2000 */ SELECT 1').ok_value[1]
    'SELECT 1'
    """
    if not attributes and not sql.startswith('/*') and not sql[:1].isspace():
        return Ok((NO_HINTS, sql))
    stripped_sql = sql.lstrip()
    pairs: dict[str, str] = {}
    if stripped_sql.startswith(_COMMENT_STARTS):
        comment, end, sql = stripped_sql.partition(_COMMENT_END)
        if not end:
            return Err(_hint_error('comment', comment, 'a comment end */'))
        sql = sql.lstrip()
        split = _parse_comment(comment)
        if isinstance(split, Err):
            return split
        pairs = split.ok_value
    if attributes:
        pairs.update(_hint_attributes(attributes))
    return _build_hints(pairs).map(lambda hints: (hints, sql))


def _parse_comment(comment: str) -> Result[dict[str, str], HintError]:
    pairs: dict[str, str] = {}
    for word in comment.split('lavendergate', 1)[1].split():
        key, equals, value = word.partition('=')
        if not equals:
            return Err(_hint_error(quoted(word), '', 'key=value'))
        if key in pairs:
            return Err(_hint_error(key, value, 'each key once'))
        pairs[key] = value
    return Ok(pairs)


def _hint_attributes(attributes: Mapping[str, str]) -> dict[str, str]:
    return {
        key: value
        for key, value in attributes.items()
        if key not in _TRACING_ATTRIBUTES and not key.startswith('_')
    }


def _build_hints(pairs: dict[str, str]) -> Result[Hints, HintError]:
    if not pairs:
        return Ok(NO_HINTS)
    values: dict[str, HintValue] = {}
    for key, value in pairs.items():
        parser = _PARSERS.get(key)
        if parser is None:
            expected = f'one of the keys {", ".join(_PARSERS)}'
            return Err(_hint_error(quoted(key), value, expected))
        parsed = parser(value)
        if isinstance(parsed, Err):
            return Err(_hint_error(key, value, parsed.err_value))
        values[key] = parsed.ok_value
    return Ok(Hints(**values))  # type: ignore[arg-type]


def _hint_error(key: str, value: str, expected: str) -> HintError:
    return HintError(key=key, quoted_value=quoted(value), expected=expected)
