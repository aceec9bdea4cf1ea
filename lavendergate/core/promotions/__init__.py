"""Rules about the time right after a promotion."""
