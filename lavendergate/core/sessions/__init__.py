"""Decisions for caller sessions that share a few member connections."""
