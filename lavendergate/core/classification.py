"""Statement classification by leading keywords and a small table.

The classification never parses a statement. What it cannot tell apart it
assigns to the safe side: a statement that may write is a write, and one
that depends on the state of an upstream connection is pinned or refused.
"""

import enum
import functools
import re

from lavendergate.core.sql_text import (
    first_word,
    has_second_statement,
    masked,
    top_level_word,
)

CACHE_ENTRIES = 4096
# Longer statements are rarely repeated and would fill memory.
CACHED_LENGTH = 2048


@enum.unique
class StatementKind(enum.Enum):
    """What the proxy does with a statement.

    `read` may run on a replica. `locking_read` and `write` run on the
    primary. `begin`, `commit` and `rollback` control a transaction.
    `set_session` is replayed on each upstream connection that the caller
    uses. `pinned` depends on or changes the state of one upstream
    connection: it is allowed only inside a transaction, and the connection
    is closed after it. `use_database` selects a group. `local` is answered
    by the proxy itself. `refused` is not supported.
    """

    read = 'read'
    locking_read = 'locking_read'
    write = 'write'
    begin = 'begin'
    commit = 'commit'
    rollback = 'rollback'
    set_session = 'set_session'
    pinned = 'pinned'
    use_database = 'use_database'
    local = 'local'
    refused = 'refused'


_Kind = StatementKind

_FIRST_WORDS: dict[str, StatementKind] = {
    'INSERT': _Kind.write,
    'UPDATE': _Kind.write,
    'DELETE': _Kind.write,
    'REPLACE': _Kind.write,
    'CALL': _Kind.write,
    'DO': _Kind.write,
    'ALTER': _Kind.write,
    'DROP': _Kind.write,
    'TRUNCATE': _Kind.write,
    'RENAME': _Kind.write,
    'ANALYZE': _Kind.write,
    'OPTIMIZE': _Kind.write,
    'SAVEPOINT': _Kind.write,
    'RELEASE': _Kind.write,
    'SHOW': _Kind.read,
    'DESCRIBE': _Kind.read,
    'DESC': _Kind.read,
    'EXPLAIN': _Kind.read,
    'VALUES': _Kind.read,
    'HELP': _Kind.read,
    'PREPARE': _Kind.pinned,
    'EXECUTE': _Kind.pinned,
    'DEALLOCATE': _Kind.pinned,
    'USE': _Kind.use_database,
    '': _Kind.refused,
}

# Cases that change the kind of a read or write, most restrictive first: a
# substring that is cheap to look for, the exact pattern, the kind.
_Case = tuple[str, re.Pattern[str], StatementKind]
_STATE_CASES: tuple[_Case, ...] = (
    (
        '_LOCK',
        re.compile(r'\b(?:GET|RELEASE|IS_USED|IS_FREE)_LOCK\b'),
        _Kind.refused,
    ),
    ('_ALL_LOCKS', re.compile(r'\bRELEASE_ALL_LOCKS\b'), _Kind.refused),
    ('@', re.compile(r'(?<!@)@[\w`\'".$]'), _Kind.pinned),
    ('_INSERT_ID', re.compile(r'\bLAST_INSERT_ID\b'), _Kind.pinned),
    ('_ROWS', re.compile(r'\b(?:SQL_CALC_)?FOUND_ROWS\b'), _Kind.pinned),
    ('ROW_COUNT', re.compile(r'\bROW_COUNT\b'), _Kind.pinned),
)
_READ_CASES: tuple[_Case, ...] = (
    (
        'INTO',
        re.compile(r'\bINTO\s+(?:OUTFILE|DUMPFILE)\b'),
        _Kind.refused,
    ),
    *_STATE_CASES,
    ('INTO', re.compile(r'\bINTO\b'), _Kind.pinned),
    ('FOR', re.compile(r'\bFOR\s+(?:UPDATE|SHARE)\b'), _Kind.locking_read),
    (
        'LOCK',
        re.compile(r'\bLOCK\s+IN\s+SHARE\s+MODE\b'),
        _Kind.locking_read,
    ),
)
_READ_MARKS = tuple({mark: None for mark, _, _ in _READ_CASES})
_WRITE_MARKS = tuple({mark: None for mark, _, _ in _STATE_CASES})

_LOCAL_SELECT = re.compile(
    r"""SELECT\s+(?:
        1(?:\s+FROM\s+DUAL)?
        | {item}(?:\s+AS\s+\S+)?(?:\s*,\s*{item}(?:\s+AS\s+\S+)?)*
    )(?:\s+LIMIT\s+1)?""".replace(
        '{item}',
        r"""(?:@@(?:SESSION\.|GLOBAL\.|LOCAL\.)?[\w$]+
        |(?:DATABASE|SCHEMA|VERSION|CONNECTION_ID|USER|CURRENT_USER
        |SESSION_USER|LAST_INSERT_ID|ROW_COUNT|FOUND_ROWS)\s*\(\s*\))""",
    ),
    re.VERBOSE,
)
_LOCAL_SHOW = re.compile(r'SHOW\s+(?:WARNINGS|ERRORS|COUNT\b)')

