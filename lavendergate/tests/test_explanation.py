"""Tests of explanations of single requests."""

import unittest

from lavendergate.observability.event_type import Event, FieldValue
from lavendergate.observability.explanation import (
    explain_request,
    render_explanation,
)
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.observability.session_events import SessionEvent
from lavendergate.observability.timeline import Line, Timeline


def line(
    event: Event,
    at_ms: int,
    host: str = 'edge-1',
    **fields: FieldValue,
) -> Line:
    """Return a line of an event file."""
    return Line(
        clock=at_ms << 16,
        host=host,
        number=event.number,
        level='info',
        time=str(at_ms),
        text=event.name,
        fields=fields,
    )


class ExplanationTest(unittest.TestCase):
    """Explanation of a request, given its id."""

    def test_refusal_is_shown_with_observations_and_decisions(self) -> None:
        """Guards against omitting the cause or showing unrelated events."""
        timeline = Timeline(
            lines=(
                line(SessionEvent.member_suspected, 900, service='s'),
                line(SessionEvent.member_suspected, 950, service='other'),
                line(SessionEvent.takeover_begun, 980, 'core-1', service='s'),
                line(
                    SessionEvent.request_refused,
                    1000,
                    request_id='r1',
                    service='s',
                    code='busy',
                ),
                line(SessionEvent.member_regained, 1100, service='s'),
            )
        )
        found = explain_request(timeline, 'r1')
        self.assertEqual([one.time for one in found.outcomes], ['1000'])
        self.assertEqual([one.time for one in found.observations], ['900'])
        self.assertEqual([one.time for one in found.control_decisions], ['980'])
        text = render_explanation(found)
        self.assertIn('code: busy', text)
        self.assertIn('takeover_begun', text)

    def test_hold_of_a_first_write_is_named(self) -> None:
        """Guards against a late write whose wait nobody can explain."""
        timeline = Timeline(
            lines=(
                line(
                    SessionEvent.first_writes_released,
                    950,
                    service='s',
                    outcome='bound',
                ),
                line(
                    SessionEvent.request_delayed,
                    1000,
                    request_id='r1',
                    service='s',
                    held_ms=300,
                ),
            )
        )
        text = render_explanation(explain_request(timeline, 'r1'))
        self.assertIn('held_ms: 300', text)
        self.assertIn('first_writes_released', text)

    def test_request_without_an_event_is_reported(self) -> None:
        """Guards against an empty output that looks like a result."""
        found = explain_request(Timeline(lines=()), 'r1')
        self.assertIn('No event reports', render_explanation(found))

    def test_start_of_a_host_is_shown_for_a_request_without_an_event(
        self,
    ) -> None:
        """Guards against no explanation if the host ended before answering.

        A request sent 0.4 s before a loss of power leaves no event; only the
        next start of its host shows what happened.
        """
        timeline = Timeline(
            lines=(
                line(SessionEvent.member_suspected, 900, service='s'),
                line(ProcessEvent.process_started, 1000),
                line(ProcessEvent.events_dropped, 1100),
            )
        )
        found = explain_request(timeline, 'r1')
        self.assertEqual(
            [one.time for one in found.possible_causes], ['1000', '1100']
        )
        self.assertIn('process_started', render_explanation(found))
