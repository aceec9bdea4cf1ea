"""Tests of the control hosts as their callers see them."""
