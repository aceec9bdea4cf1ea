"""Limits of customers that all proxies keep together."""
