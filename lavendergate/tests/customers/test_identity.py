"""Tests of the decisions about keys and of the lease on them."""

import unittest

from lavendergate.core.customers.identity import (
    Admitted,
    UnknownKey,
    UnprovenKey,
    identify,
)
from lavendergate.core.customers.lease import KeyLease, confirmation_time
from lavendergate.core.customers.table import digest_key
from lavendergate.tests.customers.customer_fixture import (
    NORTH,
    NORTH_KEY,
    usual_table,
)

_KEY = digest_key(NORTH_KEY)
_LEASE_S = 5.0


class IdentityTest(unittest.TestCase):
    """Who a session is."""

    def test_known_key_names_its_customer(self) -> None:
        """Guards against statements in the name of another customer."""
        found = identify(usual_table(), _KEY, is_public=False, is_proven=True)
        assert isinstance(found, Admitted)
        assert found.customer is not None
        self.assertEqual(found.customer.name, NORTH)

    def test_unknown_and_missing_keys_are_refused(self) -> None:
        """Guards against callers whom no document ever allowed."""
        for digest in (digest_key('unknown'), None):
            found = identify(
                usual_table(), digest, is_public=False, is_proven=True
            )
            self.assertEqual(found, UnknownKey())

    def test_public_routes_and_tables_without_customers_need_no_key(
        self,
    ) -> None:
        """Guards against refusals where nobody has to be identified."""
        for customers, is_public in ((usual_table(), True), (None, False)):
            found = identify(
                customers, None, is_public=is_public, is_proven=False
            )
            self.assertEqual(found, Admitted())

    def test_keys_are_refused_without_proof(self) -> None:
        """Guards against a key that was taken away during a partition."""
        found = identify(usual_table(), _KEY, is_public=False, is_proven=False)
        self.assertEqual(found, UnprovenKey())

    def test_table_shows_no_key(self) -> None:
        """Guards against keys and digests in logs and errors."""
        shown = repr(usual_table())
        self.assertNotIn(NORTH_KEY, shown)
        self.assertNotIn(repr(_KEY), shown)


class KeyLeaseTest(unittest.TestCase):
    """Time for which keys are admitted after a proof."""

    def test_new_host_has_no_lease(self) -> None:
        """Guards against keys from a saved table after a restart."""
        self.assertFalse(KeyLease(duration_s=_LEASE_S).covers(0))

    def test_lease_ends_after_its_duration(self) -> None:
        """Guards against a refusal before the end, and a use after it."""
        lease = KeyLease(duration_s=_LEASE_S)
        lease.renew(100)
        self.assertTrue(lease.covers(104.9))
        self.assertFalse(lease.covers(105.1))

    def test_late_answer_does_not_shorten_the_lease(self) -> None:
        """Guards against refusals after answers that arrive out of order."""
        lease = KeyLease(duration_s=_LEASE_S)
        lease.renew(100)
        lease.renew(98)
        self.assertTrue(lease.covers(104.9))

    def test_lease_without_limit_never_ends(self) -> None:
        """Guards against refusals where no strict withdrawal is asked for."""
        self.assertTrue(KeyLease(duration_s=None).covers(1e9))

    def test_confirmation_is_dated_before_the_request(self) -> None:
        """Guards against counting the lease from the arrival of an answer.

        A leader that was confirmed 0.2 s before a request leases for 0.8 s
        of its 1.0 s; the answer may arrive much later.
        """
        self.assertAlmostEqual(confirmation_time(100, 0.8, 1.0), 99.8)
