"""Customers as known to a proxy, and the proof that they are up to date."""
