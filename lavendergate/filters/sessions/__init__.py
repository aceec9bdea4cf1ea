"""Filters of the statement path for callers that speak in sessions."""
