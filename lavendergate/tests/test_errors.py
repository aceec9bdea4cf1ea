"""Tests of the errors and of the page that documents them."""

import unittest
from pathlib import Path

from lavendergate.core import errors
from lavendergate.core.errors import (
    ERROR_TYPES,
    NoPrimaryError,
    StatementError,
    UnknownOutcomeError,
)
from lavendergate.core.types import GroupId

_PAGE = Path(__file__).parents[2] / 'docs' / 'errors.md'


class ErrorsTest(unittest.TestCase):
    """Error codes, messages and docs/errors.md."""

    def test_page_lists_each_error(self) -> None:
        """Guards against documentation that differs from the code."""
        rows = [
            f'| {kind.code} | `{kind.__name__}` | {kind.sqlstate} '
            f'| {kind.outcome.value} | {kind.problem} | {kind.remedy} |'
            for kind in ERROR_TYPES
        ]
        page = _PAGE.read_text().splitlines()
        listed = [line for line in page if line.startswith('| 9')]
        self.assertEqual(rows, listed)

    def test_each_error_is_registered(self) -> None:
        """Guards against an error that is not registered or shares its code."""
        defined = {
            kind
            for kind in vars(errors).values()
            if isinstance(kind, type) and issubclass(kind, StatementError)
        }
        self.assertEqual(defined, {StatementError, *ERROR_TYPES})
        codes = [kind.code for kind in ERROR_TYPES]
        self.assertEqual(list(range(9001, 9001 + len(codes))), codes)

    def test_message_names_outcome_and_remedy(self) -> None:
        """Guards against unresolved placeholders in a message."""
        error = NoPrimaryError(group_id=GroupId('g'), waited_ms=7)
        self.assertEqual(
            'not run: group g had no confirmed primary within 7 ms; repeat '
            'the statement; lavendergatectl status shows the promotion',
            error.message,
        )
        unknown = UnknownOutcomeError(reason='the member did not answer')
        self.assertIn('unknown: the member', unknown.message)
