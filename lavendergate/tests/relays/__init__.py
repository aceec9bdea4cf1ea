"""Tests of statements that proxies pass on."""
