"""Tests of leases on primaries and of what they prove."""
