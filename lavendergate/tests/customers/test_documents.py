"""Tests of the customers in the operator's route document."""

import json
import unittest
from collections.abc import Mapping, Sequence

from result import Err, Result

from lavendergate.core.routes import RouteTable
from lavendergate.core.sessions.statements import (
    NOT_RUN_CODES,
    RefusalCode,
    Refused,
)
from lavendergate.platform.documents import decode_routes
from lavendergate.platform.line_codec import encode_refusal, parse_refusal

_KEY = 'secret-4f1c'


def _decode(entries: Sequence[Mapping[str, object]]) -> Result[RouteTable, str]:
    document = {'version': 1, 'routes': [], 'services': [], 'tenants': entries}
    return decode_routes(json.dumps(document).encode())


def _entry(**changes: object) -> dict[str, object]:
    return {'name': 'north', 'apiKeys': [_KEY], **changes}


class CustomerDocumentTest(unittest.TestCase):
    """Customers that are accepted and refused."""

    def test_valid_customers_are_found_by_their_keys(self) -> None:
        """Guards against customers that are dropped from the document."""
        table = _decode([_entry(priority=2, ratePerS=10, burst=5)]).unwrap()
        assert table.customers is not None
        customer = table.customers.find(_KEY)
        assert customer is not None
        assert customer.limit is not None
        self.assertEqual((customer.name, customer.priority), ('north', 2))
        self.assertEqual(customer.limit.rate_per_s, 10)
        self.assertIsNone(table.customers.find('unknown'))

    def test_invalid_customers_are_refused_by_name_without_a_key(self) -> None:
        """Guards against limits and keys that nobody meant, and shown keys."""
        cases: tuple[list[dict[str, object]], ...] = (
            [_entry(), _entry(name='south')],
            [_entry(), _entry(apiKeys=['other'])],
            [_entry(priority=-1)],
            [_entry(ratePerS=-1)],
            [_entry(ratePerS=1, burst=-0.5)],
            [_entry(apiKeys=[_KEY, ''])],
            [_entry(apiKeys=[f'{_KEY} x'])],
            [_entry(name='north west')],
            [_entry(priority=_KEY)],
            [_entry(apiKeys=[_KEY, 3])],
            [{'name': 'north'}],
        )
        for entries in cases:
            found = _decode(entries)
            with self.subTest(entries=entries):
                assert isinstance(found, Err)
                self.assertIn("'north", found.err_value)
                self.assertNotIn(_KEY, found.err_value)

    def test_document_without_customers_identifies_nobody(self) -> None:
        """Guards against refused callers of earlier deployments."""
        content = b'{"version": 1, "routes": [], "services": []}'
        self.assertIsNone(decode_routes(content).unwrap().customers)

    def test_refusal_of_a_key_says_that_nothing_ran(self) -> None:
        """Guards against a code that members and callers do not know."""
        self.assertIn(RefusalCode.not_authorized, NOT_RUN_CODES)
        line = encode_refusal(Refused(code=RefusalCode.not_authorized))
        self.assertEqual(line, b'ERR NOAUTH -\r\n')
        refusal = parse_refusal('NOAUTH no such key')
        self.assertEqual(refusal.code, RefusalCode.not_authorized)
