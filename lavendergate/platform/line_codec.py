"""Codec for the lines of the platform's statement protocol."""

from collections.abc import Callable, Mapping

from lavendergate.core.bounds.ranges import MAX_COUNT, MAX_NAME_CHARACTERS
from lavendergate.core.errors import quoted
from lavendergate.core.sessions.statements import (
    AccessKind,
    Begin,
    CallerStatement,
    Commit,
    Completed,
    DemotePrimary,
    Execute,
    Forget,
    MemberReport,
    Outcome,
    PauseReplication,
    Phase,
    Prepare,
    Read,
    RefusalCode,
    Refused,
    ReportStatus,
    ResetSession,
    ResumeReplication,
    Rollback,
    SessionAnswer,
    SetValue,
    Shape,
    Statement,
    Write,
)
from lavendergate.core.types import LogPosition, Term

LINE_END = b'\r\n'
MAX_LINE_BYTES = 1024 * 1024
EMPTY_FIELD = '-'

_PHASE_WORDS: Mapping[Phase, str] = {
    Phase.idle: 'I',
    Phase.in_transaction: 'T',
    Phase.failed: 'E',
}
_PHASES = {word: phase for phase, word in _PHASE_WORDS.items()}

_CODE_WORDS: Mapping[RefusalCode, str] = {
    RefusalCode.aborted: 'ABORTED',
    RefusalCode.busy: 'BUSY',
    RefusalCode.connection_limit: 'CONNLIMIT',
    RefusalCode.failed: 'FAILED',
    RefusalCode.lagging: 'LAGGING',
    RefusalCode.malformed: 'MALFORMED',
    RefusalCode.misrouted: 'MISROUTED',
    RefusalCode.no_database: 'NODB',
    RefusalCode.no_statement: 'NOSTMT',
    RefusalCode.not_authorized: 'NOAUTH',
    RefusalCode.read_only: 'READONLY',
    RefusalCode.timeout: 'TIMEOUT',
    RefusalCode.unknown: 'UNKNOWN',
}
_CODES = {word: code for code, word in _CODE_WORDS.items()}

_ACCESS_WORDS = {AccessKind.read: 'READ', AccessKind.write: 'WRITE'}
_ACCESS_KINDS = {word: access for access, word in _ACCESS_WORDS.items()}

_REPORT_FIELD_COUNT = 7
_MAX_DIGITS = len(str(MAX_COUNT))


class LineError(Exception):
    """A line violates the statement protocol."""


def parse_statement(text: str) -> CallerStatement | None:
    """Parse a caller's statement; None if the text is not a statement.

    Members must receive the text that the caller sent. A text is therefore
    rejected if the parsed statement would be written differently.
    """
    word, _, rest = text.partition(' ')
    parse = _PARSERS.get(word)
    if parse is None:
        return None
    statement = parse(rest)
    if statement is None or encode_statement(statement) != text:
        return None
    return statement


def encode_statement(statement: Statement) -> str:  # noqa: C901, WPS212
    """Return the text of a statement."""
    match statement:
        case Begin(read_only=read_only):
            return 'BEGIN READ' if read_only else 'BEGIN'
        case Commit():
            return 'COMMIT'
        case Rollback():
            return 'ROLLBACK'
        case Read(item=item):
            return f'READ {item}'
        case Write(item=item, content=content):
            return f'WRITE {item} {content}'
        case SetValue(name=name, value=value):
            return f'SET {name} {value}'
        case Prepare(name=name, shape=shape):
            return f'PREPARE {name} {_ACCESS_WORDS[shape.access]} {shape.text}'
        case Execute(name=name, item=item, content=None):
            return f'EXEC {name} {item}'
        case Execute(name=name, item=item, content=content):
            return f'EXEC {name} {item} {content}'
        case _:
            return _encode_session_statement(statement)


def encode_position(position: LogPosition | None) -> str:
    """Return the text of a log position."""
    if position is None:
        return EMPTY_FIELD
    return f'{position.term}.{position.position}'


def parse_position(text: str) -> LogPosition | None:
    """Parse a log position; None if the field is empty.

    Raises
    ------
    LineError
        If the text is not a position.
    """
    if text == EMPTY_FIELD:
        return None
    term, _, number = text.partition('.')
    if _is_count(term) and _is_count(number):
        return LogPosition(term=Term(int(term)), position=int(number))
    raise LineError(
        f'invalid position {quoted(text)}: expected TERM.NUMBER, each of at '
        f'most {MAX_COUNT}'
    )


def encode_query(
    statement: Statement, request_id: str | None, after: LogPosition | None
) -> bytes:
    """Return the QUERY line that makes a member run a statement.

    Parameters
    ----------
    request_id
        Id of the caller's request; None for statements of the system.
    after
        Position that the member must apply first; None for no condition.
    """
    text = encode_statement(statement)
    if after is not None:
        text = f'AFTER {encode_position(after)} {text}'
    return f'QUERY {request_id or EMPTY_FIELD} {text}'.encode() + LINE_END


def encode_refusal(refusal: Refused) -> bytes:
    """Return the ERR line of a refusal."""
    word = _CODE_WORDS[refusal.code]
    return f'ERR {word} {refusal.text or EMPTY_FIELD}'.encode() + LINE_END


def encode_answer(answer: SessionAnswer) -> bytes:
    """Return all lines of an answer to a caller."""
    rows = b''.join(f'ROW {row}'.encode() + LINE_END for row in answer.rows)
    return rows + _encode_outcome(answer.outcome) + encode_ready(answer)


def encode_ready(answer: SessionAnswer) -> bytes:
    """Return the READY line that ends an answer."""
    word = _PHASE_WORDS[answer.phase]
    position = encode_position(answer.position)
    return f'READY {word} {position}'.encode() + LINE_END


