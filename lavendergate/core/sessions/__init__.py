"""Decisions for callers' sessions that are shared among few connections."""
