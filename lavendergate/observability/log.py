"""Interface through which all components emit numbered events."""

import abc
from collections.abc import Mapping
from dataclasses import dataclass

from lavendergate.observability.events import (
    Event,
    FieldValue,
    invalid_fields,
)


class EventLog(abc.ABC):
    """Receives the events of one process.

    Examples
    --------
    ``log.emit(FailoverEvent.term_begun, group='g', term=3, reason='probes')``
    """

    @abc.abstractmethod
    def emit(self, event: Event, **fields: FieldValue) -> None:
        """Record an occurrence of an event.

        Only test implementations raise exceptions.

        Parameters
        ----------
        event
            Event that occurred.
        fields
            All required fields, and any optional ones. Fields must not hold
            credentials or values of settings.
        """


@dataclass(frozen=True, kw_only=True, slots=True)
class Occurrence:
    """One recorded occurrence of an event."""

    event: Event
    fields: Mapping[str, FieldValue]


class MemoryEventLog(EventLog):
    """Keeps events in memory, for tests; rejects invalid fields."""

    def __init__(self) -> None:
        self._occurrences: list[Occurrence] = []

    @property
    def occurrences(self) -> tuple[Occurrence, ...]:
        """All recorded occurrences, oldest first."""
        return tuple(self._occurrences)

    def emit(self, event: Event, **fields: FieldValue) -> None:
        """Record an occurrence.

        Raises
        ------
        ValueError
            If a required field is missing or a field is not in the catalogue.
        """
        invalid = invalid_fields(event, fields)
        if invalid:
            raise ValueError(
                f'event {event.number} {event.name} has missing or unknown '
                f'fields {", ".join(invalid)}; expected '
                f'{", ".join(event.type.required)} and optionally '
                f'{", ".join(event.type.extra)}',
            )
        self._occurrences.append(Occurrence(event=event, fields=fields))

    def fields_of(self, event: Event) -> tuple[Mapping[str, FieldValue], ...]:
        """Return the fields of each occurrence of one event, oldest first."""
        return tuple(
            occurrence.fields
            for occurrence in self._occurrences
            if occurrence.event is event
        )
