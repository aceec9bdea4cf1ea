"""Tests of the choice of members."""
