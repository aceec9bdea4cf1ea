"""Base classes of the numbered events."""

import enum
import string
from dataclasses import dataclass

FieldValue = bool | int | float | str | None | tuple[str, ...]


@enum.unique
class Level(enum.Enum):
    """Severity of an event for an operator, in ascending order."""

    debug = 'debug'
    info = 'info'
    warning = 'warning'
    error = 'error'


@dataclass(frozen=True, kw_only=True, slots=True)
class EventType:
    """Definition of an event, shared by all its occurrences.

    Parameters
    ----------
    number
        Stable number; never reused for another event.
    level
        Severity of the event.
    message
        Template of the text; the names in braces are required fields.
    extra
        Optional fields, which are not part of the text.
    action
        What an operator should do about the event.
    """

    number: int
    level: Level
    message: str
    extra: tuple[str, ...]
    action: str

    @property
    def required(self) -> tuple[str, ...]:
        """Names of the required fields, in the order of the text."""
        names = (part[1] for part in string.Formatter().parse(self.message))
        return tuple(dict.fromkeys(name for name in names if name))


class Event(enum.Enum):
    """Base of the event enumerations; values are event types."""

    @property
    def type(self) -> EventType:
        """Definition of the event."""
        event_type: EventType = self.value
        return event_type

    @property
    def number(self) -> int:
        """Stable number of the event."""
        return self.type.number

    @property
    def level(self) -> Level:
        """Severity of the event."""
        return self.type.level


NO_ACTION = 'Nothing.'


def define(
    number: int,
    level: Level,
    message: str,
    action: str = NO_ACTION,
    *,
    extra: tuple[str, ...] = (),
) -> EventType:
    """Return the definition of an event."""
    return EventType(
        number=number,
        level=level,
        message=message,
        extra=extra,
        action=action,
    )
