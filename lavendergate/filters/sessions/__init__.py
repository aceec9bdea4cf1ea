"""Filters on the statement path of callers that use the session protocol."""
