"""Bounds of the values that enter a process, and decoders that keep them."""
