"""Translates MySQL statements to SQLite's dialect."""

from collections.abc import Callable, Sequence

from standin.errors import MemberError
from standin.tokens import Token, identifier, literal, syntax_error, to_bytes

VariableReader = Callable[[str], object]


def translate(
    tokens: Sequence[Token],
    *,
    parameters: Sequence[object] = (),
    read_variable: VariableReader | None = None,
) -> str:
    """Translate a query or a change of data.

    Parameters
    ----------
    tokens
        Tokens of the statement.
    parameters
        Values for the ``?`` of a prepared statement.
    read_variable
        Returns the value of a system variable.

    Raises
    ------
    MemberError
        If the statement cannot be translated.
    """
    translated = _without_lock_clause(tokens)
    translated = _translate_insert(translated)
    translated = _translate_limited_change(translated)
    return _TokenTranslator(parameters, read_variable).write(translated)


def count_parameters(tokens: Sequence[Token]) -> int:
    """Return the number of ``?`` in a statement."""
    return sum(token.kind == 'mark' for token in tokens)


class _TokenTranslator:
    """Translates tokens one by one to SQLite's dialect."""

    def __init__(
        self,
        parameters: Sequence[object],
        read_variable: VariableReader | None,
    ) -> None:
        self._parameters = iter(parameters)
        self._read_variable = read_variable

    def write(self, tokens: Sequence[Token]) -> str:
        parts: list[str] = []
        index = 0
        while index < len(tokens):
            token = tokens[index]
            following = tokens[index + 1] if index + 1 < len(tokens) else None
            if _is_introducer(token, following):
                parts.append(_translate_introduced(token, following))
                index += 2
            elif _is_session_function(tokens, index):
                parts.append(self._translate_session_function(token))
                index += 3
            else:
                parts.append(self._translate_token(token, following))
                index += 1
        return _join_tokens(parts)

    def _translate_session_function(self, token: Token) -> str:
        if self._read_variable is None:
            raise syntax_error(token.text)
        return literal(self._read_variable(f'{token.text.lower()}()'))

    def _translate_token(self, token: Token, following: Token | None) -> str:
        match token.kind:
            case 'string':
                return literal(token.text)
            case 'quoted':
                return identifier(token.text)
            case 'hex':
                return f"X'{token.text}'"
            case 'mark':
                return self._next_parameter()
            case 'variable':
                return self._translate_variable(token, following)
            case _:
                return _translate_word(token, following)

    def _next_parameter(self) -> str:
        try:
            return literal(next(self._parameters))
        except StopIteration:
            raise syntax_error('?') from None

    def _translate_variable(self, token: Token, following: Token | None) -> str:
        if self._read_variable is None:
            raise syntax_error(token.text)
        text = literal(self._read_variable(token.text))
        if following is None or following.upper in {',', 'LIMIT'}:
            return f'{text} AS {identifier(token.text)}'
        return text


_FUNCTIONS_WITHOUT_ARGUMENTS = frozenset(
    ('CURRENT_TIMESTAMP', 'LOCALTIME', 'LOCALTIMESTAMP')
)
_SESSION_FUNCTIONS = frozenset(
    ('CONNECTION_ID', 'DATABASE', 'SCHEMA', 'USER', 'CURRENT_USER')
    + ('SESSION_USER', 'VERSION', 'LAST_INSERT_ID', 'ROW_COUNT')
)
_WORD_TRANSLATIONS = {
    'DIV': '/',
    'RLIKE': 'REGEXP',
    'DUAL': '(SELECT 1)',
    '<=>': 'IS',
    '&&': 'AND',
}
_FUNCTION_TRANSLATIONS = {
    'IF': 'iif',
    'NOW': 'mysql_now',
    'SYSDATE': 'mysql_now',
    'UTC_TIMESTAMP': 'mysql_now',
    'CURRENT_TIMESTAMP': 'mysql_now',
    'UNIX_TIMESTAMP': 'mysql_unix_timestamp',
    'RAND': 'mysql_rand',
    'UUID': 'mysql_uuid',
    'CHAR_LENGTH': 'length',
    'LCASE': 'lower',
    'UCASE': 'upper',
    'SUBSTRING': 'substr',
    'GREATEST': 'max',
    'LEAST': 'min',
}


def _translate_word(token: Token, following: Token | None) -> str:
    upper = token.upper
    is_call = following is not None and following.text == '('
    if is_call and upper in _FUNCTION_TRANSLATIONS:
        return _FUNCTION_TRANSLATIONS[upper]
    if upper in _FUNCTIONS_WITHOUT_ARGUMENTS:
        return 'mysql_now()'
    return _WORD_TRANSLATIONS.get(upper, token.text)


