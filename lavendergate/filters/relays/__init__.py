"""Runs statements that other proxies pass on."""
