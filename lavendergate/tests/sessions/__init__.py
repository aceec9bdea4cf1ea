"""Tests of statements of callers' sessions."""
