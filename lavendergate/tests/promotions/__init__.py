"""Tests of the time right after a promotion."""
