"""Checks of a route document before it is sent."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from lavendergate.cli.main import run
from lavendergate.core.route_checks.differences import find_differences
from lavendergate.core.route_checks.findings import Finding, FindingKind
from lavendergate.core.route_checks.rules import Surroundings, check_table
from lavendergate.platform.documents import decode_route_list, decode_routes

_ROUTE = {
    'name': 'r-1',
    'database': 'shelves',
    'routeType': 'bounded_staleness',
    'timeoutMs': 1000,
    'targetLatencyMs': 800,
    'service': 'library',
    'maxStalenessMs': 1500,
}
_CUSTOMER = {
    'name': 'north',
    'apiKeys': ['key-of-north'],
    'ratePerS': 10,
    'burst': 5,
}


def document(**changes: object) -> dict[str, object]:
    """Return a document without findings, with changed fields."""
    return {
        'version': 7,
        'routes': [_ROUTE],
        'services': [{'name': 'library', 'maxConns': 40}],
        'tenants': [_CUSTOMER],
        **changes,
    }


def check(
    content: dict[str, object], surroundings: Surroundings | None = None
) -> list[tuple[FindingKind, str]]:
    """Return kind and subject of each finding."""
    encoded = json.dumps(content).encode()
    findings = check_table(
        decode_routes(encoded).unwrap(),
        decode_route_list(encoded),
        surroundings or Surroundings(),
    )
    return summary(findings)


def summary(findings: tuple[Finding, ...]) -> list[tuple[FindingKind, str]]:
    """Return kind and subject of each finding."""
    return [(finding.kind, finding.subject) for finding in findings]


class RulesTest(unittest.TestCase):
    """A table that would not do what its author expects is reported."""

    def test_a_sound_table_has_no_findings(self) -> None:
        surroundings = Surroundings(operations_per_s=100, replica_lag_ms=90)
        self.assertEqual([], check(document(), surroundings))

    def test_entries_that_never_apply(self) -> None:
        shadowed = {**_ROUTE, 'name': 'r-0', 'pathPrefix': '/old'}
        found = check(
            document(
                routes=[shadowed, _ROUTE],
                services=[{'name': 'library'}, {'name': 'attic'}],
                tenants=[_CUSTOMER, {**_CUSTOMER, 'name': 's', 'apiKeys': []}],
            )
        )
        self.assertEqual(
            [
                (FindingKind.unused, 'route r-0'),
                (FindingKind.unused, 'service attic'),
                (FindingKind.unused, 'customer s'),
            ],
            found,
        )

    def test_keys_beside_public_routes_only_are_never_checked(self) -> None:
        found = check(document(routes=[{**_ROUTE, 'public': True}]))
        self.assertEqual([(FindingKind.unused, 'customers')], found)

    def test_limits_that_contradict_each_other(self) -> None:
        cases: tuple[tuple[str, dict[str, object]], ...] = (
            ('route r-1', {'routes': [{**_ROUTE, 'maxStalenessMs': 0}]}),
            ('route r-1', {'routes': [{**_ROUTE, 'maxStalenessMs': 50}]}),
            ('route r-1', {'routes': [{**_ROUTE, 'targetLatencyMs': 0}]}),
            ('route r-1', {'limits': {'txnIdleMs': 500}}),
            (
                'service library',
                {'services': [{'name': 'library', 'maxConns': 0}]},
            ),
            (
                'customer north',
                {'tenants': [{**_CUSTOMER, 'ratePerS': 0.1, 'burst': 0}]},
            ),
            ('customers', {'tenants': [{**_CUSTOMER, 'ratePerS': 101}]}),
        )
        surroundings = Surroundings(operations_per_s=100, replica_lag_ms=90)
        for subject, changes in cases:
            with self.subTest(changes=changes):
                found = check(document(**changes), surroundings)
                self.assertEqual([(FindingKind.conflict, subject)], found)


class DifferencesTest(unittest.TestCase):
    """An author sees whom a change concerns before it is sent."""

    def find(
        self, after: dict[str, object], before: dict[str, object]
    ) -> tuple[Finding, ...]:
        tables = [
            decode_routes(json.dumps(content).encode()).unwrap()
            for content in (after, before)
        ]
        return find_differences(tables[0], tables[1])

    def test_a_version_that_is_not_higher_is_an_error(self) -> None:
        found = summary(self.find(document(), document()))
        self.assertEqual([(FindingKind.error, 'version 7')], found)

    def test_changes_name_the_entry_and_both_values(self) -> None:
        changed = document(
            version=8,
            routes=[{**_ROUTE, 'timeoutMs': 2000}],
            tenants=[{**_CUSTOMER, 'apiKeys': ['other', 'third']}],
            services=[{'name': 'library', 'maxConns': 40}, {'name': 'new'}],
        )
        found = self.find(changed, document())
        self.assertEqual(
            ['route r-1', 'service new', 'customer north'],
            [finding.subject for finding in found],
        )
        texts = ' '.join(finding.text for finding in found)
        self.assertIn('timeout_ms 2000, was 1000', texts)
        self.assertIn('2 keys added, 1 taken away', texts)

    def test_no_finding_shows_a_key(self) -> None:
        changed = document(
            version=8, tenants=[{**_CUSTOMER, 'apiKeys': ['another-key']}]
        )
        shown = str(self.find(changed, document()))
        self.assertNotIn('another-key', shown)
        self.assertNotIn('key-of-north', shown)

    def test_removed_entries_say_who_is_affected(self) -> None:
        found = self.find(document(version=8, routes=[]), document())
        self.assertIn('callers of its database are refused', found[0].text)


class CommandTest(unittest.IsolatedAsyncioTestCase):
    """Scripts rely on the exit code, and nothing is sent."""

    async def run_check(
        self, content: dict[str, object], *options: str
    ) -> tuple[int, str]:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / 'routes.json'
            file.write_text(json.dumps(content))
            (Path(folder) / 'old.json').write_text(json.dumps(document()))
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                with contextlib.redirect_stderr(io.StringIO()):
                    arguments = [
                        option.format(folder=folder) for option in options
                    ]
                    code = await run(['routes', 'check', str(file), *arguments])
        return code, output.getvalue()

    async def test_exit_codes(self) -> None:
        code, output = await self.run_check(document())
        self.assertEqual((0, 'nothing was found\n'), (code, output))
        code, output = await self.run_check(
            document(version=8), '--in-force', '{folder}/old.json'
        )
        self.assertEqual(0, code)
        code, output = await self.run_check(document(services=[]))
        self.assertEqual(1, code)
        self.assertIn('unknown service library', output)
        code, _ = await self.run_check(
            document(), '--in-force', '{folder}/missing.json'
        )
        self.assertEqual(2, code)

    async def test_json_output(self) -> None:
        _, output = await self.run_check(
            document(version=8, routes=[]),
            '--in-force',
            '{folder}/old.json',
            '--format',
            'json',
        )
        kinds = {row['kind'] for row in json.loads(output)}
        self.assertEqual({'unused', 'change'}, kinds)
