"""Advice for refused statements, and parsing of ``SET autocommit``."""

import re

from lavendergate.core.sql_text import first_word

_AUTOCOMMIT = re.compile(
    r'SET\s+(?:SESSION\s+|LOCAL\s+|@@SESSION\.|@@LOCAL\.|@@)?'
    r'AUTOCOMMIT\s*:?=\s*(\w+)\s*;?\s*',
)
_AUTOCOMMIT_ON = frozenset(('1', 'ON', 'TRUE'))

_REFUSAL_ADVICE: dict[str, str] = {
    'LOCK': 'use transactions with SELECT ... FOR UPDATE',
    'UNLOCK': 'use transactions with SELECT ... FOR UPDATE',
    'XA': 'use one group in each transaction and a request_id',
    'LOAD': 'use INSERT statements with several rows',
    'HANDLER': 'use SELECT',
    'SET': 'change global variables at the members themselves',
    'SELECT': (
        'use rows with SELECT ... FOR UPDATE in place of GET_LOCK, and '
        'fetch results in place of INTO OUTFILE'
    ),
}
_DEFAULT_ADVICE = (
    'send one data statement at a time, without /*! */ comments; '
    'administrative statements go to the members themselves'
)


def refusal_advice(sql: str) -> str:
    """Return advice on what to use instead of a refused statement."""
    return _REFUSAL_ADVICE.get(first_word(sql), _DEFAULT_ADVICE)


def autocommit_value(sql: str) -> bool | None:
    """Return the value of a ``SET autocommit``, None for other statements."""
    if not sql[:3].upper() == 'SET':
        return None
    match = _AUTOCOMMIT.fullmatch(sql.upper())
    return None if match is None else match.group(1) in _AUTOCOMMIT_ON
