"""Statement classification by first keyword and a few patterns.

Statements are not parsed. Ambiguous statements get the safer kind: a
statement that may write counts as a write, and one that depends on the state
of an upstream connection is pinned or refused.
"""

import enum
import functools
import re

from lavendergate.core.sql_text import (
    first_word,
    has_second_statement,
    mask_strings_and_comments,
    top_level_word,
)

CACHE_ENTRIES = 4096
# Maximum length of a cached statement, in characters. Longer statements are
# rarely repeated, and caching them would use too much memory.
MAX_CACHED_LENGTH = 2048


@enum.unique
class StatementKind(enum.Enum):
    """What the proxy does with a statement.

    `read` may run on a replica. `locking_read` and `write` run on the
    primary. `begin`, `commit` and `rollback` control a transaction.
    `set_session` is replayed on each upstream connection that the caller
    uses. `pinned` depends on or changes the state of one upstream
    connection: it is allowed only inside a transaction, and the connection
    is closed at the end of the transaction. `use_database` selects a group.
    `local` is answered by the proxy itself. `refused` is not supported.
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

_KIND_BY_FIRST_WORD: dict[str, StatementKind] = {
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

# Rules that override the kind of a read or write, the most restrictive first:
# a substring for a cheap first test, the exact pattern, and the kind.
_Rule = tuple[str, re.Pattern[str], StatementKind]
_CONNECTION_STATE_RULES: tuple[_Rule, ...] = (
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
_READ_RULES: tuple[_Rule, ...] = (
    (
        'INTO',
        re.compile(r'\bINTO\s+(?:OUTFILE|DUMPFILE)\b'),
        _Kind.refused,
    ),
    *_CONNECTION_STATE_RULES,
    ('INTO', re.compile(r'\bINTO\b'), _Kind.pinned),
    ('FOR', re.compile(r'\bFOR\s+(?:UPDATE|SHARE)\b'), _Kind.locking_read),
    (
        'LOCK',
        re.compile(r'\bLOCK\s+IN\s+SHARE\s+MODE\b'),
        _Kind.locking_read,
    ),
)
_READ_SUBSTRINGS = tuple({substring: None for substring, _, _ in _READ_RULES})
_WRITE_SUBSTRINGS = tuple(
    {substring: None for substring, _, _ in _CONNECTION_STATE_RULES}
)

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

_SET_RULES: tuple[tuple[re.Pattern[str], StatementKind], ...] = (
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
        One SQL statement without its hint comment.

    Examples
    --------
    >>> classify('SELECT pane FROM panes FOR UPDATE')
    <StatementKind.locking_read: 'locking_read'>
    """
    if len(sql) > MAX_CACHED_LENGTH:
        return _classify_uncached(sql)
    return _classify_cached(sql)


def _classify_uncached(sql: str) -> StatementKind:
    if ';' in sql and has_second_statement(sql):
        return _Kind.refused
    if '/*!' in sql and '/*!' in mask_strings_and_comments(sql):
        return _Kind.refused
    word = first_word(sql)
    classifier = _CLASSIFIER_BY_FIRST_WORD.get(word)
    if classifier is not None:
        return classifier(sql)
    return _KIND_BY_FIRST_WORD.get(word, _Kind.refused)


_classify_cached = functools.lru_cache(maxsize=CACHE_ENTRIES)(
    _classify_uncached
)


def _classify_read(sql: str) -> StatementKind:
    upper = sql.upper()
    if 'FROM' not in upper or '@@' in upper or 'DUAL' in upper:
        text = mask_strings_and_comments(upper).strip('; \t\r\n')
        if _LOCAL_SELECT.fullmatch(text):
            return _Kind.local
    if not _contains_any(_READ_SUBSTRINGS, upper):
        return _Kind.read
    return _first_matching_kind(
        _READ_RULES, mask_strings_and_comments(upper), _Kind.read
    )


def _classify_write(sql: str) -> StatementKind:
    upper = sql.upper()
    if not _contains_any(_WRITE_SUBSTRINGS, upper):
        return _Kind.write
    return _first_matching_kind(
        _CONNECTION_STATE_RULES, mask_strings_and_comments(upper), _Kind.write
    )


def _classify_with(sql: str) -> StatementKind:
    main = top_level_word(sql, frozenset(('SELECT', 'UPDATE', 'DELETE')))
    return _classify_read(sql) if main == 'SELECT' else _classify_write(sql)


def _classify_show(sql: str) -> StatementKind:
    is_local = _LOCAL_SHOW.match(
        mask_strings_and_comments(sql.upper()).lstrip()
    )
    return _Kind.local if is_local else _Kind.read


def _classify_set(sql: str) -> StatementKind:
    if 'NO_BACKSLASH_ESCAPES' in sql.upper():
        # In this mode a backslash does not escape a quote, so strings end
        # elsewhere than `mask_strings_and_comments`
        # assumes.
        return _Kind.refused
    text = ' '.join(mask_strings_and_comments(sql.upper()).split())
    for pattern, kind in _SET_RULES:
        if pattern.match(text):
            return kind
    return _Kind.set_session


def _classify_start(sql: str) -> StatementKind:
    words = mask_strings_and_comments(sql.upper()).split()
    is_transaction = words[1:2] == ['TRANSACTION'] or words[0] == 'BEGIN'
    return _Kind.begin if is_transaction else _Kind.refused


def _classify_commit(sql: str) -> StatementKind:
    return _Kind.refused if 'CHAIN' in sql.upper() else _Kind.commit


def _classify_rollback(sql: str) -> StatementKind:
    words = mask_strings_and_comments(sql.upper()).split()
    if 'TO' in words:
        return _Kind.write
    return _Kind.refused if 'CHAIN' in words else _Kind.rollback


def _classify_create(sql: str) -> StatementKind:
    words = mask_strings_and_comments(sql.upper()).split()
    return _Kind.pinned if words[1:2] == ['TEMPORARY'] else _Kind.write


def _contains_any(substrings: tuple[str, ...], upper: str) -> bool:
    for substring in substrings:
        if substring in upper:
            return True
    return False


def _first_matching_kind(
    rules: tuple[_Rule, ...],
    text: str,
    default: StatementKind,
) -> StatementKind:
    for substring, pattern, kind in rules:
        if substring in text and pattern.search(text):
            return kind
    return default


_CLASSIFIER_BY_FIRST_WORD = {
    'SELECT': _classify_read,
    'TABLE': _classify_read,
    'WITH': _classify_with,
    'SHOW': _classify_show,
    'SET': _classify_set,
    'START': _classify_start,
    'BEGIN': _classify_start,
    'COMMIT': _classify_commit,
    'ROLLBACK': _classify_rollback,
    'CREATE': _classify_create,
    'INSERT': _classify_write,
    'UPDATE': _classify_write,
    'DELETE': _classify_write,
    'REPLACE': _classify_write,
    'CALL': _classify_write,
    'DO': _classify_write,
}
