"""Tests of the order in which waiting statements are served."""