def parse_ready(rest: str) -> tuple[Phase, LogPosition | None]:
    """Parse the fields of a READY line, which ends an answer."""
    word, _, position = rest.partition(' ')
    phase = _PHASES.get(word)
    if phase is None:
        raise LineError(f'invalid phase {quoted(word)} in a READY line')
    return phase, parse_position(position)


def parse_refusal(rest: str) -> Refused:
    """Parse the fields of an ERR line."""
    word, _, text = rest.partition(' ')
    # A code that is not in this protocol is treated as `failed`, which proves
    # nothing about the effect.
    code = _CODES.get(word, RefusalCode.failed)
    return Refused(code=code, text=text if word in _CODES else rest)


def parse_report(row: str) -> MemberReport:
    """Parse a status row, which a member sends as its report."""
    fields = row.split(' ')
    if len(fields) < _REPORT_FIELD_COUNT:
        raise LineError(
            f'invalid status row {quoted(row)}: expected at least 7 fields'
        )
    role, term, received = fields[:3]
    paused, lag, busy, connections = fields[3:_REPORT_FIELD_COUNT]
    position = parse_position(received)
    if position is None:
        raise LineError(f'invalid status row {quoted(row)}: no position')
    return MemberReport(
        is_primary=role == 'primary',
        term=Term(_parse_count('term', term)),
        received=position,
        # The term in which replication was paused. The protocol calls this
        # field "term held".
        paused_term=Term(_parse_count('term held', paused)),
        lag_ms=_parse_decimal('lag', lag),
        busy=_parse_decimal('busy', busy),
        connections=_parse_decimal('connections', connections),
    )


def parse_request(rest: str) -> tuple[str, CallerStatement | None]:
    """Parse the fields of a caller's QUERY line.

    Returns
    -------
    The id, shortened if it is too long, and the statement; None if the id or
    the text is invalid.
    """
    request_id, _, text = rest.partition(' ')
    is_valid = (
        0 < len(request_id) <= MAX_NAME_CHARACTERS and request_id.isprintable()
    )
    return (
        request_id[:MAX_NAME_CHARACTERS],
        parse_statement(text) if is_valid else None,
    )


def _is_count(digits: str) -> bool:
    """Return whether a text is a number of at most 64 bits.

    `int` refuses texts of thousands of digits, and accepts digits of other
    scripts, with which a member would not know its own position again.
    """
    return (
        len(digits) <= _MAX_DIGITS
        and digits.isascii()
        and digits.isdecimal()
        and (len(digits) < _MAX_DIGITS or int(digits) <= MAX_COUNT)
    )


def _parse_count(field: str, text: str) -> int:
    if _is_count(text):
        return int(text)
    raise _field_error(field, text)


def _parse_decimal(field: str, text: str) -> int:
    """Parse a number with or without decimals; return its integer part."""
    whole, _, decimals = text.partition('.')
    digits = f'{whole}{decimals}'
    if not (digits.isascii() and digits.isdecimal()):
        raise _field_error(field, text)
    return _parse_count(field, whole or '0')


def _field_error(field: str, text: str) -> LineError:
    return LineError(
        f'invalid {field} {quoted(text)} in a status row: expected a number of '
        f'at most {MAX_COUNT}'
    )


def _encode_outcome(outcome: Outcome) -> bytes:
    match outcome:
        case Completed(signature=signature):
            return f'DONE {signature or EMPTY_FIELD}'.encode() + LINE_END
        case Refused():
            return encode_refusal(outcome)


def _encode_session_statement(statement: Statement) -> str:
    match statement:
        case Forget(name=name):
            return f'FORGET {name}'
        case PauseReplication(term=term):
            return f'PAUSE {term}'
        case ResumeReplication():
            return 'RESUME'
        case DemotePrimary(term=term):
            return f'DEMOTE {term}'
        case ReportStatus():
            return 'STATUS'
        case ResetSession():
            return 'RESET'
        case _:
            raise TypeError(f'{statement!r} has no text in this protocol')


def _parse_begin(rest: str) -> CallerStatement | None:
    return {'': Begin(), 'READ': Begin(read_only=True)}.get(rest)


def _parse_write(rest: str) -> CallerStatement | None:
    item, separator, content = rest.partition(' ')
    return Write(item=item, content=content) if item and separator else None


def _parse_set(rest: str) -> CallerStatement | None:
    name, separator, value = rest.partition(' ')
    return SetValue(name=name, value=value) if name and separator else None


def _parse_prepare(rest: str) -> CallerStatement | None:
    name, _, shape = rest.partition(' ')
    word, separator, text = shape.partition(' ')
    if not (name and separator and word in _ACCESS_KINDS):
        return None
    return Prepare(
        name=name, shape=Shape(access=_ACCESS_KINDS[word], text=text)
    )


def _parse_execute(rest: str) -> CallerStatement | None:
    name, _, arguments = rest.partition(' ')
    item, separator, content = arguments.partition(' ')
    if not (name and item):
        return None
    return Execute(name=name, item=item, content=content if separator else None)


_PARSERS: Mapping[str, Callable[[str], CallerStatement | None]] = {
    'BEGIN': _parse_begin,
    'COMMIT': lambda rest: Commit(),
    'ROLLBACK': lambda rest: Rollback(),
    'READ': lambda rest: Read(item=rest) if rest else None,
    'WRITE': _parse_write,
    'SET': _parse_set,
    'PREPARE': _parse_prepare,
    'EXEC': _parse_execute,
    'FORGET': lambda rest: Forget(name=rest) if rest else None,
}
