"""Adapter to the platform that hosts the system: names, formats and calls.

These modules make no decisions. They decode the platform's messages into
the types of this project, and encode answers in the platform's format.
"""
