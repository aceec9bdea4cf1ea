"""Tests of customers and their keys."""
