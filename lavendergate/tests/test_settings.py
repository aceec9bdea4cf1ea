"""Tests of the settings tree."""

import dataclasses
import unittest
from pathlib import Path

from result import Err, Ok

from lavendergate.cli.settings_page import settings_page
from lavendergate.core.commands import SettingChange
from lavendergate.core.settings.document import SettingsDocument, SettingValue
from lavendergate.core.settings.in_force import InForceSettings, OfferResult
from lavendergate.core.settings.paths import SettingsTarget
from lavendergate.core.settings.schema import SCHEMA
from lavendergate.core.settings.tree import (
    EffectiveSettings,
    SettingsTree,
    apply_changes,
    changes_between,
    count_targets_at_risk,
    diff,
    effective_changes,
    effective_settings,
    explain,
    validate_change,
)
from lavendergate.core.settings.values import is_acceptable, parse_value
from lavendergate.core.types import (
    CallerId,
    GroupId,
    Region,
    SettingsVersion,
)

FRANKEN = Region('franken')
GROUP = GroupId('glasdaten-1')
PLANNER = CallerId('planner')
OLD_KEY = 'k1:' + 'A' * 22
NEW_KEY = 'k2:' + 'B' * 22


def change(path: str, key: str, value: SettingValue | None) -> SettingChange:
    """Return a change of one key."""
    return SettingChange(path=path, key=key, value=value)


def document(*changes: SettingChange) -> SettingsDocument:
    """Return version 1 with some changes."""
    return apply_changes(SettingsDocument(), changes)


class SchemaTest(unittest.TestCase):
    """Schema, typed settings and the operators' page agree."""

    def test_page_matches_the_schema(self) -> None:
        """Guards against a page that was not regenerated."""
        page = Path(__file__).parents[2] / 'docs' / 'settings.md'
        self.assertEqual(page.read_text(), settings_page())

    def test_attributes_match_schema(self) -> None:
        """Guards against a setting that no code can read."""
        names = {field.name for field in dataclasses.fields(EffectiveSettings)}
        self.assertEqual(names, {spec.attribute for spec in SCHEMA.values()})

    def test_defaults_are_acceptable(self) -> None:
        """Guards against defaults outside their own range."""
        for spec in SCHEMA.values():
            if spec.default is not None:
                self.assertTrue(is_acceptable(spec, spec.default), spec.key)

    def test_values_at_the_ends_of_each_range(self) -> None:
        """Guards against off-by-one ranges and values of a wrong type."""
        for spec in SCHEMA.values():
            if spec.maximum:
                low, high = int(spec.minimum + 0.5), int(spec.maximum)
                self.assertTrue(is_acceptable(spec, low), spec.key)
                self.assertTrue(is_acceptable(spec, high), spec.key)
                self.assertFalse(is_acceptable(spec, low - 1), spec.key)
                self.assertFalse(is_acceptable(spec, high + 1), spec.key)
                self.assertFalse(is_acceptable(spec, float('nan')), spec.key)
                self.assertFalse(is_acceptable(spec, True), spec.key)
                self.assertFalse(is_acceptable(spec, str(low)), spec.key)

    def test_text_is_parsed_by_kind(self) -> None:
        """Guards against unparsed text in the settings tree."""
        cases = {
            'read.max_age_ms': ('1,500', 1500),
            'failover.enabled': ('False', False),
            'ejection.factor': ('2.5', 2.5),
            'queue.class': ('billing', 'billing'),
            'token.accepted_keys': (OLD_KEY, (OLD_KEY,)),
        }
        for key, (text, value) in cases.items():
            self.assertEqual(parse_value(SCHEMA[key], text), Ok(value))
        for key, text in (('failover.enabled', 'yes'), ('queue.limit', '2.5')):
            self.assertIsInstance(parse_value(SCHEMA[key], text), Err)


