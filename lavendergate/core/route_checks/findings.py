"""What the checks of a route table report."""

import enum
from dataclasses import dataclass


@enum.unique
class FindingKind(enum.Enum):
    """What a finding says about a route table.

    `error`: control hosts would refuse the table.
    `unused`: an entry can never apply.
    `conflict`: limits contradict each other.
    `change`: the table in force differs.
    """

    error = 'error'
    unused = 'unused'
    conflict = 'conflict'
    change = 'change'


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """One result of the checks.

    Parameters
    ----------
    subject
        Entry that it concerns, such as ``route r-1``; keys are never named.
    text
        What was found, with the values, and what to do about it.
    """

    kind: FindingKind
    subject: str
    text: str
