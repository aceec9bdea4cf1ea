"""Placement of statements: which member runs a read."""
