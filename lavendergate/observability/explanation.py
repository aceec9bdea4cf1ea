"""Explains a request's outcome from the events of all processes."""

from collections.abc import Iterator
from dataclasses import dataclass

from lavendergate.observability.event_type import Event
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.observability.session_events import SessionEvent
from lavendergate.observability.timeline import Line, Timeline

# Events this long before and after a request may have to do with it.
_WINDOW_MS = 10_000

# What a host believes, as its own events tell.
_BELIEFS = frozenset(
    event.number
    for event in (
        SessionEvent.member_changed,
        SessionEvent.member_regained,
        SessionEvent.member_suspected,
        SessionEvent.primary_noticed,
        SessionEvent.routes_in_force,
        SessionEvent.control_lost,
        SessionEvent.control_regained,
    )
)
# What control decided about a service.
_DECISIONS = frozenset(
    event.number
    for event in (
        SessionEvent.takeover_begun,
        SessionEvent.takeover_waits,
        SessionEvent.promotion_ordered,
        SessionEvent.takeover_ended,
    )
)
# Why a request may have no event.
_GAPS = frozenset(
    event.number
    for event in (ProcessEvent.process_started, ProcessEvent.events_dropped)
)
_OUTCOMES: tuple[Event, ...] = (
    SessionEvent.request_refused,
    SessionEvent.request_delayed,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Explanation:
    """What is known about a request.

    Parameters
    ----------
    outcomes
        How the request ended, one line an attempt.
    beliefs
        What the serving host learned shortly before, oldest first.
    decisions
        What control decided about the service at that time.
    gaps
        Starts of hosts and dropped lines, if no event names the request.
    """

    outcomes: tuple[Line, ...]
    beliefs: tuple[Line, ...] = ()
    decisions: tuple[Line, ...] = ()
    gaps: tuple[Line, ...] = ()


def explain_request(timeline: Timeline, request_id: str) -> Explanation:
    """Collect what decided about a request.

    Parameters
    ----------
    timeline
        Events of all processes.
    request_id
        Id that the caller gave the request.
    """
    numbers = {event.number for event in _OUTCOMES}
    outcomes = tuple(
        line
        for line in timeline.lines
        if line.number in numbers
        and line.fields.get('request_id') == request_id
    )
    if not outcomes:
        gaps = tuple(line for line in timeline.lines if line.number in _GAPS)
        return Explanation(outcomes=(), gaps=gaps)
    last = outcomes[-1]
    service = last.fields.get('service')
    return Explanation(
        outcomes=outcomes,
        beliefs=tuple(
            line
            for line in _near(timeline, last)
            if line.host == last.host
            and line.number in _BELIEFS
            and line.order <= last.order
            and line.fields.get('service', service) == service
        ),
        decisions=tuple(
            line
            for line in _near(timeline, last)
            if line.number in _DECISIONS
            and line.fields.get('service') == service
        ),
    )


def render_explanation(explanation: Explanation) -> str:
    """Return an explanation as text."""
    return '\n'.join((*_paragraphs(explanation), ''))


def _near(timeline: Timeline, line: Line) -> Iterator[Line]:
    for other in timeline.lines:
        if abs(other.milliseconds - line.milliseconds) <= _WINDOW_MS:
            yield other


def _paragraphs(explanation: Explanation) -> Iterator[str]:
    if not explanation.outcomes:
        yield (
            'No event names this request: it was answered in time, its host '
            'ended before it answered, or its line was dropped.'
        )
        yield 'Starts of hosts and dropped lines'
        yield from _shown(explanation.gaps)
        return
    last = explanation.outcomes[-1]
    yield 'Outcome'
    yield from _shown(explanation.outcomes)
    yield 'Decided by'
    yield from (
        f'  {name}: {found}'
        for name, found in last.fields.items()
        if name not in {'request_id', 'reason'}
    )
    yield f'Learned by {last.host} shortly before'
    yield from _shown(explanation.beliefs)
    yield 'Decided by control at that time'
    yield from _shown(explanation.decisions)


def _shown(lines: tuple[Line, ...]) -> Iterator[str]:
    if not lines:
        yield '  nothing'
    for line in lines:
        yield f'  {line.time} {line.host} {line.number} {line.text}'
