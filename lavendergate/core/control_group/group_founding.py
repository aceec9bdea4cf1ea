"""Decides whether a host may found the control group.

Two groups would be two histories of acknowledged changes. docs/decisions/
founding-the-group.md argues why these rules allow one only.
"""

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class SeedAnswer:
    """What a seed answered about itself.

    Parameters
    ----------
    is_initialised
        Whether it belongs to a group.
    founding_seeds
        Sorted seeds of its founding record; empty without a record.
    """

    is_initialised: bool
    founding_seeds: tuple[str, ...] = ()


@enum.unique
class Founding(enum.Enum):
    """What a host does that belongs to no group."""

    found = 'found'
    join = 'join'
    wait = 'wait'


@dataclass(frozen=True, kw_only=True, slots=True)
class Founder:
    """Right of a host to found the group.

    Parameters
    ----------
    seeds
        Hosts that found the group, ``ip:port``; empty for a host that may
        only join.
    is_first_start
        Whether the settings of this process say that the whole system starts
        for the first time. Otherwise the right comes from the founding record
        of an earlier process.
    """

    seeds: tuple[str, ...] = ()
    is_first_start: bool = False

    def decide(self, answers: Mapping[str, SeedAnswer]) -> Founding:
        """Decide by the answers of the seeds, including the own one.

        Parameters
        ----------
        answers
            Answers by seed; seeds that did not answer are left out.
        """
        if any(answer.is_initialised for answer in answers.values()):
            return Founding.join
        if not self.seeds or set(answers) != set(self.seeds):
            return Founding.wait
        if self.is_first_start or self._have_records(answers):
            return Founding.found
        return Founding.wait

    def _have_records(self, answers: Mapping[str, SeedAnswer]) -> bool:
        expected = tuple(sorted(self.seeds))
        return all(
            answer.founding_seeds == expected for answer in answers.values()
        )


def founder_of(
    address: str,
    *,
    bootstrap: bool,
    seeds: Sequence[str],
    recorded_seeds: Sequence[str],
) -> Founder:
    """Return the right of the host at an address to found the group."""
    if bootstrap and address in seeds:
        return Founder(seeds=tuple(seeds), is_first_start=True)
    if address in recorded_seeds:
        return Founder(seeds=tuple(recorded_seeds))
    return Founder()