_SET_CASES: tuple[tuple[re.Pattern[str], StatementKind], ...] = (
    (re.compile(r'SET\s+(?:GLOBAL|PERSIST|PERSIST_ONLY)\b'), _Kind.refused),
    (re.compile(r'.*@@(?:GLOBAL|PERSIST|PERSIST_ONLY)\.'), _Kind.refused),
    (
        re.compile(r'SET\s+(?:PASSWORD|ROLE|DEFAULT|RESOURCE)\b'),
        _Kind.refused,
    ),
    (
        re.compile(r'.*\b(?:SQL_LOG_BIN|GTID_NEXT|READ_ONLY|INSERT_ID)\b'),
        _Kind.refused,
    ),
    (re.compile(r'SET\s+@(?!@)|.*(?<!@)@[\w`]'), _Kind.pinned),
    (re.compile(r'SET\s+(?:NAMES|CHARACTER|CHARSET)\b'), _Kind.local),
    (
        re.compile(
            r'SET\s+(?:SESSION\s+|LOCAL\s+|@@SESSION\.|@@LOCAL\.|@@)?'
            r'(?:AUTOCOMMIT|CHARACTER_SET_\w+|COLLATION_CONNECTION)\b',
        ),
        _Kind.local,
    ),
)


def classify(sql: str) -> StatementKind:
    """Classify a statement.

    Parameters
    ----------
    sql
        One statement without the hint comment.

    Examples
    --------
    >>> classify('SELECT pane FROM panes FOR UPDATE')
    <StatementKind.locking_read: 'locking_read'>
    """
    if len(sql) > CACHED_LENGTH:
        return _classify(sql)
    return _cached(sql)


def _classify(sql: str) -> StatementKind:
    if ';' in sql and has_second_statement(sql):
        return _Kind.refused
    if '/*!' in sql and '/*!' in masked(sql):
        return _Kind.refused
    word = first_word(sql)
    handler = _HANDLERS.get(word)
    if handler is not None:
        return handler(sql)
    return _FIRST_WORDS.get(word, _Kind.refused)


_cached = functools.lru_cache(maxsize=CACHE_ENTRIES)(_classify)


def _read(sql: str) -> StatementKind:
    upper = sql.upper()
    if 'FROM' not in upper or '@@' in upper or 'DUAL' in upper:
        text = masked(upper).strip('; \t\r\n')
        if _LOCAL_SELECT.fullmatch(text):
            return _Kind.local
    if not _has_mark(_READ_MARKS, upper):
        return _Kind.read
    return _first_case(_READ_CASES, masked(upper), _Kind.read)


def _write(sql: str) -> StatementKind:
    upper = sql.upper()
    if not _has_mark(_WRITE_MARKS, upper):
        return _Kind.write
    return _first_case(_STATE_CASES, masked(upper), _Kind.write)


def _with(sql: str) -> StatementKind:
    main = top_level_word(sql, frozenset(('SELECT', 'UPDATE', 'DELETE')))
    return _read(sql) if main == 'SELECT' else _write(sql)


def _show(sql: str) -> StatementKind:
    is_local = _LOCAL_SHOW.match(masked(sql.upper()).lstrip())
    return _Kind.local if is_local else _Kind.read


def _set(sql: str) -> StatementKind:
    if 'NO_BACKSLASH_ESCAPES' in sql.upper():
        # Strings would end elsewhere than `masked` assumes.
        return _Kind.refused
    text = ' '.join(masked(sql.upper()).split())
    for pattern, kind in _SET_CASES:
        if pattern.match(text):
            return kind
    return _Kind.set_session


def _start(sql: str) -> StatementKind:
    words = masked(sql.upper()).split()
    is_transaction = words[1:2] == ['TRANSACTION'] or words[0] == 'BEGIN'
    return _Kind.begin if is_transaction else _Kind.refused


def _commit(sql: str) -> StatementKind:
    return _Kind.refused if 'CHAIN' in sql.upper() else _Kind.commit


def _rollback(sql: str) -> StatementKind:
    words = masked(sql.upper()).split()
    if 'TO' in words:
        return _Kind.write
    return _Kind.refused if 'CHAIN' in words else _Kind.rollback


def _create(sql: str) -> StatementKind:
    words = masked(sql.upper()).split()
    return _Kind.pinned if words[1:2] == ['TEMPORARY'] else _Kind.write


def _has_mark(marks: tuple[str, ...], upper: str) -> bool:
    for mark in marks:
        if mark in upper:
            return True
    return False


def _first_case(
    cases: tuple[_Case, ...],
    text: str,
    default: StatementKind,
) -> StatementKind:
    for mark, pattern, kind in cases:
        if mark in text and pattern.search(text):
            return kind
    return default


_HANDLERS = {
    'SELECT': _read,
    'TABLE': _read,
    'WITH': _with,
    'SHOW': _show,
    'SET': _set,
    'START': _start,
    'BEGIN': _start,
    'COMMIT': _commit,
    'ROLLBACK': _rollback,
    'CREATE': _create,
    'INSERT': _write,
    'UPDATE': _write,
    'DELETE': _write,
    'REPLACE': _write,
    'CALL': _write,
    'DO': _write,
}
