"""Grants leases on primaries on a control host."""
