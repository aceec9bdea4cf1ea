"""Adapter to the users' platform: its names, formats and calls.

Nothing here decides. Modules decode what the platform sends into types of
the project, and write the project's answers in the platform's format.
"""