class ValidationTest(unittest.TestCase):
    """Messages of refused changes contain value, expectation and remedy."""

    def assert_refused(
        self, before: SettingsDocument, pattern: str, *changes: SettingChange
    ) -> None:
        """Check that a change is refused with a matching message."""
        result = validate_change(before, changes)
        assert isinstance(result, Err), changes
        self.assertRegex('\n'.join(map(str, result.err_value)), pattern)

    def test_single_changes(self) -> None:
        """Guards against accepted changes with invalid node, key or value."""
        empty = SettingsDocument()
        cases = (
            (r"'read.max_age'; .*'read.max_age_ms'", '/', 'read.max_age', 5),
            (r'-1 .* from 0 to 86,400,000 ms', '/', 'read.max_age_ms', -1),
            (
                r'level group or above, not at a caller',
                '/a/b/c',
                'queue.limit',
                5,
            ),
            (r'level root', '/a', 'token.accepted_keys', ()),
            (r"'/a/' is malformed", '/a/', 'queue.limit', 5),
            (r"'a' is malformed", 'a', 'queue.limit', 5),
            (r"'/a/b/c/d' is malformed", '/a/b/c/d', 'queue.limit', 5),
            (r'one of stale, session', '/', 'queue.class', 'fast'),
        )
        for pattern, path, key, value in cases:
            self.assert_refused(empty, pattern, change(path, key, value))
        self.assert_refused(empty, 'empty')
        twice = change('/', 'queue.limit', 5)
        self.assert_refused(empty, 'changed twice', twice, twice)

    def test_secret_values_stay_out_of_messages(self) -> None:
        """Guards against secret keys in logs and command output."""
        wrong = change('/', 'token.signing_key', 'secret')
        result = validate_change(SettingsDocument(), [wrong])
        assert isinstance(result, Err)
        self.assertNotIn("'secret'", str(result.err_value))

    def test_wait_is_checked_where_values_meet(self) -> None:
        """Guards against values that conflict only at a descendant node."""
        before = document(change('/r/g/c', 'read.replica_wait_ms', 500))
        self.assert_refused(
            before,
            '/r/g/c read.replica_wait_ms: 500 ms',
            change('/', 'statement.deadline_ms', 400),
        )

    def test_key_rotation_goes_through_all_steps(self) -> None:
        """Guards against tokens signed with a key that some proxies reject."""
        first = change('/', 'token.signing_key', OLD_KEY)
        before = document(first)
        sign = change('/', 'token.signing_key', NEW_KEY)
        keep = change('/', 'token.accepted_keys', (OLD_KEY, NEW_KEY))
        self.assert_refused(before, 'earlier change', sign, keep)
        accepted = validate_change(before, [keep]).unwrap()
        drop = change('/', 'token.accepted_keys', (NEW_KEY,))
        self.assert_refused(accepted, "former signing key 'k1'", sign, drop)
        signing = validate_change(accepted, [sign]).unwrap()
        self.assertIsInstance(validate_change(signing, [drop]), Ok)
        unset = change('/', 'token.signing_key', None)
        self.assert_refused(before, 'cannot be removed', unset)
        double = change('/', 'token.accepted_keys', ('k1:' + 'C' * 22,))
        self.assert_refused(before, 'same id', double)

    def test_group_has_one_region(self) -> None:
        """Guards against group settings that depend on announced members."""
        before = document(change('/a/g', 'queue.limit', 5))
        elsewhere = change('/b/g', 'queue.limit', 6)
        self.assert_refused(before, 'regions a, b', elsewhere)
        move = change('/a/g', 'queue.limit', None)
        self.assertIsInstance(validate_change(before, [move, elsewhere]), Ok)
        tree = SettingsTree(before)
        regions = (Region('b'), Region('b'), Region('a'))
        self.assertEqual(tree.region_of(GroupId('g'), regions), 'a')
        self.assertEqual(tree.region_of(GroupId('h'), regions), 'b')


