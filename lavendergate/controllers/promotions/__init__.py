"""Watches and holds the time right after a promotion."""
