"""Texts that describe an unexpected error in the log."""

import traceback
from collections.abc import Iterator

_MAX_REASON_CHARACTERS = 500
_MAX_TRACEBACK_CHARACTERS = 1500
_TRACEBACK_ENTRIES = 4
_MAX_LEAVES = 4
_OWN_PACKAGE = 'lavendergate'


def leaf_errors(error: BaseException) -> Iterator[BaseException]:
    """Return the errors of an exception group, or the error itself."""
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from leaf_errors(inner)
    else:
        yield error


def reason_of(error: BaseException) -> str:
    """Return type and message of an error, or of the leaves of a group.

    Examples
    --------
    >>> reason_of(ExceptionGroup('tasks', [ValueError('a'), OSError('b')]))
    "ValueError('a'); OSError('b')"
    """
    leaves = list(leaf_errors(error))
    text = '; '.join(_representation(leaf) for leaf in leaves[:_MAX_LEAVES])
    if len(leaves) > _MAX_LEAVES:
        text = f'{text}; {len(leaves) - _MAX_LEAVES} more'
    return text


def place_of(error: BaseException) -> str:
    """Return file, line and function of an error; empty if unknown.

    The innermost function of this package counts, since those of libraries
    tell less.
    """
    leaf = next(leaf_errors(error))
    frames = traceback.extract_tb(leaf.__traceback__)
    own = [frame for frame in frames if _OWN_PACKAGE in frame.filename]
    return ''.join(
        f'{frame.filename}:{frame.lineno} {frame.name}'
        for frame in (own or frames)[-1:]
    )


def traceback_of(error: BaseException) -> str:
    """Return the last entries of the traceback of an error."""
    leaf = next(leaf_errors(error))
    lines = traceback.format_exception(leaf)[-_TRACEBACK_ENTRIES:]
    return ''.join(lines)[-_MAX_TRACEBACK_CHARACTERS:]


def _representation(error: BaseException) -> str:
    try:
        text = repr(error)
    except Exception:
        # The error of a library may have a faulty representation.
        text = type(error).__name__
    return text[:_MAX_REASON_CHARACTERS]
