"""Tests of hints."""

import unittest

from lavendergate.core.hints import NO_HINTS, Hints, parse_hints


class HintsTest(unittest.TestCase):
    """Hints from comments and query attributes."""

    def test_attributes_take_precedence(self) -> None:
        """Guards against a comment that overrides the caller's attribute."""
        sql = '/* lavendergate max_age_ms=5 request_id=a idempotent=0 */ DO 1'
        attributes = {'max_age_ms': '7', 'traceparent': '00-1'}
        parsed = parse_hints(sql, attributes).unwrap()
        hints = Hints(max_age_ms=7, request_id='a', idempotent=False)
        self.assertEqual((hints, 'DO 1'), parsed)

    def test_other_comments_stay(self) -> None:
        """Guards against parsing comments of other programs as hints."""
        sql = '/* lavender max_age_ms=5 */ SELECT 1'
        self.assertEqual((NO_HINTS, sql), parse_hints(sql).unwrap())

    def test_errors_quote_the_value(self) -> None:
        """Guards against silently ignoring a mistyped hint."""
        cases = {
            'max_age=5': "'max_age'",
            'max_age_ms=5s': "'5s'",
            'deadline_ms=0': "'0'",
            'idempotent=yes': "'yes'",
            'session': "'session'",
            f'request_id={"a" * 65}': '65 characters',
            'session=a session=b': "'b'",
        }
        for hint, quote in cases.items():
            with self.subTest(hint=hint):
                error = parse_hints(f'/* lavendergate {hint} */ DO 1')
                self.assertIn(quote, error.unwrap_err().message)
        self.assertTrue(parse_hints('/* lavendergate a=1').is_err())
