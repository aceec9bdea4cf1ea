"""Tests of the event catalogue and of the hybrid logical clock."""

import ast
import unittest
from pathlib import Path

import lavendergate
from lavendergate.core import hybrid_clock
from lavendergate.observability import events
from lavendergate.observability.log import MemoryEventLog
from lavendergate.observability.process_clock import ProcessClock


class CatalogueTest(unittest.TestCase):
    """Numbers, fields and actions of the events."""

    def test_numbers_are_unique_and_in_their_range(self) -> None:
        """Guards against events that share a number or a name."""
        numbers = {event.number for event in events.ALL_EVENTS}
        names = {event.name for event in events.ALL_EVENTS}
        self.assertEqual(len(events.ALL_EVENTS), len(numbers))
        self.assertEqual(len(events.ALL_EVENTS), len(names))
        for thousand, (_title, kind) in events.EVENT_RANGES.items():
            for event in kind:
                self.assertEqual(event.number // 1000, thousand, event)

    def test_action_is_plain_text(self) -> None:
        """Guards against placeholders in actions, which are not formatted."""
        for event in events.ALL_EVENTS:
            self.assertNotIn('{', event.type.action, event)

    def test_calls_in_the_package_use_catalogued_fields(self) -> None:
        """Guards against events emitted with missing or unknown fields."""
        root = Path(lavendergate.__file__).parent
        for path in sorted(root.rglob('*.py')):
            if 'tests' in path.parts:
                continue
            for call in _emit_calls(ast.parse(path.read_text())):
                self._check_call(path, call)

    def test_memory_log_refuses_wrong_fields(self) -> None:
        """Guards against a test log that accepts missing or unknown fields."""
        log = MemoryEventLog()
        with self.assertRaisesRegex(ValueError, 'reason'):
            log.emit(events.FailoverEvent.term_begun, group='g', term=1)
        log.emit(
            events.SettingsEvent.settings_accepted,
            settings_version=3,
            author='eva',
        )
        self.assertEqual(
            log.fields_of(events.SettingsEvent.settings_accepted)[0]['author'],
            'eva',
        )

    def _check_call(self, path: Path, call: ast.Call) -> None:
        target = call.args[0]
        assert isinstance(target, ast.Attribute)
        assert isinstance(target.value, ast.Name | ast.Attribute)
        kind = (
            target.value.id
            if isinstance(target.value, ast.Name)
            else target.value.attr
        )
        event = getattr(events, kind)[target.attr]
        given = {key.arg for key in call.keywords}
        if None in given:
            return
        fields = {name: '' for name in given if name}
        self.assertEqual(
            events.invalid_fields(event, fields), (), f'{path}:{call.lineno}'
        )


def _emit_calls(tree: ast.AST) -> list[ast.Call]:
    return [
        node
        for node in ast.walk(tree)
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr == 'emit'
        and node.args
        and isinstance(node.args[0], ast.Attribute)
    ]


class HybridClockTest(unittest.TestCase):
    """Order of timestamps."""

    def test_stamps_increase_while_the_wall_clock_steps_back(self) -> None:
        """Guards against an effect with an earlier timestamp than its cause."""
        wall = iter((1000, 999, 1000, 1, 1))
        clock = ProcessClock(wall_ms=lambda: next(wall))
        stamps = [clock.stamp() for _ in range(5)]
        self.assertEqual(stamps, sorted(set(stamps)))
        self.assertEqual(hybrid_clock.milliseconds_of(stamps[-1]), 1000)

    def test_receipt_follows_sending(self) -> None:
        """Guards against receipt before sending under a lagging clock."""
        sender = ProcessClock(wall_ms=lambda: 1500)
        receiver = ProcessClock(wall_ms=lambda: 1000)
        sent = sender.stamp()
        self.assertEqual(receiver.receive(sent), 0)
        self.assertGreater(receiver.stamp(), sent)

    def test_stamp_beyond_the_drift_bound_is_ignored(self) -> None:
        """Guards against one wrong clock advancing the clocks of all hosts."""
        receiver = ProcessClock(wall_ms=lambda: 1000, max_drift_ms=200)
        self.assertEqual(receiver.receive(hybrid_clock.pack(1201)), 201)
        self.assertEqual(receiver.stamp(), hybrid_clock.pack(1000))
        self.assertEqual(receiver.receive(hybrid_clock.pack(1200)), 0)

    def test_counter_overflow_carries(self) -> None:
        """Guards against equal or decreasing timestamps in an event burst."""
        last = hybrid_clock.pack(5, (1 << hybrid_clock.COUNTER_BITS) - 1)
        following = hybrid_clock.advance(last, 5)
        self.assertEqual(following, hybrid_clock.pack(6))
        self.assertEqual(hybrid_clock.counter_of(following), 0)
