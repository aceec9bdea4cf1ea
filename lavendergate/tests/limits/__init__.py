"""Tests of the limits of customers."""
