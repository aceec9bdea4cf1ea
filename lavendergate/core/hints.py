"""Hints from query attributes or a leading comment."""

import functools
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from lavendergate.core.errors import HintError, quoted

SESSION_LIMIT = 64
REQUEST_ID_LIMIT = 64
TOKEN_LIMIT = 4096
# A day for ages and an hour for deadlines are far beyond useful values; a
# larger number is a mistake in the unit.
MAX_AGE_LIMIT_MS = 86_400_000
DEADLINE_LIMIT_MS = 3_600_000

_COMMENT_STARTS = ('/* lavendergate ', '/*lavendergate ')
_COMMENT_END = '*/'
# Attributes that drivers add for tracing; they are not hints.
_FOREIGN_ATTRIBUTES = frozenset(('traceparent', 'tracestate', 'baggage'))


@dataclass(frozen=True, kw_only=True, slots=True)
class Hints:
    """Hints of one statement; None where the caller gave none.

    Parameters
    ----------
    session
        Name of the session in the timeline.
    token
        Session token as text, not yet verified.
    max_age_ms
        Age up to which a read accepts data; 0 demands session consistency.
    request_id
        Identity of the request for at-most-once execution.
    idempotent
        Whether the statement may run more than once.
    deadline_ms
        Time from its arrival in which the statement must end.
    """

    session: str | None = None
    token: str | None = None
    max_age_ms: int | None = None
    request_id: str | None = None
    idempotent: bool | None = None
    deadline_ms: int | None = None


NO_HINTS = Hints()

HintValue = str | int | bool
_Parsed = Result[HintValue, str]


def _text(value: str, limit: int) -> _Parsed:
    if 0 < len(value) <= limit:
        return Ok(value)
    return Err(f'1 to {limit} characters')


def _number(value: str, lowest: int, highest: int) -> _Parsed:
    is_number = value.isascii() and value.isdigit()
    if is_number and len(value) <= len(str(highest)):
        number = int(value)
        if lowest <= number <= highest:
            return Ok(number)
    return Err(f'a number of milliseconds from {lowest} to {highest}')


def _flag(value: str) -> _Parsed:
    if value in {'0', '1'}:
        return Ok(value == '1')
    return Err('0 or 1')


_PARSERS: dict[str, Callable[[str], _Parsed]] = {
    'session': functools.partial(_text, limit=SESSION_LIMIT),
    'token': functools.partial(_text, limit=TOKEN_LIMIT),
    'max_age_ms': functools.partial(
        _number, lowest=0, highest=MAX_AGE_LIMIT_MS
    ),
    'request_id': functools.partial(_text, limit=REQUEST_ID_LIMIT),
    'idempotent': _flag,
    'deadline_ms': functools.partial(
        _number, lowest=1, highest=DEADLINE_LIMIT_MS
    ),
}


def parse_hints(
    sql: str,
    attributes: Mapping[str, str] | None = None,
) -> Result[tuple[Hints, str], HintError]:
    """Read the hints of a statement.

    Parameters
    ----------
    sql
        Statement as it arrived.
    attributes
        Query attributes of the statement. They take precedence over the
        comment, key by key.

    Returns
    -------
    result.Result
        The hints and the statement without the comment, or the first error.

    Examples
    --------
    >>> parse_hints('/* lavendergate max_age_ms=2000 */ SELECT 1').ok_value[1]
    'SELECT 1'
    """
    if not attributes and not sql.startswith('/*') and not sql[:1].isspace():
        return Ok((NO_HINTS, sql))
    stripped = sql.lstrip()
    pairs: dict[str, str] = {}
    if stripped.startswith(_COMMENT_STARTS):
        comment, end, sql = stripped.partition(_COMMENT_END)
        if not end:
            return Err(_hint_error('comment', comment, 'a comment end */'))
        sql = sql.lstrip()
        split = _split_comment(comment)
        if isinstance(split, Err):
            return split
        pairs = split.ok_value
    if attributes:
        pairs.update(_own_attributes(attributes))
    return _build(pairs).map(lambda hints: (hints, sql))


def _split_comment(comment: str) -> Result[dict[str, str], HintError]:
    pairs: dict[str, str] = {}
    for word in comment.split('lavendergate', 1)[1].split():
        key, equals, value = word.partition('=')
        if not equals:
            return Err(_hint_error(quoted(word), '', 'key=value'))
        if key in pairs:
            return Err(_hint_error(key, value, 'each key once'))
        pairs[key] = value
    return Ok(pairs)


def _own_attributes(attributes: Mapping[str, str]) -> dict[str, str]:
    return {
        key: value
        for key, value in attributes.items()
        if key not in _FOREIGN_ATTRIBUTES and not key.startswith('_')
    }


def _build(pairs: dict[str, str]) -> Result[Hints, HintError]:
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
