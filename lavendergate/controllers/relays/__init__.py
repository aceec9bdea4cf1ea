"""Passes statements on to home proxies."""
