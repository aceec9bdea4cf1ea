"""Filters that identify the customers of sessions."""
