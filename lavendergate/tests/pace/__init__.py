"""Tests of the pace of members."""
