"""Tests of members that leave."""
