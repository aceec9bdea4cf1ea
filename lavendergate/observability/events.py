"""Catalogue of all numbered events.

Ranges: 1xxx proxy and statement path, 2xxx connections and shares, 3xxx
membership, 4xxx failover, 5xxx replicated log, 6xxx settings, 7xxx start and
stop of processes, 8xxx sessions, announced members, promotions and formation
of the control group.
"""

from collections.abc import Mapping

from lavendergate.observability.connection_events import ConnectionEvent
from lavendergate.observability.consensus_events import ConsensusEvent
from lavendergate.observability.event_type import Event, FieldValue, Level
from lavendergate.observability.failover_events import FailoverEvent
from lavendergate.observability.membership_events import MembershipEvent
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.observability.session_events import SessionEvent
from lavendergate.observability.settings_events import SettingsEvent
from lavendergate.observability.statement_events import StatementEvent

__all__ = (
    'ALL_EVENTS',
    'ConnectionEvent',
    'ConsensusEvent',
    'Event',
    'FailoverEvent',
    'FieldValue',
    'Level',
    'MembershipEvent',
    'ProcessEvent',
    'SessionEvent',
    'SettingsEvent',
    'StatementEvent',
    'event_by_number',
    'render',
)

EVENT_RANGES: Mapping[int, tuple[str, type[Event]]] = {
    1: ('Proxy and statement path', StatementEvent),
    2: ('Connections and shares', ConnectionEvent),
    3: ('Membership', MembershipEvent),
    4: ('Failover', FailoverEvent),
    5: ('Replicated log', ConsensusEvent),
    6: ('Settings', SettingsEvent),
    7: ('Start and stop', ProcessEvent),
    8: ('Sessions and promotions', SessionEvent),
}

ALL_EVENTS: tuple[Event, ...] = tuple(
    event for _title, events in EVENT_RANGES.values() for event in events
)

_BY_NUMBER = {event.number: event for event in ALL_EVENTS}


def event_by_number(number: int) -> Event | None:
    """Return the event with a number, or None if there is none."""
    return _BY_NUMBER.get(number)


def render(event: Event, fields: Mapping[str, FieldValue]) -> str:
    """Return the text of an occurrence, with ``?`` for missing fields."""
    values = {name: fields.get(name, '?') for name in event.type.required}
    return event.type.message.format_map(values)


def invalid_fields(
    event: Event, fields: Mapping[str, FieldValue]
) -> tuple[str, ...]:
    """Return the names of missing required fields and of unknown fields."""
    required = set(event.type.required)
    allowed = required.union(event.type.extra)
    return tuple(sorted(required - fields.keys() | fields.keys() - allowed))
