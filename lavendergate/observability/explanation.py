"""Explains a request's outcome from the events of all processes."""

from collections.abc import Iterator
from dataclasses import dataclass

from lavendergate.observability.event_type import Event
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.observability.session_events import SessionEvent
from lavendergate.observability.timeline import Line, Timeline

# Events up to this long before and after the outcome are considered related.
_WINDOW_MS = 10_000

# Changes of what a host knows about members, primaries, routes and control.
_OBSERVATIONS = frozenset(
    event.number
    for event in (
        SessionEvent.member_changed,
        SessionEvent.member_regained,
        SessionEvent.member_suspected,
        SessionEvent.primary_noticed,
        SessionEvent.first_writes_released,
        SessionEvent.routes_in_force,
        SessionEvent.control_lost,
        SessionEvent.control_regained,
        SessionEvent.key_lease_lost,
        SessionEvent.key_lease_regained,
    )
)
# Decisions of the control hosts about a service.
_CONTROL_DECISIONS = frozenset(
    event.number
    for event in (
        SessionEvent.takeover_begun,
        SessionEvent.takeover_waits,
        SessionEvent.promotion_ordered,
        SessionEvent.takeover_ended,
    )
)
# Events that explain why a request may have left no event.
_POSSIBLE_CAUSES = frozenset(
    event.number
    for event in (ProcessEvent.process_started, ProcessEvent.events_dropped)
)
_OUTCOMES: tuple[Event, ...] = (
    SessionEvent.request_refused,
    SessionEvent.request_delayed,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Explanation:
    """Events that explain the outcome of a request.

    Parameters
    ----------
    outcomes
        Refusals and delays of the request, one line per attempt, oldest
        first.
    observations
        What the serving host learned before the last outcome, oldest first.
    control_decisions
        Decisions of the control hosts about the service around that time.
    possible_causes
        Starts of hosts and dropped events, if no event reports that the
        request was refused or delayed.
    """

    outcomes: tuple[Line, ...]
    observations: tuple[Line, ...] = ()
    control_decisions: tuple[Line, ...] = ()
    possible_causes: tuple[Line, ...] = ()


def explain_request(timeline: Timeline, request_id: str) -> Explanation:
    """Collect the events that explain the outcome of a request.

    Parameters
    ----------
    timeline
        Events of all processes.
    request_id
        Request id chosen by the caller.
    """
    numbers = {event.number for event in _OUTCOMES}
    outcomes = tuple(
        line
        for line in timeline.lines
        if line.number in numbers
        and line.fields.get('request_id') == request_id
    )
    if not outcomes:
        possible_causes = tuple(
            line for line in timeline.lines if line.number in _POSSIBLE_CAUSES
        )
        return Explanation(outcomes=(), possible_causes=possible_causes)
    last = outcomes[-1]
    service = last.fields.get('service')
    return Explanation(
        outcomes=outcomes,
        observations=tuple(
            line
            for line in _lines_near(timeline, last)
            if line.host == last.host
            and line.number in _OBSERVATIONS
            and line.sort_key <= last.sort_key
            and line.fields.get('service', service) == service
        ),
        control_decisions=tuple(
            line
            for line in _lines_near(timeline, last)
            if line.number in _CONTROL_DECISIONS
            and line.fields.get('service') == service
        ),
    )


def render_explanation(explanation: Explanation) -> str:
    """Render an explanation as text."""
    return '\n'.join((*_render_lines(explanation), ''))


def _lines_near(timeline: Timeline, line: Line) -> Iterator[Line]:
    for other in timeline.lines:
        if abs(other.milliseconds - line.milliseconds) <= _WINDOW_MS:
            yield other


def _render_lines(explanation: Explanation) -> Iterator[str]:
    if not explanation.outcomes:
        yield (
            'No event reports that this request was refused or delayed: it '
            'was answered in time, its host ended before it answered, or its '
            'line was dropped.'
        )
        yield 'Starts of hosts and dropped lines'
        yield from _format_lines(explanation.possible_causes)
        return
    last = explanation.outcomes[-1]
    yield 'Outcome'
    yield from _format_lines(explanation.outcomes)
    yield 'Inputs of the decision'
    yield from (
        f'  {name}: {value}'
        for name, value in last.fields.items()
        if name not in {'request_id', 'reason'}
    )
    yield f'Learned by {last.host} shortly before'
    yield from _format_lines(explanation.observations)
    yield 'Decisions of the control hosts within 10 s'
    yield from _format_lines(explanation.control_decisions)


def _format_lines(lines: tuple[Line, ...]) -> Iterator[str]:
    if not lines:
        yield '  nothing'
    for line in lines:
        yield f'  {line.time} {line.host} {line.number} {line.text}'