def _is_session_function(tokens: Sequence[Token], index: int) -> bool:
    texts = [token.text for token in tokens[index + 1 : index + 3]]
    return tokens[index].upper in _SESSION_FUNCTIONS and texts == ['(', ')']


def _is_introducer(token: Token, following: Token | None) -> bool:
    return (
        token.upper in {'_BINARY', '_UTF8MB4', '_UTF8'}
        and following is not None
        and following.kind in {'string', 'hex'}
    )


def _translate_introduced(token: Token, following: Token | None) -> str:
    if following is None:
        raise syntax_error(token.text)
    if following.kind == 'hex':
        return f"X'{following.text}'"
    if token.upper == '_BINARY':
        return literal(to_bytes(following.text))
    return literal(following.text)


def _join_tokens(parts: Sequence[str]) -> str:
    text = ''
    for part in parts:
        is_adjacent = (
            part in {'(', ')', ',', '.'}
            or text.endswith(('(', '.'))
            or not text
        )
        text += part if is_adjacent else f' {part}'
    return text


def _without_lock_clause(tokens: Sequence[Token]) -> list[Token]:
    """Remove ``FOR UPDATE``, ``FOR SHARE`` and ``LOCK IN SHARE MODE``."""
    for index, token in enumerate(tokens[:-1]):
        following = tokens[index + 1].upper
        if token.upper == 'FOR' and following in {'UPDATE', 'SHARE'}:
            return list(tokens[:index])
        if token.upper == 'LOCK' and following == 'IN':
            return list(tokens[:index])
    return list(tokens)


def _translate_insert(tokens: list[Token]) -> list[Token]:
    """Translate ``INSERT IGNORE`` and ``ON DUPLICATE KEY UPDATE``."""
    if not tokens or tokens[0].upper not in {'INSERT', 'UPDATE', 'DELETE'}:
        return tokens
    if len(tokens) > 1 and tokens[1].upper == 'IGNORE':
        tokens = [tokens[0], *_word_tokens('OR', 'IGNORE'), *tokens[2:]]
    if tokens[0].upper != 'INSERT':
        return tokens
    for index in range(len(tokens) - 3):
        words = [token.upper for token in tokens[index : index + 4]]
        if words == ['ON', 'DUPLICATE', 'KEY', 'UPDATE']:
            upsert = _word_tokens('ON', 'CONFLICT', 'DO', 'UPDATE', 'SET')
            assignments = _excluded_values(tokens[index + 4 :])
            return [*tokens[:index], *upsert, *assignments]
    return tokens


def _excluded_values(tokens: Sequence[Token]) -> list[Token]:
    """Replace ``VALUES(column)`` by ``excluded.column``."""
    result: list[Token] = []
    index = 0
    while index < len(tokens):
        is_reference = (
            tokens[index].upper == 'VALUES'
            and index + 3 < len(tokens)
            and tokens[index + 1].text == '('
        )
        if is_reference:
            dot = Token(kind='symbol', text='.')
            result += [*_word_tokens('excluded'), dot, tokens[index + 2]]
            index += 4
            continue
        result.append(tokens[index])
        index += 1
    return result


def _translate_limited_change(tokens: list[Token]) -> list[Token]:
    """Translate ``DELETE`` and ``UPDATE`` with ``ORDER BY`` or ``LIMIT``."""
    if not tokens or tokens[0].upper not in {'DELETE', 'UPDATE'}:
        return tokens
    top_level = _top_level_indexes(tokens)
    limit_indexes = [
        index
        for index in top_level
        if tokens[index].upper in {'LIMIT', 'ORDER'}
    ]
    if not limit_indexes:
        return tokens
    where_indexes = [
        index for index in top_level if tokens[index].upper == 'WHERE'
    ]
    start = where_indexes[0] if where_indexes else limit_indexes[0]
    table = tokens[2] if tokens[0].upper == 'DELETE' else tokens[1]
    selection = _word_tokens('WHERE', 'rowid', 'IN')
    open_select = [
        Token(kind='symbol', text='('),
        *_word_tokens('SELECT', 'rowid', 'FROM'),
        table,
    ]
    close = Token(kind='symbol', text=')')
    return [
        *tokens[:start],
        *selection,
        *open_select,
        *tokens[start:],
        close,
    ]


def _top_level_indexes(tokens: Sequence[Token]) -> list[int]:
    indexes = []
    depth = 0
    for index, token in enumerate(tokens):
        if token.text == '(' and token.kind == 'symbol':
            depth += 1
        elif token.text == ')' and token.kind == 'symbol':
            depth -= 1
        elif depth == 0:
            indexes.append(index)
    if depth:
        raise MemberError(1064, 'unbalanced parentheses in the statement')
    return indexes


def _word_tokens(*texts: str) -> list[Token]:
    return [Token(kind='word', text=text) for text in texts]