class InheritanceTest(unittest.TestCase):
    """Values in force and their origin."""

    def setUp(self) -> None:
        """Build a tree that overrides one key at each level."""
        self.document = document(
            change('/', 'read.max_age_ms', 10),
            change('/franken', 'read.max_age_ms', 20),
            change('/franken/glasdaten-1', 'queue.limit', 99),
            change('/franken/glasdaten-1/planner', 'read.max_age_ms', 30),
        )

    def test_nearest_node_wins(self) -> None:
        """Guards against values inherited from the wrong level."""
        tree = SettingsTree(self.document)
        planner = tree.effective_settings(FRANKEN, GROUP, PLANNER)
        self.assertEqual(
            (planner.read_max_age_ms, planner.queue_limit), (30, 99)
        )
        self.assertEqual(
            tree.effective_settings(FRANKEN, GROUP).read_max_age_ms, 20
        )
        other = tree.effective_settings(Region('schwaben'), GROUP, PLANNER)
        self.assertEqual((other.read_max_age_ms, other.queue_limit), (10, 256))
        self.assertIs(
            tree.effective_settings(FRANKEN, GroupId('unknown'), PLANNER),
            tree.effective_settings(FRANKEN),
        )

    def test_explain_names_the_node(self) -> None:
        """Guards against an explanation that differs from the value."""
        origins = {
            origin.key: origin.path
            for origin in explain(self.document, FRANKEN, GROUP, PLANNER)
        }
        self.assertEqual(
            origins['read.max_age_ms'], '/franken/glasdaten-1/planner'
        )
        self.assertEqual(origins['queue.limit'], '/franken/glasdaten-1')
        self.assertIsNone(origins['connection.idle_s'])

    def test_foreign_values_count_as_not_set(self) -> None:
        """Guards against a failure on settings of newer software."""
        foreign = document(
            change('/', 'queue.limit', 'unbounded'),
            change('/', 'future.key', 5),
        )
        self.assertEqual(effective_settings(foreign).queue_limit, 256)

    def test_affected_and_risk_follow_inheritance(self) -> None:
        """Guards against a dry run with missing or unaffected targets."""
        known = [
            SettingsTarget(region=FRANKEN, group=GROUP),
            SettingsTarget(region=FRANKEN, group=GROUP, caller=PLANNER),
            SettingsTarget(region=FRANKEN, group=GroupId('glasdaten-2')),
            SettingsTarget(
                region=Region('schwaben'), group=GroupId('glasdaten-3')
            ),
        ]
        raised = [change('/franken', 'read.max_age_ms', 50)]
        found = effective_changes(self.document, raised, known)
        self.assertEqual(
            [(item.target.path, item.before, item.after) for item in found],
            [
                ('/franken/glasdaten-1', 20, 50),
                ('/franken/glasdaten-2', 20, 50),
            ],
        )
        self.assertEqual(count_targets_at_risk(self.document, raised, known), 2)
        harmless = [change('/', 'connection.idle_s', 60)]
        self.assertEqual(
            count_targets_at_risk(self.document, harmless, known), 0
        )
        self.assertEqual(count_targets_at_risk(self.document, raised, ()), 1)

    def test_reverse_changes_restore_a_version(self) -> None:
        """Guards against a rollback that leaves overrides behind."""
        later = apply_changes(
            self.document,
            [
                change('/franken', 'read.max_age_ms', None),
                change('/franken', 'queue.limit', 7),
            ],
        )
        self.assertNotIn('connection', str(diff(self.document, later)))
        restored = apply_changes(later, changes_between(later, self.document))
        self.assertEqual(restored.nodes, self.document.nodes)
        self.assertEqual(restored.version, 3)


class InForceTest(unittest.TestCase):
    """The version in force on a host."""

    def test_version_never_goes_back(self) -> None:
        """Guards against older settings from a lagging control host."""
        settings = InForceSettings(now=0)
        newer = SettingsDocument(version=SettingsVersion(5))
        self.assertIs(settings.offer(newer, now=1), OfferResult.taken)
        stale = document(change('/', 'queue.limit', 1))
        self.assertIs(settings.offer(stale, now=9), OfferResult.older)
        self.assertEqual(settings.version, 5)
        self.assertEqual(settings.tree.effective_settings().queue_limit, 256)
        self.assertEqual(settings.age_s(now=9), 8)

    def test_only_the_current_version_resets_the_age(self) -> None:
        """Guards against a host with stale settings that reports a low age."""
        settings = InForceSettings(now=0)
        settings.offer(SettingsDocument(version=SettingsVersion(5)), now=1)
        self.assertFalse(settings.confirm(SettingsVersion(4), now=6))
        self.assertEqual(settings.age_s(now=6), 5)
        self.assertTrue(settings.confirm(SettingsVersion(5), now=6))
        self.assertEqual(settings.age_s(now=6), 0)
