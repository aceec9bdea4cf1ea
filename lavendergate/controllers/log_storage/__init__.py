"""Observation of the storage below the replicated log."""
