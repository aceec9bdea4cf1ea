"""Checks of a route table before it is published."""
