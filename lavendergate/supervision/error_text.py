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

    Where it is a function of a library, the innermost one of this package
    follows, which may be outside of the group that holds the error.
    """
    frames: list[traceback.FrameSummary] = []
    inner: BaseException | None = error
    while inner is not None:
        frames.extend(traceback.extract_tb(inner.__traceback__))
        inner = (
            inner.exceptions[0]
            if isinstance(inner, BaseExceptionGroup)
            else None
        )
    own = [frame for frame in frames if _OWN_PACKAGE in frame.filename]
    places = [
        f'{frame.filename}:{frame.lineno} {frame.name}'
        for frame in (*frames[-1:], *own[-1:])
    ]
    return ' in '.join(dict.fromkeys(places))


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
