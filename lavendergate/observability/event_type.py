"""Base of the numbered events."""

import enum
import string
from dataclasses import dataclass

FieldValue = bool | int | float | str | None | tuple[str, ...]


@enum.unique
class Level(enum.Enum):
    """How urgent an event is for an operator."""

    debug = 'debug'
    info = 'info'
    warning = 'warning'
    error = 'error'


@dataclass(frozen=True, kw_only=True, slots=True)
class EventType:
    """What all occurrences of an event have in common.

    Parameters
    ----------
    number
        Stable number; it is never given to another event.
    level
        How urgent the event is.
    message
        Template of the text; the names in braces are required fields.
    extra
        Optional fields that the text does not show.
    action
        What an operator does about the event.
    """

    number: int
    level: Level
    message: str
    extra: tuple[str, ...]
    action: str

    @property
    def required(self) -> tuple[str, ...]:
        """Fields that each occurrence carries, in the order of the text."""
        names = (part[1] for part in string.Formatter().parse(self.message))
        return tuple(dict.fromkeys(name for name in names if name))


class Event(enum.Enum):
    """Base of the enumerations of events; its members are event types."""

    @property
    def type(self) -> EventType:
        """What all occurrences of the event have in common."""
        event_type: EventType = self.value
        return event_type

    @property
    def number(self) -> int:
        """Stable number of the event."""
        return self.type.number

    @property
    def level(self) -> Level:
        """How urgent the event is."""
        return self.type.level


NOTHING_TO_DO = 'Nothing.'


def define(
    number: int,
    level: Level,
    message: str,
    action: str = NOTHING_TO_DO,
    *,
    extra: tuple[str, ...] = (),
) -> EventType:
    """Define an event of the catalogue."""
    return EventType(
        number=number,
        level=level,
        message=message,
        extra=extra,
        action=action,
    )
